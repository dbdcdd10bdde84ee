package daemon

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strings"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/registry"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/storage"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// configuration is this daemon's access to the registry: its copy of the
// configuration and, if it is a voter, its Raft replica.
type configuration struct {
	self      raft.Member
	voters    []string // inner addresses of the other voters
	localCopy *configsync.Task
	replica   *registry.Task // nil if the daemon is not a voter
	poller    *configsync.Poller
	remote    *configsync.Proposer
	client    *innerproto.RegistryClient
}

func (d *Daemon) newConfiguration() (*configuration, error) {
	s := d.settings
	c := &configuration{
		self:      raft.Member{VM: core.VM(s.VM), Address: d.advertisedAddress()},
		localCopy: configsync.NewTask(configjson.Codec{}, d.configChanged),
	}
	c.voters = voterAddresses(s, c.self.Address)
	c.client = innerproto.NewRegistryClient(c.self, innerproto.StampedTransport(d.recorder, d.secured.transport))
	if s.Registry != nil || len(c.voters) == 0 {
		replica, err := d.newReplica(c)
		if err != nil {
			return nil, err
		}
		c.replica = replica
	}
	c.poller = &configsync.Poller{
		Self: c.self.VM, Cell: core.Cell(s.Cell), Voters: func() []string { return c.voters }, InitialState: d.bootstrapState(),
		Coordinator: d.cell.Coordinator,
		HasReplica:  c.replica != nil, Task: c.localCopy, Client: c.client,
	}
	c.remote = &configsync.Proposer{
		Task: c.localCopy, Client: c.client, Retry: registry.Retry,
		Voters: func() []string { return c.voters },
	}
	return c, nil
}

// advertisedAddress returns the address at which other daemons reach this one: the
// configured one or, if that has no fixed port, the bound address.
func (d *Daemon) advertisedAddress() string {
	if _, port, err := net.SplitHostPort(d.settings.Advertise); err == nil && port != "0" {
		return d.settings.Advertise
	}
	return d.InnerAddress()
}

// voterAddresses returns the inner addresses of the other voters, each once: the
// seeds and the voters that the settings list, without self.
func voterAddresses(s *settings.Settings, self string) []string {
	addresses := append([]string(nil), s.Seeds...)
	for _, v := range s.Bootstrap.Voters {
		addresses = append(addresses, v.Inner)
	}
	seen := map[string]bool{self: true}
	var others []string
	for _, a := range addresses {
		if !seen[a] {
			seen[a] = true
			others = append(others, a)
		}
	}
	return others
}

// newReplica returns the registry replica of a voter. It stores its data in
// memory if the settings name no data folder.
func (d *Daemon) newReplica(c *configuration) (*registry.Task, error) {
	files := storage.InMemory()
	if r := d.settings.Registry; r != nil {
		folder, err := storage.OpenFolder(r.DataFolder)
		if err != nil {
			return nil, result.Wrap(result.StorageFailed, err, "data folder %s", r.DataFolder)
		}
		files = folder
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.self.VM))
	return registry.NewTask(registry.Options{
		Self: c.self.VM, Members: initialVoters(d.settings, c.self), Bootstrap: bootstrapChange(d.settings.Bootstrap),
		Files: files, Codec: configjson.Codec{}, Transport: c.client, Seed: seed.Sum64(),
		OnUpdate: c.localCopy.Offer,
		OnEvent:  d.registryReporter(),
	})
}

// bootstrapState returns the configuration with only the cells that the settings
// list, or nil if there are none. From it, a daemon that starts while no voter
// answers knows which other members of cells it can ask for the configuration.
func (d *Daemon) bootstrapState() *config.State {
	change := bootstrapChange(d.settings.Bootstrap)
	if change == nil {
		return nil
	}
	state, err := config.NewState().Apply(config.Command{Change: *change})
	if err != nil {
		return nil
	}
	return state
}

func (c *configuration) tasks() []task.Service {
	tasks := []task.Service{
		task.Func("configuration", c.localCopy.Serve),
		task.Func("configuration poller", c.poller.Serve),
	}
	if c.replica != nil {
		tasks = append(tasks, task.Func("registry", c.replica.Serve))
	}
	return tasks
}

// handler serves the registry calls of other daemons.
func (c *configuration) handler() http.Handler {
	if c.replica == nil {
		return innerproto.RegistryHandler(c.self.VM, nil, c.localCopy)
	}
	return innerproto.RegistryHandler(c.self.VM, c.replica, c.localCopy)
}

// State returns the snapshot through which the configuration in force at this
// daemon is published.
func (c *configuration) State() task.Snapshot[config.State] { return c.localCopy.State() }

// Current returns the configuration in force at this daemon.
func (c *configuration) Current() *config.State { return c.localCopy.Current() }

// Propose proposes a change to the registry and returns the configuration once
// the change is in force at this daemon.
func (c *configuration) Propose(ctx context.Context, command config.Command) (*config.State, error) {
	if c.replica == nil {
		return c.remote.Propose(ctx, command)
	}
	version, err := c.replica.ProposeVersion(ctx, command)
	if err != nil {
		return nil, err
	}
	return c.localCopy.WaitForVersion(ctx, version)
}

// AddVoter adds a VM to the registry; it becomes a voter once its log has caught
// up.
func (c *configuration) AddVoter(ctx context.Context, vm config.VM) error {
	if c.replica != nil {
		return c.replica.AddVoter(ctx, vm.Name, vm.InnerAddress)
	}
	return c.askVoters(func(address string) error {
		return c.client.ChangeVoter(ctx, address, raft.Member{VM: vm.Name, Address: vm.InnerAddress}, true)
	})
}

// RemoveVoter removes a VM from the members of the registry.
func (c *configuration) RemoveVoter(ctx context.Context, vm core.VM) error {
	if c.replica != nil {
		return c.replica.RemoveVoter(ctx, vm)
	}
	return c.askVoters(func(address string) error {
		return c.client.ChangeVoter(ctx, address, raft.Member{VM: vm}, false)
	})
}

// Status returns the registry's leader, term, commit index and voters, from the
// local replica or else from the first voter that answers.
func (c *configuration) Status(ctx context.Context) (operators.RegistryStatus, error) {
	var status raft.Status
	var err error
	if c.replica != nil {
		status, err = c.replica.Status(ctx)
	} else {
		err = c.askVoters(func(address string) error {
			status, err = c.client.Members(ctx, address)
			return err
		})
	}
	return operators.RegistryStatus{
		Leader: status.Leader, Term: uint64(status.Term), Commit: uint64(status.Commit),
		Voters: status.Members.Voters(),
	}, err
}

// askVoters calls ask with the address of one voter after the other, until one
// succeeds or fails with another code than CommitUnknown or NoLeader.
func (c *configuration) askVoters(ask func(address string) error) error {
	var failures []string
	for _, address := range c.voters {
		err := ask(address)
		if code := result.CodeOf(err); code != result.CommitUnknown && code != result.NoLeader {
			return err
		}
		failures = append(failures, err.Error())
	}
	return result.New(result.CommitUnknown, "no voter answered: %s", strings.Join(failures, "; "))
}
