package roles

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/balance"
	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/relay"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// EntryOptions are the parts of an entry VM.
type EntryOptions struct {
	Inner  Inner
	Home   core.DataCentre
	Bounds balance.Bounds
	Sender relay.Sender
	Logger log.Logger
}

// Entry is one entry VM: it follows the configuration and the fleet, and
// relays callers' requests to targets.
type Entry struct {
	options EntryOptions
	copy    *configsync.Task
	poller  *configsync.Poller
	balance *balance.Task
	relay   *relay.Relay
	fleet   *fleet.Follower
	control task.Snapshot[[]string] // inner addresses that the leader told
}

// NewEntry assembles an entry VM.
func NewEntry(o EntryOptions) *Entry {
	self := VMAt(o.Inner.Address)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(self))
	e := &Entry{options: o, control: task.NewSnapshot(&[]string{})}
	e.balance = balance.NewTask(balance.Options{
		Self: self, Home: o.Home, Bounds: o.Bounds, Seed: seed.Sum64(),
		Draw: func(ctx context.Context, wants []quota.Want) ([]quota.Supply, error) { return e.fleet.Draw(ctx, wants) },
	})
	e.fleet = fleet.NewFollower(fleet.FollowerOptions{
		Self: self, Seeds: o.Inner.Seeds, Client: innerproto.NewFleetClient(newTransport()),
		Report: e.balance.Report, Record: recorder(o.Logger), Deliver: e.told,
	})
	e.copy = configsync.NewTask(configjson.Codec{}, func(s *config.State) { e.balance.ConfigChanged(s) })
	member := raft.Member{VM: self, Address: o.Inner.Address}
	e.poller = &configsync.Poller{
		Self: self, Voters: e.sources, Coordinator: func() core.VM { return "" }, Task: e.copy,
		MaxAge: configsync.VoterAge,
		Client: innerproto.NewRegistryClient(member, newTransport()),
	}
	e.relay = &relay.Relay{Balancer: e.balance, Sender: o.Sender, Record: e.record}
	return e
}

// sources are the control VMs that can be asked for the configuration.
func (e *Entry) sources() []string {
	if told := *e.control.Load(); len(told) > 0 {
		return told
	}
	return e.options.Inner.Seeds()
}

// Run serves until ctx ends. extra are the tasks of the edge to callers.
func (e *Entry) Run(ctx context.Context, extra ...task.Service) error {
	return supervise(ctx, "entry", e.options.Logger, append([]task.Service{
		task.Func("configuration", e.copy.Serve),
		task.Func("configuration poller", e.poller.Serve),
		task.Func("fleet", e.fleet.Serve),
		task.Func("balance", e.balance.Serve),
	}, extra...))
}

func (e *Entry) told(ctx context.Context, n fleet.News) {
	var addresses []string
	for _, vm := range n.Control {
		addresses = append(addresses, fleet.AddressOf(vm))
	}
	if len(addresses) > 0 {
		e.control.Publish(&addresses)
	}
	e.balance.FleetUpdated(ctx, n)
}

// Relay serves requests.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// State is the configuration in force here.
func (e *Entry) State() *config.State { return e.copy.Current() }

// ProofAge is the time since the configuration in force was proved to be the
// newest.
func (e *Entry) ProofAge() time.Duration { return clock.Since(e.copy.ConfirmedAt()) }

// record writes one line for each decision about a request that did not simply
// go well.
func (e *Entry) record(v relay.Event) {
	c := v.Call
	fields := []any{
		"msg", "request " + v.Kind, "request", c.ID, "route", c.Route.Name, "revision", c.Route.Revision,
		"workspace", c.Workspace, "service", v.Service, "sends", v.Attempts, "left_ms", c.Deadline.Sub(clock.Now()).Milliseconds(),
	}
	if c.HasKey {
		fields = append(fields, "key", c.ShardKey)
	}
	if v.Choice.Target.ID != "" {
		fields = append(fields, "target", v.Choice.Target.ID, "expected_ms", v.Choice.Expected.Milliseconds(),
			"load", v.Choice.Load, "load_age_ms", min(v.Choice.LoadAge, time.Hour).Milliseconds())
	}
	if v.Err != nil {
		fields = append(fields, "code", uint16(v.Err.Code), "ran", v.Err.Ran.String(), "err", v.Err.Error())
		_ = level.Warn(e.options.Logger).Log(fields...)
		return
	}
	_ = level.Debug(e.options.Logger).Log(fields...)
}
