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
	assignLimit   = 2 * time.Second // that an operator's choice may take to be in force
)

// Message is one of the messages to a cell task.
type Message interface{ isMessage() }

// ConfigChanged tells the task the state in force.
type ConfigChanged struct{ State *config.State }

// TargetsChanged tells the task the targets that announced themselves here.
type TargetsChanged struct{ View *membership.View }

// FactsChanged tells the task what this daemon has proved about what it
// dispatches.
type FactsChanged struct{ Facts Facts }

// called brings the answer to one of this member's calls; nil: it failed.
type called struct {
	to     core.VM
	answer Answer
}

// asked is a call of another member, or of this daemon.
type asked struct {
	from  core.VM
	call  Call
	reply task.Reply[Answer]
}

func (ConfigChanged) isMessage()  {}
func (TargetsChanged) isMessage() {}
func (FactsChanged) isMessage()   {}
func (called) isMessage()         {}
func (asked) isMessage()          {}

// Transport carries a call to another member.
type Transport interface {
	Call(ctx context.Context, to config.VM, from core.VM, c Call) (Answer, error)
}

// Task owns one member's Node.
type Task struct {
	self        core.VM
	cell        core.Cell
	timing      Timing
	transport   Transport
	mailbox     task.Mailbox[Message]
	table       task.Snapshot[Table]
	lease       task.Snapshot[Lease]
	coordinator task.Snapshot[core.VM]
	tenure      task.Snapshot[Tenure]
	changed     func(*Table)
	propose     func(config.Change)
	proposed    time.Time

	state   *config.State
	targets map[core.TargetID]core.Target
	facts   Facts
	node    *Node
	open    map[core.VM]int // calls on their way
	waiting []assignment
}

// assignment is an operator's choice that is not yet in force.
type assignment struct {
	pin   Pin
	reply task.Reply[Answer]
	until time.Time
}

// NewTask returns the task of member self. It calls changed, from its own
// goroutine, with each new table in force, and propose with the changes that
// this member owes the registry as coordinator; neither may wait.
func NewTask(self core.VM, cell core.Cell, transport Transport, changed func(*Table), propose func(config.Change)) *Task {
	return &Task{
		self: self, cell: cell, timing: DefaultTiming(), transport: transport,
		mailbox:     task.NewMailbox[Message]("cell", mailboxSize),
		table:       task.NewSnapshot(NewTable(cell)),
		lease:       task.NewSnapshot(&Lease{}),
		coordinator: task.NewSnapshot(new(core.VM)),
		tenure:      task.NewSnapshot(new(Tenure)),
		changed:     changed,
		propose:     propose,
		state:       config.NewState(),
	}
}

// Table is the newest table in force.
func (t *Task) Table() *Table { return t.table.Load() }

// Lease is this member's permission to dispatch.
func (t *Task) Lease() Lease { return *t.lease.Load() }

// Coordinator is the member that this one last saw holding the cell's lease;
// empty: none.
func (t *Task) Coordinator() core.VM { return *t.coordinator.Load() }

// Tenure is this member's own coordination of the cell; it ends by itself.
func (t *Task) Tenure() Tenure { return *t.tenure.Load() }

// Post delivers a message without waiting.
func (t *Task) Post(m Message) error { return t.mailbox.Post(m) }

// Answer delivers a call of another member and waits for the answer.
func (t *Task) Answer(ctx context.Context, from core.VM, c Call) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[Answer]) Message { return asked{from, c, r} })
	if err == nil && a == nil {
		err = result.New(result.NoLeader, "VM %s has no answer", t.self)
	}
	return a, err
}

// Assign asks for an operator's choice and returns once a majority of the cell
// holds it.
func (t *Task) Assign(ctx context.Context, p Pin) error {
	a, err := t.Answer(ctx, t.self, Assign{p})
	if err != nil {
		return err
	}
	return a.(AssignAnswer).Err
}

// Serve runs the task until ctx ends. A new run begins without votes, as a
// restarted process does.
func (t *Task) Serve(ctx context.Context) error {
	t.node = NewNode(t.self, rand.Uint64(), uint64(time.Now().Unix()), t.cell, t.timing, time.Now())
	t.open = map[core.VM]int{}
	t.table.Publish(NewTable(t.cell))
	t.lease.Publish(&Lease{})
	t.tenure.Publish(&Tenure{})
	t.do(ctx, t.node.SetConfig(t.state, time.Now()))
	t.do(ctx, t.node.SetTargets(t.targets, time.Now()))
	t.do(ctx, t.node.SetFacts(t.facts, time.Now()))
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.do(ctx, t.handle(ctx, m, time.Now()))
		case now := <-ticker.C:
			t.do(ctx, t.node.Tick(now))
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
	case called:
		t.open[m.to] = max(0, t.open[m.to]-1)
		if m.answer != nil {
			return t.node.Answered(m.to, m.answer, now)
		}
	case asked:
		if a, ok := m.call.(Assign); ok {
			return t.assign(ctx, m, a.Pin, now)
		}
		a, _ := t.node.Answer(m.from, m.call, now)
		m.reply.Answer(a)
		return t.node.Tick(now)
	}
	return nil
}

// proposeDue repeats what this member owes the registry until the
// configuration shows it.
func (t *Task) proposeDue(now time.Time) {
	if now.Sub(t.proposed) < proposePeriod {
		return
	}
	t.proposed = now
	for _, c := range t.node.Proposals(now) {
		t.propose(c)
	}
}

// publish hands out what changed, and answers the choices that are in force.
func (t *Task) publish(now time.Time) {
	if lease := t.node.Lease(); lease != t.Lease() {
		t.lease.Publish(&lease)
	}
	if c, live := t.node.Coordinator(now); live && c != t.Coordinator() {
		t.coordinator.Publish(&c)
	}
	if tenure := t.node.Tenure(now); tenure != t.Tenure() {
		t.tenure.Publish(&tenure)
	}
	if table := t.node.Table(); table != t.Table() {
		t.table.Publish(table)
		t.changed(table)
	}
	kept := t.waiting[:0]
	for _, w := range t.waiting {
		switch {
		case t.Table().Holds(w.pin):
			w.reply.Answer(AssignAnswer{})
		case now.After(w.until):
			w.reply.Answer(AssignAnswer{result.New(result.CommitUnknown, "no majority of cell %s confirmed the choice", t.cell)})
		default:
			kept = append(kept, w)
		}
	}
	t.waiting = kept
}
