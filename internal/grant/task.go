package grant

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 256
	tickPeriod  = 20 * time.Millisecond
)

type message interface{ isMessage() }

type tableChanged struct{}

type configChanged struct{ state *config.State }

type replied struct {
	order Order
	reply Reply
}

type drainFinished struct{ drain Drain }

func (tableChanged) isMessage()  {}
func (configChanged) isMessage() {}
func (replied) isMessage()       {}
func (drainFinished) isMessage() {}

// Sender sends an order to its target and returns the reply.
type Sender interface {
	Order(ctx context.Context, o Order) Reply
}

// Drainer stops this daemon's requests under an assignment or a placement: it
// starts no new ones, and calls done, which does not block, when none is in
// flight. An error means that it did not accept the message.
type Drainer interface {
	Drain(d Drain, done func()) error
}

// Member is this daemon's membership of its cell.
type Member interface {
	Lease() cell.Lease
	Table() *cell.Table
}

// Task owns the Controller of this daemon.
type Task struct {
	mailbox task.Mailbox[message]
	view    task.Snapshot[View]
	sender  Sender
	drainer Drainer
	member  Member
	onFacts func(cell.Facts)

	controller *Controller
}

// NewTask returns the task of daemon self. It calls onFacts, from its own
// goroutine, with all facts whenever one changed; onFacts must not block.
func NewTask(self core.VM, s Sender, d Drainer, m Member, onFacts func(cell.Facts)) *Task {
	controller := NewController(self, DefaultTiming(cell.DefaultTiming().GrantTTL))
	return &Task{
		mailbox: task.NewMailbox[message]("grant", mailboxSize),
		view:    task.NewSnapshot(controller.View()),
		sender:  s, drainer: d, member: m, onFacts: onFacts, controller: controller,
	}
}

// View returns the latest view of the live grants.
func (t *Task) View() *View { return t.view.Load() }

// TableChanged wakes the task, which reads the table from its member.
func (t *Task) TableChanged() { _ = t.mailbox.Post(tableChanged{}) }

// ConfigChanged replaces the configuration.
func (t *Task) ConfigChanged(s *config.State) { _ = t.mailbox.Post(configChanged{s}) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	var facts cell.Facts
	for {
		changed := true
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m)
		case <-ticker.C:
			changed = false
		}
		if table := t.member.Table(); table != t.controller.table {
			changed = true
			t.drain(ctx, t.controller.SetTable(table, time.Now()))
		}
		orders := t.controller.DueOrders(t.member.Lease(), time.Now())
		for _, o := range orders {
			go t.send(ctx, o)
		}
		t.drain(ctx, t.controller.Drains(time.Now()))
		if changed {
			t.view.Publish(t.controller.View())
		}
		if current := t.controller.Facts(); !current.Equal(facts) {
			facts = current
			t.view.Publish(t.controller.View())
			t.onFacts(facts)
		}
	}
}

func (t *Task) handle(m message) {
	switch m := m.(type) {
	case configChanged:
		t.controller.SetConfig(m.state)
	case replied:
		t.controller.HandleReply(m.order, m.reply, time.Now())
	case drainFinished:
		t.controller.DrainDone(m.drain, time.Now())
	}
}

// send sends one order and posts its reply to the mailbox. It runs on its own
// goroutine, which ends with the reply or at the timeout of an order.
func (t *Task) send(ctx context.Context, o Order) {
	limited, cancel := context.WithTimeout(ctx, t.controller.timing.OrderTimeout)
	defer cancel()
	_ = t.mailbox.Send(ctx, replied{o, t.sender.Order(limited, o)})
}

func (t *Task) drain(ctx context.Context, drains []Drain) {
	for _, d := range drains {
		_ = t.drainer.Drain(d, func() { go func() { _ = t.mailbox.Send(ctx, drainFinished{d}) }() })
	}
}
