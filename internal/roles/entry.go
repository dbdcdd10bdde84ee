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

// EntryOptions configures an entry VM.
type EntryOptions struct {
	Inner  Inner
	Home   core.DataCentre
	Bounds balance.Bounds
	Sender relay.Sender
	Logger log.Logger
	// ConfigPolled is called after each poll for the configuration that failed or brought
	// a newer version. It must not block.
	ConfigPolled func(configsync.PollResult)
}

// Entry is one entry VM: it follows the configuration and the fleet, and
// relays callers' requests to targets.
type Entry struct {
	options          EntryOptions
	configuration    *configsync.Task
	poller           *configsync.Poller
	balance          *balance.Task
	relay            *relay.Relay
	fleet            *fleet.Follower
	controlAddresses task.Snapshot[[]string] // inner addresses of control VMs, from the leader's updates
}

// NewEntry assembles an entry VM.
func NewEntry(o EntryOptions) *Entry {
	self := VMAt(o.Inner.Address)
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(self))
	e := &Entry{options: o, controlAddresses: task.NewSnapshot(&[]string{})}
	e.balance = balance.NewTask(balance.Options{
		Self: self, Home: o.Home, Bounds: o.Bounds, Seed: seed.Sum64(),
		CounterOf: func(w core.Workspace) (string, string) { return e.fleet.CounterOf(w) },
		Draw: func(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error) {
			return e.fleet.Draw(ctx, address, wants, backup)
		},
	})
	e.fleet = fleet.NewFollower(fleet.FollowerOptions{
		Self: self, Seeds: o.Inner.Seeds, Client: innerproto.NewFleetClient(newTransport()),
		Report: e.balance.Report, Record: recorder(o.Logger), Deliver: e.deliver,
	})
	e.configuration = configsync.NewTask(configjson.Codec{}, func(s *config.State) { e.balance.ConfigChanged(s) })
	member := raft.Member{VM: self, Address: o.Inner.Address}
	e.poller = &configsync.Poller{
		Self: self, Voters: e.sources, Coordinator: func() core.VM { return "" }, Task: e.configuration,
		MaxAge: configsync.MaxVoterProofAge,
		Client: innerproto.NewRegistryClient(member, newTransport()),
		Record: e.logPoll,
	}
	e.relay = &relay.Relay{Balancer: e.balance, Sender: o.Sender, Record: e.logEvent}
	return e
}

// sources returns the inner addresses of the control VMs from which the
// configuration can be fetched: those in the leader's last update, or those in
// the settings before the first one.
func (e *Entry) sources() []string {
	if addresses := *e.controlAddresses.Load(); len(addresses) > 0 {
		return addresses
	}
	return e.options.Inner.Seeds()
}

// Run serves until ctx ends. It also runs the tasks in extra, which serve
// callers.
func (e *Entry) Run(ctx context.Context, extra ...task.Service) error {
	return supervise(ctx, "entry", e.options.Logger, append([]task.Service{
		task.Func("configuration", e.configuration.Serve),
		task.Func("configuration poller", e.poller.Serve),
		task.Func("fleet", e.fleet.Serve),
		task.Func("balance", e.balance.Serve),
	}, extra...))
}

// deliver passes an update from the leader to the balancer, and keeps the
// addresses of the control VMs in it.
func (e *Entry) deliver(ctx context.Context, update fleet.Update) {
	var addresses []string
	for _, vm := range update.ControlVMs {
		addresses = append(addresses, fleet.AddressOf(vm))
	}
	if len(addresses) > 0 {
		e.controlAddresses.Publish(&addresses)
	}
	e.balance.FleetUpdated(ctx, update)
}

// Relay returns the relay that serves callers' requests.
func (e *Entry) Relay() *relay.Relay { return e.relay }

// State returns the configuration in force on this VM.
func (e *Entry) State() *config.State { return e.configuration.Current() }

// ProofAge returns the time since the configuration in force was last confirmed
// to be the newest.
func (e *Entry) ProofAge() time.Duration { return clock.Since(e.configuration.ConfirmedAt()) }

const (
	// lateConfiguration and largeConfiguration are the delay and the size in bytes from
	// which the arrival of a version is logged. Keys that move bring some versions a
	// second, and a line costs as much processor time as the poll.
	lateConfiguration  = time.Second
	largeConfiguration = 16 << 10
)

// logPoll logs a poll for the configuration that failed, or that brought a first, late
// or large version.
func (e *Entry) logPoll(p configsync.PollResult) {
	e.options.ConfigPolled(p)
	if p.Err == nil && p.Behind >= 0 && p.Behind < lateConfiguration && p.Bytes < largeConfiguration {
		return
	}
	fields := []any{
		"source", p.Source, "from", p.From, "version", p.Version, "commands", p.Commands, "snapshot", p.Snapshot, "bytes", p.Bytes,
		"held_ms", p.Held.Milliseconds(), "took_ms", p.Took.Milliseconds(), "behind_ms", p.Behind.Milliseconds(),
	}
	if p.Err != nil {
		_ = level.Warn(e.options.Logger).Log(append([]any{"msg", "configuration not received", "err", p.Err}, fields...)...)
		return
	}
	_ = level.Info(e.options.Logger).Log(append([]any{"msg", "configuration received"}, fields...)...)
}

// logEvent logs one event of the relay: at warning level if it carries an
// error, otherwise at debug level.
func (e *Entry) logEvent(event relay.Event) {
	call := event.Call
	fields := []any{
		"msg", "request " + event.Kind, "request", call.ID, "route", call.Route.Name, "revision", call.Route.Revision,
		"workspace", call.Workspace, "service", event.Service, "sends", event.Attempts, "left_ms", call.Deadline.Sub(clock.Now()).Milliseconds(),
	}
	if call.HasKey {
		fields = append(fields, "key", call.ShardKey)
	}
	if event.Choice.Target.ID != "" {
		fields = append(fields, "target", event.Choice.Target.ID, "expected_ms", event.Choice.Expected.Milliseconds(),
			"load", event.Choice.Load, "load_age_ms", min(event.Choice.LoadAge, time.Hour).Milliseconds())
	}
	if event.Err != nil {
		fields = append(fields, "code", uint16(event.Err.Code), "ran", event.Err.Ran.String(), "err", event.Err.Error())
		_ = level.Warn(e.options.Logger).Log(fields...)
		return
	}
	_ = level.Debug(e.options.Logger).Log(fields...)
}
