package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize         = 8192
	controlSize         = 256
	defaultQueuePerSlot = 16
)

type message interface{ isMessage() }

type acquire struct {
	request SlotRequest
	reply   task.Reply[Grant]
}

type cancel struct {
	service core.Service
	reply   task.Reply[Grant]
}

type firstByte struct {
	slot    Slot
	attempt exchange.Attempt
}

type release struct {
	slot    Slot
	attempt exchange.Attempt
}

type tableChanged struct{ table *cell.Table }

type configChanged struct{ state *config.State }

type awaitIdle struct{ reply task.Reply[struct{}] }

func (acquire) isMessage()       {}
func (cancel) isMessage()        {}
func (firstByte) isMessage()     {}
func (release) isMessage()       {}
func (tableChanged) isMessage()  {}
func (configChanged) isMessage() {}
func (awaitIdle) isMessage()     {}

// tableVersion identifies the table in use. changed is closed when another table
// replaces it.
type tableVersion struct {
	fence   core.Fence
	changed chan struct{}
}

// Task owns the pools of all services whose targets this daemon dispatches.
type Task struct {
	self    core.VM
	mailbox task.Mailbox[message] // of requests
	control task.Mailbox[message] // of changes and drains, separate so that many requests cannot fill it

	pools       map[core.Service]*Pool
	services    map[core.Service]config.Service
	replies     map[Ticket]task.Reply[Grant]
	tickets     map[task.Reply[Grant]]Ticket
	lastTicket  Ticket
	inFlight    int
	drains      *drains
	hotKeys     map[shardKey]uint64 // shards that hold a single key, with its hash
	table       task.Snapshot[tableVersion]
	idleWaiters []task.Reply[struct{}]

	timer        *time.Timer
	timerFiresAt time.Time // when timer fires; zero: stopped

	onChange func(Change)
}

// NewTask returns the dispatch task of daemon self.
func NewTask(self core.VM) *Task {
	return &Task{
		self:    self,
		mailbox: task.NewMailbox[message]("dispatch", mailboxSize),
		control: task.NewMailbox[message]("dispatch control", controlSize),
		pools:   map[core.Service]*Pool{},
		replies: map[Ticket]task.Reply[Grant]{},
		drains:  newDrains(),
		tickets: map[task.Reply[Grant]]Ticket{},

		onChange: func(Change) {},
		table:    task.NewSnapshot(&tableVersion{changed: make(chan struct{})}),
	}
}

// OnChange makes the task call onChange, from its own goroutine, with each Change.
// onChange must not block. OnChange must be called before Serve.
func (t *Task) OnChange(onChange func(Change)) { t.onChange = onChange }

// Acquire waits for a slot until the request's deadline or the end of ctx.
func (t *Task) Acquire(ctx context.Context, request SlotRequest) (Slot, error) {
	reply := task.NewReply[Grant]()
	if err := t.mailbox.Post(acquire{request: request, reply: reply}); err != nil {
		return Slot{}, err
	}
	select {
	case g := <-reply:
		return g.Slot, g.Err
	case <-ctx.Done():
		_ = t.mailbox.Send(context.WithoutCancel(ctx), cancel{service: request.Service, reply: reply})
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			return Slot{}, result.Wrap(result.DeadlineInQueue, ctx.Err(), "no free slot of service %s before the deadline", request.Service)
		}
		return Slot{}, result.Wrap(result.CallerGone, ctx.Err(), "caller cancelled its request in the queue of service %s", request.Service)
	}
}

// FirstByte reports that an answer has begun and that the rest of it streams. The
// slot stays occupied until Release.
func (t *Task) FirstByte(s Slot, a exchange.Attempt) {
	_ = t.mailbox.Send(context.Background(), firstByte{slot: s, attempt: a})
}

// Release releases a slot and reports the outcome of the request.
func (t *Task) Release(s Slot, a exchange.Attempt) {
	_ = t.mailbox.Send(context.Background(), release{slot: s, attempt: a})
}

// TableChanged delivers a new table of the cell.
func (t *Task) TableChanged(table *cell.Table) { _ = t.control.Post(tableChanged{table}) }

// ConfigChanged delivers the configuration in force.
func (t *Task) ConfigChanged(s *config.State) { _ = t.control.Post(configChanged{s}) }

// AwaitTable waits until the task has a table other than the one with fence
// seen, or until ctx ends.
func (t *Task) AwaitTable(ctx context.Context, seen core.Fence) {
	v := t.table.Load()
	if v.fence != seen {
		return
	}
	select {
	case <-v.changed:
	case <-ctx.Done():
	}
}

// AwaitIdle waits until no request holds a slot or waits for one, or until ctx
// ends.
func (t *Task) AwaitIdle(ctx context.Context) error {
	_, err := task.Ask(ctx, t.control, func(r task.Reply[struct{}]) message { return awaitIdle{r} })
	return err
}

// Serve runs the task until ctx ends. It sleeps until a message arrives or until
// the earliest time at which a pool has something to do.
func (t *Task) Serve(ctx context.Context) error {
	t.timer = time.NewTimer(time.Hour)
	t.timer.Stop()
	t.timerFiresAt = time.Time{}
	defer t.timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m, time.Now())
		case m := <-t.control.C():
			t.handle(m, time.Now())
		case now := <-t.timer.C:
			t.timerFiresAt = time.Time{}
			for _, p := range t.pools {
				t.deliver(p.Tick(now))
			}
		}
		t.arm(time.Now())
	}
}

// arm sets the timer to the earliest time at which a pool has something to do.
func (t *Task) arm(now time.Time) {
	var next time.Time
	for _, p := range t.pools {
		if at := p.NextTick(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	switch {
	case next.Equal(t.timerFiresAt):
	case next.IsZero():
		t.timer.Stop()
	default:
		t.timer.Reset(next.Sub(now))
	}
	t.timerFiresAt = next
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case acquire:
		t.lastTicket++
		t.replies[t.lastTicket] = m.reply
		t.tickets[m.reply] = t.lastTicket
		if err := t.drains.admit(t.lastTicket, m.request); err != nil {
			t.deliver([]Grant{{Ticket: t.lastTicket, Err: err}})
			return
		}
		t.deliver(t.pool(m.request.Service).Acquire(t.lastTicket, m.request, now))
	case cancel:
		t.cancel(m, now)
	case firstByte:
		t.deliver(t.pool(m.slot.Target.Service).FirstByte(m.slot, m.attempt, now))
	case release:
		t.release(m.slot, m.attempt, now)
	case tableChanged:
		t.applyTable(m.table, now)
	case configChanged:
		t.applyConfig(m.state)
	case drain:
		t.startDrain(m)
	case awaitIdle:
		t.idleWaiters = append(t.idleWaiters, m.reply)
		t.answerIdle()
	}
}

func (t *Task) release(s Slot, a exchange.Attempt, now time.Time) {
	t.inFlight--
	t.drains.release(s)
	pool := t.pool(s.Target.Service)
	t.deliver(pool.Release(s, a, now))
	for _, c := range pool.Changes() {
		t.onChange(c)
	}
	t.answerIdle()
}

// cancel removes a waiting request, or releases the slot if it was granted
// meanwhile.
func (t *Task) cancel(m cancel, now time.Time) {
	if ticket, ok := t.tickets[m.reply]; ok {
		t.drains.removeWaiting(ticket)
		t.pool(m.service).Cancel(ticket)
		t.forget(ticket, m.reply)
		t.answerIdle()
		return
	}
	if g := <-m.reply; g.Err == nil {
		t.release(g.Slot, exchange.Attempt{Code: result.CallerGone}, now)
	}
}

func (t *Task) answerIdle() {
	if t.inFlight > 0 || len(t.replies) > 0 {
		return
	}
	for _, r := range t.idleWaiters {
		r.Answer(struct{}{})
	}
	t.idleWaiters = nil
}

func (t *Task) applyTable(table *cell.Table, now time.Time) {
	t.setHotKeys(table)
	byService := map[core.Service][]core.Target{}
	for _, e := range table.Targets {
		if e.Dispatcher == t.self && !e.Releasing {
			byService[e.Target.Service] = append(byService[e.Target.Service], e.Target)
		}
	}
	for name := range t.pools {
		if byService[name] == nil {
			byService[name] = []core.Target{}
		}
	}
	for name, targets := range byService {
		p := t.pool(name)
		t.deliver(p.Update(targets, now))
		if p.Idle() {
			delete(t.pools, name)
		}
	}
	old := t.table.Load()
	t.table.Publish(&tableVersion{fence: table.Fence, changed: make(chan struct{})})
	close(old.changed)
}

func (t *Task) applyConfig(s *config.State) {
	t.services = s.Services
	for name, p := range t.pools {
		p.SetQueuePerSlot(t.queuePerSlot(name))
	}
}

func (t *Task) queuePerSlot(service core.Service) int {
	if n := t.services[service].QueuePerSlot; n > 0 {
		return n
	}
	return defaultQueuePerSlot
}

func (t *Task) pool(service core.Service) *Pool {
	p := t.pools[service]
	if p == nil {
		p = NewPool(service, t.queuePerSlot(service), LatencyAware{}, rand.Uint64()|1)
		t.pools[service] = p
	}
	return p
}

func (t *Task) deliver(grants []Grant) {
	for _, g := range grants {
		if reply, ok := t.replies[g.Ticket]; ok {
			t.forget(g.Ticket, reply)
			g = t.drains.recordGrant(g)
			reply.Answer(g)
			if g.Err == nil {
				t.inFlight++
			}
		}
	}
}

func (t *Task) forget(ticket Ticket, reply task.Reply[Grant]) {
	delete(t.replies, ticket)
	delete(t.tickets, reply)
}
