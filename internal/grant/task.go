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

type answered struct {
	order Order
	reply Reply
}

type drained struct{ drain Drain }

func (tableChanged) isMessage()  {}
func (configChanged) isMessage() {}
func (answered) isMessage()      {}
func (drained) isMessage()       {}

// Sender carries an order to its target.
type Sender interface {
	Order(ctx context.Context, o Order) Reply
}

// Drainer ends the work of this daemon on an assignment or a placement: it
// gives no more out, and calls done, which does not wait, when none runs. An
// error says that it did not take the message.
type Drainer interface {
	Drain(d Drain, done func()) error
}

// Member is this daemon's part in its cell.
type Member interface {
	Lease() cell.Lease
	Table() *cell.Table
}

// Task owns the Book of this daemon.
type Task struct {
	mailbox task.Mailbox[message]
	view    task.Snapshot[View]
	sender  Sender
	drainer Drainer
	member  Member
	proved  func(cell.Facts)

	book *Book
}

// NewTask returns the task of daemon self. It calls proved, from its own
// goroutine, with all facts whenever one changed; proved must not wait.
func NewTask(self core.VM, s Sender, d Drainer, m Member, proved func(cell.Facts)) *Task {
	book := NewBook(self, DefaultTiming(cell.DefaultTiming().GrantTTL))
	return &Task{
		mailbox: task.NewMailbox[message]("grant", mailboxSize),
		view:    task.NewSnapshot(book.View()),
		sender:  s, drainer: d, member: m, proved: proved, book: book,
	}
}

// View is the newest state for requests.
func (t *Task) View() *View { return t.view.Load() }

// TableChanged tells that the member has another table in force.
func (t *Task) TableChanged() { _ = t.mailbox.Post(tableChanged{}) }

// ConfigChanged delivers the configuration in force.
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
		if table := t.member.Table(); table != t.book.table {
			changed = true
			t.drain(ctx, t.book.SetTable(table, time.Now()))
		}
		orders := t.book.Due(t.member.Lease(), time.Now())
		for _, o := range orders {
			go t.send(ctx, o)
		}
		t.drain(ctx, t.book.Drains(time.Now()))
		if changed {
			t.view.Publish(t.book.View())
		}
		if now := t.book.Facts(); !now.Equal(facts) {
			facts = now
			t.view.Publish(t.book.View())
			t.proved(facts)
		}
	}
}

func (t *Task) handle(m message) {
	switch m := m.(type) {
	case configChanged:
		t.book.SetConfig(m.state)
	case answered:
		t.book.Answered(m.order, m.reply, time.Now())
	case drained:
		t.book.Drained(m.drain, time.Now())
	}
}

// send carries one order, from a goroutine of its own that ends with the
// answer or at the time of a call.
func (t *Task) send(ctx context.Context, o Order) {
	limited, cancel := context.WithTimeout(ctx, t.book.timing.Call)
	defer cancel()
	_ = t.mailbox.Send(ctx, answered{o, t.sender.Order(limited, o)})
}

func (t *Task) drain(ctx context.Context, drains []Drain) {
	for _, d := range drains {
		_ = t.drainer.Drain(d, func() { go func() { _ = t.mailbox.Send(ctx, drained{d}) }() })
	}
}
