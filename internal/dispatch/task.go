package dispatch

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize         = 8192
	deadlinePeriod      = 5 * time.Millisecond
	defaultQueuePerSlot = 16
)

type message interface{ isMessage() }

type acquire struct {
	need  Need
	reply task.Reply[Grant]
}

type cancel struct {
	service core.Service
	reply   task.Reply[Grant]
}

type release struct {
	slot    Slot
	attempt exchange.Attempt
}

type tableChanged struct{ table *cell.Table }

func (acquire) isMessage()      {}
func (cancel) isMessage()       {}
func (release) isMessage()      {}
func (tableChanged) isMessage() {}

// Task owns the pools of all services whose targets this daemon dispatches.
type Task struct {
	self    core.VM
	mailbox task.Mailbox[message]

	pools   map[core.Service]*Pool
	replies map[Ticket]task.Reply[Grant]
	next    Ticket
}

// NewTask returns the dispatch task of daemon self.
func NewTask(self core.VM) *Task {
	return &Task{
		self:    self,
		mailbox: task.NewMailbox[message]("dispatch", mailboxSize),
		pools:   map[core.Service]*Pool{},
		replies: map[Ticket]task.Reply[Grant]{},
	}
}

// Acquire waits for a slot until the need's deadline or the end of ctx.
func (t *Task) Acquire(ctx context.Context, n Need) (Slot, error) {
	reply := task.NewReply[Grant]()
	if err := t.mailbox.Post(acquire{need: n, reply: reply}); err != nil {
		return Slot{}, err
	}
	select {
	case g := <-reply:
		return g.Slot, g.Err
	case <-ctx.Done():
		_ = t.mailbox.Send(context.WithoutCancel(ctx), cancel{service: n.Service, reply: reply})
		return Slot{}, result.Wrap(result.CallerGone, ctx.Err(), "caller left the queue of %s", n.Service)
	}
}

// Release gives a slot back and tells what became of the request.
func (t *Task) Release(s Slot, a exchange.Attempt) {
	_ = t.mailbox.Send(context.Background(), release{slot: s, attempt: a})
}

// TableChanged delivers a new table of the cell.
func (t *Task) TableChanged(table *cell.Table) { _ = t.mailbox.Post(tableChanged{table}) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(deadlinePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m)
		case now := <-ticker.C:
			for _, p := range t.pools {
				t.deliver(p.Pump(now))
			}
		}
	}
}

func (t *Task) handle(m message) {
	now := time.Now()
	switch m := m.(type) {
	case acquire:
		t.next++
		t.replies[t.next] = m.reply
		t.deliver(t.pool(m.need.Service).Acquire(t.next, m.need, now))
	case cancel:
		t.cancel(m, now)
	case release:
		t.deliver(t.pool(m.slot.Target.Service).Release(m.slot.Target.ID, m.attempt, now))
	case tableChanged:
		t.update(m.table, now)
	}
}

// cancel withdraws a waiting need, or gives back the slot that it got meanwhile.
func (t *Task) cancel(m cancel, now time.Time) {
	for ticket, reply := range t.replies {
		if reply == m.reply {
			delete(t.replies, ticket)
			t.pool(m.service).Cancel(ticket)
			return
		}
	}
	if g := <-m.reply; g.Err == nil {
		t.deliver(t.pool(m.service).Release(g.Slot.Target.ID, exchange.Attempt{Code: result.CallerGone}, now))
	}
}

func (t *Task) update(table *cell.Table, now time.Time) {
	byService := map[core.Service][]core.Target{}
	for _, e := range table.Targets {
		if e.Dispatcher == t.self {
			byService[e.Target.Service] = append(byService[e.Target.Service], e.Target)
		}
	}
	for name := range t.pools {
		if byService[name] == nil {
			byService[name] = []core.Target{}
		}
	}
	for name, targets := range byService {
		t.deliver(t.pool(name).Update(targets, now))
	}
}

func (t *Task) pool(service core.Service) *Pool {
	p := t.pools[service]
	if p == nil {
		p = NewPool(defaultQueuePerSlot)
		t.pools[service] = p
	}
	return p
}

func (t *Task) deliver(grants []Grant) {
	for _, g := range grants {
		if reply, ok := t.replies[g.Ticket]; ok {
			delete(t.replies, g.Ticket)
			reply.Answer(g)
		}
	}
}
