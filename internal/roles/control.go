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
	// identityFile holds the name of this replica; it is lost with the disk,
	// and with it the votes that were given under the name.
	identityFile = "identity"
	// joinPeriod is the time between attempts to become a voter.
	joinPeriod = 300 * time.Millisecond
	// memberPeriod is the time between looks at the registry's members.
	memberPeriod = 500 * time.Millisecond
	// maxLeaderless is at how many looks in a row no leader may be known before
	// a replica asks whether it was removed.
	maxLeaderless = 4
)

// ControlOptions are the parts of a control VM.
type ControlOptions struct {
	Inner      Inner
	DataFolder string
	FirstStart bool     // the whole system starts for the first time
	Founders   []string // inner addresses of the first voters
	Terms      fleet.Terms
	Logger     log.Logger
}

// Control is one control VM: a replica of the registry, and the fleet's book
// while it leads.
type Control struct {
	options  ControlOptions
	self     raft.Member
	copy     *configsync.Task
	replica  *registry.Task
	client   *innerproto.RegistryClient
	leader   *leadership.Task
	fleet    *fleet.Task
	listener net.Listener
}

// NewControl opens the storage and binds the inner listener.
func NewControl(o ControlOptions) (*Control, error) {
	files, err := storage.OpenFolder(o.DataFolder)
	if err != nil {
		return nil, result.Wrap(result.StorageFailed, err, "data folder %s", o.DataFolder)
	}
	founder := o.FirstStart && slices.Contains(o.Founders, o.Inner.Address)
	self, err := identity(files, o.Inner.Address, founder)
	if err != nil {
		return nil, err
	}
	c := &Control{
		options: o, self: raft.Member{VM: self, Address: o.Inner.Address},
		copy: configsync.NewTask(configjson.Codec{}, func(*config.State) {}),
	}
	c.client = innerproto.NewRegistryClient(c.self, newTransport())
	if c.replica, err = c.newReplica(files, founder); err != nil {
		return nil, err
	}
	c.leader = leadership.NewTask(self, c)
	c.fleet = fleet.NewTask(fleet.Options{
		Terms: o.Terms, State: c.replica.Current, Tenure: c.leader.Tenure, Propose: c.replica.Propose, ProposeOnce: c.replica.ProposeOnce,
		Control: c.members, Record: recorder(o.Logger),
	})
	if c.listener, err = net.Listen("tcp", o.Inner.Address); err != nil {
		return nil, fmt.Errorf("bind the inner listener: %w", err)
	}
	return c, nil
}

// identity returns the name of this replica. A replica that lost its disk has
// forgotten its votes, so it gets another name.
func identity(files storage.FileSystem, address string, founder bool) (core.VM, error) {
	stored, err := files.ReadFile(identityFile)
	if err != nil {
		return "", result.Wrap(result.StorageFailed, err, "read the identity")
	}
	if len(stored) > 0 {
		return core.VM(stored), nil
	}
	name := address
	if !founder {
		const suffixLength = 6 // tells apart the disks that one address had
		name += "#" + rand.Text()[:suffixLength]
	}
	if err := files.Replace(identityFile, []byte(name)); err != nil {
		return "", result.Wrap(result.StorageFailed, err, "store the identity")
	}
	return core.VM(name), nil
}

func (c *Control) newReplica(files storage.FileSystem, founder bool) (*registry.Task, error) {
	var founders raft.Members
	if founder {
		for _, address := range c.options.Founders {
			founders = append(founders, raft.Member{VM: VMAt(address), Address: address})
		}
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(c.self.VM))
	return registry.NewTask(registry.Options{
		Self: c.self.VM, Members: founders.Sorted(), Files: files, Codec: configjson.Codec{}, Transport: c.client,
		Seed: seed.Sum64(), OnUpdate: c.copy.Offer,
		OnEvent: func(event, text string) {
			_ = level.Info(c.options.Logger).Log("msg", "registry "+event, "detail", text)
		},
	})
}

// Run serves until ctx ends. extra are the tasks of the edges to targets and
// operators.
func (c *Control) Run(ctx context.Context, extra ...task.Service) error {
	mux := http.NewServeMux()
	mux.Handle(innerproto.RegistryPath, innerproto.RegistryHandler(c.self.VM, c.replica, c.copy))
	mux.Handle(innerproto.FleetPath, innerproto.FleetHandler(c.fleet))
	return supervise(ctx, "control", c.options.Logger, append([]task.Service{
		task.Func("configuration", c.copy.Serve),
		task.Func("registry", c.replica.Serve),
		task.Func("leadership", c.leader.Serve),
		task.Func("fleet", c.fleet.Serve),
		task.Func("membership of the registry", c.keepMembers),
		serveHTTP("inner", c.listener, mux),
	}, extra...))
}

// Fleet is the task that targets report to.
func (c *Control) Fleet() *fleet.Task { return c.fleet }

// Propose asks the registry for a change and returns when it is durable on a
// majority.
func (c *Control) Propose(ctx context.Context, change config.Change) (core.Version, error) {
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

// Leader is the VM that leads as far as this one knows, empty if it knows none.
func (c *Control) Leader() core.VM { return c.leader.Tenure().Leader }

func (c *Control) members(ctx context.Context) []core.VM {
	s, err := c.replica.Status(ctx)
	if err != nil {
		return nil // asked again with the next plan
	}
	var members []core.VM
	for _, m := range s.Members {
		members = append(members, m.VM)
	}
	return members
}

// keepMembers makes this replica a voter, and on the leader removes replicas
// whose disk is gone: another one has joined from their address.
func (c *Control) keepMembers(ctx context.Context) error {
	leaderless := 0 // looks in a row at which no leader was known
	for ctx.Err() == nil {
		period := memberPeriod
		s, err := c.replica.Status(ctx)
		if err == nil && s.Leader == "" {
			leaderless++
		} else {
			leaderless = 0
		}
		switch {
		case err != nil:
		case !s.Members.IsVoter(c.self.VM), leaderless > maxLeaderless && c.wasRemoved(ctx):
			period = joinPeriod
			c.join(ctx)
		case s.Leader == c.self.VM:
			c.removeGone(ctx, s)
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

// wasRemoved reports whether another replica says that this one is no member:
// it was removed while it was cut off, and no leader sends to it any more.
func (c *Control) wasRemoved(ctx context.Context) bool {
	for _, address := range c.options.Inner.Seeds() {
		if address == c.self.Address {
			continue
		}
		askContext, cancel := context.WithTimeout(ctx, memberPeriod)
		s, err := c.client.Members(askContext, address)
		cancel()
		if err == nil && s.Leader != "" {
			_, member := s.Members.Find(c.self.VM)
			return !member
		}
	}
	return false
}

// join asks the control VMs from the settings one after the other.
func (c *Control) join(ctx context.Context) {
	for _, address := range c.options.Inner.Seeds() {
		if address == c.self.Address {
			continue
		}
		const attempt = 2 * time.Second // a learner copies the log meanwhile
		joinContext, cancel := context.WithTimeout(ctx, attempt)
		err := c.client.ChangeVoter(joinContext, address, c.self, true)
		cancel()
		if err == nil {
			_ = level.Info(c.options.Logger).Log("msg", "joined the registry", "through", address, "as", c.self.VM)
			return
		}
		_ = level.Warn(c.options.Logger).Log("msg", "could not join the registry", "through", address, "err", err)
	}
}

// removeGone removes one replica that is gone, if there is any.
func (c *Control) removeGone(ctx context.Context, s raft.Status) {
	gone, why, ok := goneReplica(s, len(c.options.Founders))
	if !ok {
		return
	}
	const attempt = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, attempt)
	defer cancel()
	err := c.replica.RemoveVoter(ctx, gone)
	_ = level.Info(c.options.Logger).Log("msg", "removed a replica", "replica", gone, "why", why, "err", err)
}
