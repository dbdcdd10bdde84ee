package roles

import (
	"context"
	"crypto/rand"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/leadership"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/registry"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/storage"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	// identityFile holds the name of this replica. It is on the same disk as the
	// votes that the replica gave under that name, so both are lost together.
	identityFile = "identity"
	// joinPeriod is the time between attempts to become a voter.
	joinPeriod = 300 * time.Millisecond
	// membershipPeriod is the time between checks of the registry's membership.
	membershipPeriod = 500 * time.Millisecond
	// maxChecksWithoutLeader is the number of consecutive checks that may find no
	// leader before a replica asks the others whether it was removed.
	maxChecksWithoutLeader = 4
)

// ControlOptions configures a control VM.
type ControlOptions struct {
	Inner         Inner
	DataFolder    string
	FirstStart    bool     // the deployment is being created
	InitialVoters []string // inner addresses of the first voters
	Fleet         fleet.Parameters
	Logger        log.Logger
}

// Control is one control VM: a replica of the registry, which also manages the
// fleet while it leads.
type Control struct {
	options       ControlOptions
	self          raft.Member
	configuration *configsync.Task
	replica       *registry.Task
	client        *innerproto.RegistryClient
	leader        *leadership.Task
	fleet         *fleet.Task
	listener      net.Listener
}

// NewControl opens the storage and binds the inner listener.
func NewControl(o ControlOptions) (*Control, error) {
	files, err := storage.OpenFolder(o.DataFolder)
	if err != nil {
		return nil, result.Wrap(result.StorageFailed, err, "data folder %s", o.DataFolder)
	}
	initialVoter := o.FirstStart && slices.Contains(o.InitialVoters, o.Inner.Address)
	self, err := identity(files, o.Inner.Address, initialVoter)
	if err != nil {
		return nil, err
	}
	c := &Control{
		options: o, self: raft.Member{VM: self, Address: o.Inner.Address},
		configuration: configsync.NewTask(configjson.Codec{}, func(*config.State) {}),
	}
	c.client = innerproto.NewRegistryClient(c.self, newTransport())
	if c.replica, err = c.newReplica(files, initialVoter); err != nil {
		return nil, err
	}
	c.leader = leadership.NewTask(self, c)
	c.fleet = fleet.NewTask(fleet.Options{
		Parameters: o.Fleet, State: c.replica.Current, Lease: c.leader.Lease, Propose: c.replica.Propose, ProposeOnce: c.replica.ProposeOnce,
		ControlVMs: c.controlVMs, Record: recorder(o.Logger),
	})
	if c.listener, err = net.Listen("tcp", o.Inner.Address); err != nil {
		return nil, fmt.Errorf("bind the inner listener: %w", err)
	}
	return c, nil
}

// identity returns the name of this replica, and creates one on an empty disk.
// A replica that lost its disk gets a new name: it no longer has its votes, and
// voting again under the old name could elect two leaders in one term.
func identity(files storage.FileSystem, address string, initialVoter bool) (core.VM, error) {
	stored, err := files.ReadFile(identityFile)
	if err != nil {
		return "", result.Wrap(result.StorageFailed, err, "read the identity")
	}
	if len(stored) > 0 {
		return core.VM(stored), nil
	}
	name := address
	if !initialVoter {
		const suffixLength = 6 // distinguishes replicas that used the same address
		name += "#" + rand.Text()[:suffixLength]
	}
	if err := files.Replace(identityFile, []byte(name)); err != nil {
		return "", result.Wrap(result.StorageFailed, err, "store the identity")
	}
	return core.VM(name), nil
}

func (c *Control) newReplica(files storage.FileSystem, initialVoter bool) (*registry.Task, error) {
	var initialVoters raft.Members
	if initialVoter {
		for _, address := range c.options.InitialVoters {
			initialVoters = append(initialVoters, raft.Member{VM: VMAt(address), Address: address})
		}
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.self.VM))
	return registry.NewTask(registry.Options{
		Self: c.self.VM, Members: initialVoters.Sorted(), Files: files, Codec: configjson.Codec{}, Transport: c.client,
		Seed: seed.Sum64(), OnUpdate: c.configuration.Offer,
		OnEvent: func(event, text string) {
			_ = level.Info(c.options.Logger).Log("msg", "registry "+event, "detail", text)
		},
	})
}

// Run serves until ctx ends. It also runs the tasks in extra, which serve
// targets and operators.
func (c *Control) Run(ctx context.Context, extra ...task.Service) error {
	mux := http.NewServeMux()
	mux.Handle(innerproto.RegistryPathPrefix, innerproto.RegistryHandler(c.self.VM, c.replica, c.configuration))
	mux.Handle(innerproto.FleetPathPrefix, innerproto.FleetHandler(c.fleet))
	return supervise(ctx, "control", c.options.Logger, append([]task.Service{
		task.Func("configuration", c.configuration.Serve),
		task.Func("registry", c.replica.Serve),
		task.Func("leadership", c.leader.Serve),
		task.Func("fleet", c.fleet.Serve),
		task.Func("membership of the registry", c.maintainMembership),
		serveHTTP("inner", c.listener, mux),
	}, extra...))
}

// Fleet returns the task that handles targets' heartbeats.
func (c *Control) Fleet() *fleet.Task { return c.fleet }

// Propose submits a change to the registry and returns when it is durable on a
// majority of the voters. A resent patch that is in force already is acknowledged
// without a new entry in the log, which all VMs would receive.
func (c *Control) Propose(ctx context.Context, change config.Change) (core.Version, error) {
	if patch, ok := change.(config.PatchCatalog); ok {
		if state := c.replica.Current(); patch.AppliedIn(state) {
			return state.Version, nil
		}
	}
	return c.replica.ProposeVersion(ctx, config.Command{Change: change, At: time.Now()})
}

// Read returns a state at least as new as every change that was acknowledged
// before the call.
func (c *Control) Read(ctx context.Context) (*config.State, error) { return c.replica.Read(ctx) }

// Leadership implements leadership.Registry.
func (c *Control) Leadership(ctx context.Context) (leadership.Status, error) {
	s, err := c.replica.Status(ctx)
	return leadership.Status{Leader: s.Leader, Term: uint64(s.Term)}, err
}

// Confirm implements leadership.Registry.
func (c *Control) Confirm(ctx context.Context) error {
	_, err := c.replica.Read(ctx)
	return err
}

// Leader returns the leading VM in this VM's view, or an empty name if it is
// unknown.
func (c *Control) Leader() core.VM { return c.leader.Lease().Leader }

func (c *Control) controlVMs(ctx context.Context) []core.VM {
	s, err := c.replica.Status(ctx)
	if err != nil {
		return nil // the fleet task asks again in its next planning pass
	}
	return reachableMembers(s)
}

// maintainMembership makes this replica a voter. On the leader it also removes
// replicas that have been replaced, as replicaToRemove decides.
func (c *Control) maintainMembership(ctx context.Context) error {
	withoutLeader := 0 // consecutive checks that found no leader
	for ctx.Err() == nil {
		period := membershipPeriod
		s, err := c.replica.Status(ctx)
		if err == nil && s.Leader == "" {
			withoutLeader++
		} else {
			withoutLeader = 0
		}
		switch {
		case err != nil:
		case !s.Members.IsVoter(c.self.VM), withoutLeader > maxChecksWithoutLeader && c.wasRemoved(ctx):
			period = joinPeriod
			c.join(ctx)
		case s.Leader == c.self.VM:
			c.removeReplaced(ctx, s)
		}
		timer := time.NewTimer(period)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return ctx.Err()
}

// wasRemoved reports whether this replica is no longer a member, according to
// the first replica that answers and has a leader. A replica that is removed
// while it is partitioned isn't notified: leaders stop sending to it.
func (c *Control) wasRemoved(ctx context.Context) bool {
	for _, address := range c.options.Inner.Seeds() {
		if address == c.self.Address {
			continue
		}
		requestContext, cancel := context.WithTimeout(ctx, membershipPeriod)
		s, err := c.client.Members(requestContext, address)
		cancel()
		if err == nil && s.Leader != "" {
			_, member := s.Members.Find(c.self.VM)
			return !member
		}
	}
	return false
}

// join asks the control VMs in the settings, one after the other, to add this
// replica as a voter.
func (c *Control) join(ctx context.Context) {
	for _, address := range c.options.Inner.Seeds() {
		if address == c.self.Address {
			continue
		}
		const joinTimeout = 2 * time.Second // includes the time to copy the log as a learner
		joinContext, cancel := context.WithTimeout(ctx, joinTimeout)
		err := c.client.ChangeVoter(joinContext, address, c.self, true)
		cancel()
		if err == nil {
			_ = level.Info(c.options.Logger).Log("msg", "joined the registry", "through", address, "as", c.self.VM)
			return
		}
		_ = level.Warn(c.options.Logger).Log("msg", "could not join the registry", "through", address, "err", err)
	}
}

// removeReplaced removes one replica that has been replaced, if there is one.
func (c *Control) removeReplaced(ctx context.Context, s raft.Status) {
	replica, reason, ok := replicaToRemove(s, len(c.options.InitialVoters))
	if !ok {
		return
	}
	const removeTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	err := c.replica.RemoveVoter(ctx, replica)
	_ = level.Info(c.options.Logger).Log("msg", "attempted to remove a replaced registry replica", "replica", replica, "why", reason, "err", err)
}
