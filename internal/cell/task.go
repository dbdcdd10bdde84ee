package cell

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/membership"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 64
	leaseTTL    = 700 * time.Millisecond
	renewPeriod = 200 * time.Millisecond
)

// Message is one of the messages to a cell task.
type Message interface{ isMessage() }

// ConfigChanged tells the task the state in force.
type ConfigChanged struct{ State *config.State }

// TargetsChanged tells the task the targets that announced themselves here.
type TargetsChanged struct{ View *membership.View }

func (ConfigChanged) isMessage()  {}
func (TargetsChanged) isMessage() {}

// Task owns one member's view of its cell.
type Task struct {
	self    core.VM
	mailbox task.Mailbox[Message]
	table   task.Snapshot[Table]
	lease   task.Snapshot[Lease]
	changed func(*Table)

	state   *config.State
	targets map[core.TargetID]core.Target
}

// NewTask returns the task of member self. It calls changed, from its own
// goroutine, with each new table; changed must not wait.
func NewTask(self core.VM, cell core.Cell, changed func(*Table)) *Task {
	return &Task{
		self:    self,
		mailbox: task.NewMailbox[Message]("cell", mailboxSize),
		table:   task.NewSnapshot(NewTable(cell)),
		lease:   task.NewSnapshot(&Lease{}),
		changed: changed,
		state:   config.NewState(),
	}
}

// Table is the newest table in force.
func (t *Task) Table() *Table { return t.table.Load() }

// Lease is this member's permission to dispatch.
func (t *Task) Lease() Lease { return *t.lease.Load() }

// Post delivers a message without waiting.
func (t *Task) Post(m Message) error { return t.mailbox.Post(m) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(renewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m)
		case <-ticker.C:
			t.renew()
		}
	}
}

func (t *Task) handle(m Message) {
	switch m := m.(type) {
	case ConfigChanged:
		t.state = m.State
	case TargetsChanged:
		t.targets = m.View.Targets
	}
	next := Plan(t.Table(), t.state, t.targets, []core.VM{t.self})
	t.table.Publish(next)
	t.renew()
	t.changed(next)
}

// renew extends the lease of a cell's only member.
func (t *Task) renew() {
	t.lease.Publish(&Lease{Fence: t.Table().Fence, Until: time.Now().Add(leaseTTL)})
}
