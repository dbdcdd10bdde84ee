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

// configuration is this daemon's part in the registry: its copy of the
// configuration and, on a voter, its replica.
type configuration struct {
	self    raft.Member
	voters  []string // inner addresses
	copy    *configsync.Task
	replica *registry.Task // nil on a daemon that does not vote
	poller  *configsync.Poller
	remote  *configsync.Remote
	client  *innerproto.RegistryClient
}

func (d *Daemon) newConfiguration() (*configuration, error) {
	s := d.settings
	c := &configuration{
		self: raft.Member{VM: core.VM(s.VM), Address: d.advertised()},
		copy: configsync.NewTask(configjson.Codec{}, d.configChanged),
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
		Self: c.self.VM, Cell: core.Cell(s.Cell), Voters: func() []string { return c.voters }, First: d.firstKnown(),
		Coordinator: d.cell.Coordinator,
		Votes:       c.replica != nil, Task: c.copy, Client: c.client,
	}
	c.remote = &configsync.Remote{
		Task: c.copy, Client: c.client, Retry: registry.Retry,
		Voters: func() []string { return c.voters },
	}
	return c, nil
}

// advertised is the address by which other daemons reach this one.
func (d *Daemon) advertised() string {
	if _, port, err := net.SplitHostPort(d.settings.Advertise); err == nil && port != "0" {
		return d.settings.Advertise
	}
	return d.InnerAddress()
}

// voterAddresses returns the inner addresses of the other voters.
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
		Self: c.self.VM, Members: firstMembers(d.settings, c.self), Bootstrap: firstChange(d.settings.Bootstrap),
		Files: files, Codec: configjson.Codec{}, Transport: c.client, Seed: seed.Sum64(),
		OnUpdate: c.copy.Offer,
		OnEvent:  d.registryReporter(),
	})
}

// firstKnown is what the settings say of the cells: whom a daemon may ask that
// starts while no voter answers.
func (d *Daemon) firstKnown() *config.State {
	first := firstChange(d.settings.Bootstrap)
	if first == nil {
		return nil
	}
	state, err := config.NewState().Apply(config.Command{Change: *first})
	if err != nil {
		return nil
	}
	return state
}

// tasks returns the tasks to supervise.
func (c *configuration) tasks() []task.Service {
	tasks := []task.Service{
		task.Func("configuration", c.copy.Serve),
		task.Func("configuration poller", c.poller.Serve),
	}
	if c.replica != nil {
		tasks = append(tasks, task.Func("registry", c.replica.Serve))
	}
	return tasks
}

func (c *configuration) handler() http.Handler {
	if c.replica == nil {
		return innerproto.RegistryHandler(c.self.VM, nil, c.copy)
	}
	return innerproto.RegistryHandler(c.self.VM, c.replica, c.copy)
}

// State publishes the configuration in force at this daemon.
func (c *configuration) State() task.Snapshot[config.State] { return c.copy.State() }

// Current returns the configuration in force at this daemon.
func (c *configuration) Current() *config.State { return c.copy.Current() }

// Propose asks the registry for a change and returns the state in force here
// after it.
func (c *configuration) Propose(ctx context.Context, command config.Command) (*config.State, error) {
	if c.replica == nil {
		return c.remote.Propose(ctx, command)
	}
	version, err := c.replica.ProposeVersion(ctx, command)
	if err != nil {
		return nil, err
	}
	return c.copy.Reached(ctx, version)
}

// AddVoter makes a VM a voter of the registry once it has caught up.
func (c *configuration) AddVoter(ctx context.Context, vm config.VM) error {
	if c.replica != nil {
		return c.replica.AddVoter(ctx, vm.Name, vm.InnerAddress)
	}
	return c.askVoters(func(address string) error {
		return c.client.ChangeVoter(ctx, address, raft.Member{VM: vm.Name, Address: vm.InnerAddress}, true)
	})
}

// RemoveVoter ends a VM's membership of the registry.
func (c *configuration) RemoveVoter(ctx context.Context, vm core.VM) error {
	if c.replica != nil {
		return c.replica.RemoveVoter(ctx, vm)
	}
	return c.askVoters(func(address string) error {
		return c.client.ChangeVoter(ctx, address, raft.Member{VM: vm}, false)
	})
}

// Status returns what is known of the registry's members.
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

// askVoters asks one voter after the other until one answers.
func (c *configuration) askVoters(ask func(address string) error) error {
	var failed []string
	for _, address := range c.voters {
		err := ask(address)
		if code := result.CodeOf(err); code != result.CommitUnknown && code != result.NoLeader {
			return err
		}
		failed = append(failed, err.Error())
	}
	return result.New(result.CommitUnknown, "no voter gave an answer: %s", strings.Join(failed, "; "))
}
