package cell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/membership"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize   = 256
	tickPeriod    = 20 * time.Millisecond
	proposePeriod = 300 * time.Millisecond
	assignTimeout = 2 * time.Second // for a pin to be in force
)

// Message is a message to a Task.
type Message interface{ isMessage() }

// ConfigChanged delivers the configuration in force.
type ConfigChanged struct{ State *config.State }

// TargetsChanged delivers the targets that announce themselves to this daemon.
type TargetsChanged struct{ View *membership.View }

// FactsChanged delivers what this daemon has proved about the shards and targets
// that it dispatches.
type FactsChanged struct{ Facts Facts }

// answerReceived delivers the answer to one of this member's calls; nil: the call
// failed.
type answerReceived struct {
	to     core.VM
	answer Answer
}

// callReceived delivers a call of another member or of this daemon.
type callReceived struct {
	from  core.VM
	call  Call
	reply task.Reply[Answer]
}

func (ConfigChanged) isMessage()  {}
func (TargetsChanged) isMessage() {}
func (FactsChanged) isMessage()   {}
func (answerReceived) isMessage() {}
func (callReceived) isMessage()   {}

// Transport sends a call to another member and returns its answer.
type Transport interface {
	Call(ctx context.Context, to config.VM, from core.VM, c Call) (Answer, error)
}

// Task owns one member's Node and runs it in a goroutine of its own.
type Task struct {
	self             core.VM
	cell             core.Cell
	timing           Timing
	transport        Transport
	mailbox          task.Mailbox[Message]
	table            task.Snapshot[Table]
	lease            task.Snapshot[Lease]
	coordinator      task.Snapshot[core.VM]
	coordinatorLease task.Snapshot[CoordinatorLease]
	changed          func(*Table)
	propose          func(config.Change)
	lastProposed     time.Time

	state         *config.State
	targets       map[core.TargetID]core.Target
	facts         Facts
	node          *Node
	callsInFlight map[core.VM]int // number of calls in flight to each member
	pendingPins   []pendingPin
}

// pendingPin is a pin that is not yet in force and whose caller waits.
type pendingPin struct {
	pin      Pin
	reply    task.Reply[Answer]
	deadline time.Time
}

// NewTask returns the task of member self. It calls changed, from its own
// goroutine, with each new table in force, and propose with the configuration
// changes that this member has to propose as coordinator; neither may block.
func NewTask(self core.VM, cell core.Cell, transport Transport, changed func(*Table), propose func(config.Change)) *Task {
	return &Task{
		self: self, cell: cell, timing: DefaultTiming(), transport: transport,
		mailbox:          task.NewMailbox[Message]("cell", mailboxSize),
		table:            task.NewSnapshot(NewTable(cell)),
		lease:            task.NewSnapshot(&Lease{}),
		coordinator:      task.NewSnapshot(new(core.VM)),
		coordinatorLease: task.NewSnapshot(new(CoordinatorLease)),
		changed:          changed,
		propose:          propose,
		state:            config.NewState(),
	}
}

// Table returns the newest table in force.
func (t *Task) Table() *Table { return t.table.Load() }

// Lease returns this member's lease, its permission to dispatch.
func (t *Task) Lease() Lease { return *t.lease.Load() }

// Coordinator returns the last known holder of the coordinator lease, which may
// have ended since; empty: none yet.
func (t *Task) Coordinator() core.VM { return *t.coordinator.Load() }

// CoordinatorLease returns this member's own coordinator lease, if it holds it. The
// lease expires at its Until without further notice.
func (t *Task) CoordinatorLease() CoordinatorLease { return *t.coordinatorLease.Load() }

// Post delivers a message without waiting.
func (t *Task) Post(m Message) error { return t.mailbox.Post(m) }

// Answer delivers a call of another member and waits for the answer.
func (t *Task) Answer(ctx context.Context, from core.VM, c Call) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[Answer]) Message { return callReceived{from, c, r} })
	if err == nil && a == nil {
		err = result.New(result.NoLeader, "VM %s cannot answer this call in its current state", t.self)
	}
	return a, err
}

// Assign requests a pin and returns once a majority of the cell holds it.
func (t *Task) Assign(ctx context.Context, p Pin) error {
	a, err := t.Answer(ctx, t.self, Assign{p})
	if err != nil {
		return err
	}
	return a.(AssignAnswer).Err
}

// Serve runs the task until ctx ends. Like a restarted process, each run starts
// without votes, table or lease.
func (t *Task) Serve(ctx context.Context) error {
	t.node = NewNode(t.self, rand.Uint64(), uint64(time.Now().Unix()), t.cell, t.timing, time.Now())
	t.callsInFlight = map[core.VM]int{}
	t.table.Publish(NewTable(t.cell))
	t.lease.Publish(&Lease{})
	t.coordinatorLease.Publish(&CoordinatorLease{})
	t.sendAll(ctx, t.node.SetConfig(t.state, time.Now()))
	t.sendAll(ctx, t.node.SetTargets(t.targets, time.Now()))
	t.sendAll(ctx, t.node.SetFacts(t.facts, time.Now()))
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.sendAll(ctx, t.handle(ctx, m, time.Now()))
		case now := <-ticker.C:
			t.sendAll(ctx, t.node.Tick(now))
			t.proposeDue(now)
		}
		t.publish(time.Now())
	}
}

func (t *Task) handle(ctx context.Context, m Message, now time.Time) []Send {
	switch m := m.(type) {
	case ConfigChanged:
		t.state = m.State
		return t.node.SetConfig(m.State, now)
	case TargetsChanged:
		t.targets = m.View.Targets
		return t.node.SetTargets(t.targets, now)
	case FactsChanged:
		t.facts = m.Facts
		return t.node.SetFacts(t.facts, now)
	case answerReceived:
		t.callsInFlight[m.to] = max(0, t.callsInFlight[m.to]-1)
		if m.answer != nil {
			return t.node.HandleAnswer(m.to, m.answer, now)
		}
	case callReceived:
		if a, ok := m.call.(Assign); ok {
			return t.assign(ctx, m, a.Pin, now)
		}
		a, _ := t.node.HandleCall(m.from, m.call, now)
		m.reply.Answer(a)
		return t.node.Tick(now)
	}
	return nil
}

// proposeDue proposes the pending configuration changes again every proposePeriod
// until the configuration contains them.
func (t *Task) proposeDue(now time.Time) {
	if now.Sub(t.lastProposed) < proposePeriod {
		return
	}
	t.lastProposed = now
	for _, c := range t.node.Proposals(now) {
		t.propose(c)
	}
}

// publish publishes the changed parts of the node's state, and answers the pins
// that are in force or past their deadline.
func (t *Task) publish(now time.Time) {
	if lease := t.node.Lease(); lease != t.Lease() {
		t.lease.Publish(&lease)
	}
	if c, live := t.node.Coordinator(now); live && c != t.Coordinator() {
		t.coordinator.Publish(&c)
	}
	if lease := t.node.CoordinatorLease(now); lease != t.CoordinatorLease() {
		t.coordinatorLease.Publish(&lease)
	}
	if table := t.node.Table(); table != t.Table() {
		t.table.Publish(table)
		t.changed(table)
	}
	remaining := t.pendingPins[:0]
	for _, pending := range t.pendingPins {
		switch {
		case t.Table().HasPin(pending.pin):
			pending.reply.Answer(AssignAnswer{})
		case now.After(pending.deadline):
			pending.reply.Answer(AssignAnswer{result.New(result.CommitUnknown, "no majority of cell %s confirmed the pin in time", t.cell)})
		default:
			remaining = append(remaining, pending)
		}
	}
	t.pendingPins = remaining
}
