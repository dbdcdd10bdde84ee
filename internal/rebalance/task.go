package rebalance

import (
	"context"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize   = 4096
	reportPeriod  = 5 * time.Second
	reportTimeout = time.Second
	assignTimeout = 3 * time.Second
	reportTTL     = 3 * reportPeriod // how long a report is valid
	maxHotKeys    = 256              // most keys of one service with a shard of their own, in one cell
)

// Cell is this daemon's membership of its cell.
type Cell interface {
	Table() *cell.Table
	Coordinator() core.VM
	CoordinatorLease() cell.CoordinatorLease
	Assign(ctx context.Context, p cell.Pin) error
}

// Peers sends reports to the coordinator.
type Peers interface {
	ReportLoad(ctx context.Context, to config.VM, from core.VM, r Report) error
}

type message interface{ isMessage() }

type sent struct{ request Request }

type reported struct {
	from   core.VM
	report Report
}

type configChanged struct{ state *config.State }

func (sent) isMessage()          {}
func (reported) isMessage()      {}
func (configChanged) isMessage() {}

// Task owns this daemon's tracker and, while this daemon is its cell's
// coordinator, the reports of the cell's members.
type Task struct {
	self    core.VM
	cell    Cell
	peers   Peers
	mailbox task.Mailbox[message]
	onMove  func(Move)

	state      *config.State
	tracker    *Tracker
	reports    map[core.VM]Report
	receivedAt map[core.VM]time.Time
}

// NewTask returns the task of daemon self. It calls onMove, from its own
// goroutine, with each move that it requests; onMove must not block.
func NewTask(self core.VM, c Cell, p Peers, onMove func(Move)) *Task {
	return &Task{
		self: self, cell: c, peers: p, onMove: onMove,
		mailbox:    task.NewMailbox[message]("rebalance", mailboxSize),
		state:      config.NewState(),
		reports:    map[core.VM]Report{},
		receivedAt: map[core.VM]time.Time{},
	}
}

// CountSent counts one keyed request that was sent to a target. The request goes
// uncounted when the mailbox is full.
func (t *Task) CountSent(r Request) { _ = t.mailbox.Post(sent{r}) }

// Reported records a member's report.
func (t *Task) Reported(from core.VM, r Report) error { return t.mailbox.Post(reported{from, r}) }

// ConfigChanged replaces the configuration.
func (t *Task) ConfigChanged(s *config.State) { _ = t.mailbox.Post(configChanged{s}) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	t.tracker = NewTracker(time.Now())
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m)
		case now := <-ticker.C:
			t.report(ctx, now)
		}
	}
}

func (t *Task) handle(m message) {
	switch m := m.(type) {
	case sent:
		t.tracker.Observe(m.request)
	case reported:
		t.reports[m.from] = m.report
		t.receivedAt[m.from] = time.Now()
	case configChanged:
		t.state = m.state
	}
}

// report sends this daemon's load to the coordinator. If this daemon is the
// coordinator, it makes a rebalancing pass instead.
func (t *Task) report(ctx context.Context, now time.Time) {
	r := t.tracker.Report(now)
	if now.Before(t.cell.CoordinatorLease().Until) {
		t.reports[t.self], t.receivedAt[t.self] = r, now
		t.decide(ctx, now)
		return
	}
	clear(t.reports)
	clear(t.receivedAt)
	if to, ok := t.state.VMs[t.cell.Coordinator()]; ok && len(r.Services) > 0 {
		go t.send(ctx, to, r)
	}
}

func (t *Task) send(ctx context.Context, to config.VM, r Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	_ = t.peers.ReportLoad(ctx, to, t.self, r)
}

// decide makes one rebalancing pass: for each service it requests at most one
// move, or the removal of one pin.
func (t *Task) decide(ctx context.Context, now time.Time) {
	for vm, at := range t.receivedAt {
		if now.Sub(at) > reportTTL {
			delete(t.reports, vm)
			delete(t.receivedAt, vm)
		}
	}
	table := t.cell.Table()
	for name, svc := range t.state.Services {
		if !svc.Keyed {
			continue
		}
		targets := serviceTargets(table, svc)
		if noShardReleasing(table, name) {
			t.requestChange(ctx, targets, table)
		}
	}
}

func (t *Task) requestChange(ctx context.Context, targets ServiceTargets, table *cell.Table) {
	if p, ok := PinToRemove(targets, t.reports, table); ok {
		go t.assign(ctx, p)
		return
	}
	if m, ok := Balance(targets, t.reports); ok {
		t.onMove(m)
		go t.assign(ctx, cell.Pin{
			Service: m.Service, Shard: m.Shard, Key: m.ByKey, Hash: m.Hash, Target: m.To, Automatic: true,
		})
	}
}

func (t *Task) assign(ctx context.Context, p cell.Pin) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	_ = t.cell.Assign(ctx, p)
}

// serviceTargets returns the description of one service that a decision needs.
func serviceTargets(table *cell.Table, svc config.Service) ServiceTargets {
	targets := ServiceTargets{Service: svc.Name, SplittableShards: svc.Shards, Fixed: map[core.Shard]bool{}}
	for id, e := range table.Targets {
		if e.Target.Service == svc.Name && !e.Target.Draining {
			targets.Targets = append(targets.Targets, id)
		}
	}
	slices.Sort(targets.Targets)
	for shard, pin := range table.Pins[svc.Name] {
		targets.Fixed[shard] = !pin.Automatic
	}
	if len(table.HotKeys[svc.Name]) >= maxHotKeys {
		targets.SplittableShards = 0
	}
	return targets
}

// noShardReleasing reports whether no shard of the service is being released for
// a move.
func noShardReleasing(table *cell.Table, service core.Service) bool {
	return !slices.ContainsFunc(table.Shards[service], func(a cell.Assignment) bool { return a.Releasing })
}
