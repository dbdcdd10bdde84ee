package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// equalWeight is the weight of every workspace: while a service is overloaded
// each gets an equal part, and what one does not use goes to the others.
const equalWeight = 1

// overloadedRetryAfter advises callers whom a full queue refused.
const overloadedRetryAfter = time.Second

// waiter is a need in a queue.
type waiter struct {
	ticket Ticket
	need   Need
	queue  *fairqueue.Queue[waiter]
	index  int // in Pool.expiry
}

// enqueue adds a need to q. When q is full, the newest need of the workspace
// with the longest queue has to go, which may be this one.
func (p *Pool) enqueue(q *fairqueue.Queue[waiter], ticket Ticket, n Need) {
	if q.Len() >= p.queueLimit(n) {
		newest, longest := q.NewestOfLongest()
		if longest <= q.Backlog(n.Workspace)+1 {
			p.refuse(ticket, result.Overloaded)
			return
		}
		p.refuse(newest.Value.ticket, result.Overloaded)
		p.forget(newest)
		q.Remove(newest)
	}
	it := q.Push(n.Workspace, equalWeight, waiter{ticket: ticket, need: n, queue: q})
	p.waiting[ticket] = it
	p.expiry.add(it)
}

func (p *Pool) queueLimit(n Need) int {
	if n.Target != "" {
		return max(p.targets[n.Target].info.Slots*p.queuePerSlot, 1)
	}
	slots := 0
	for _, t := range p.present {
		slots += t.info.Slots
	}
	return max(slots*p.queuePerSlot, 1)
}

// forget drops a need from the indexes; its queue still holds it.
func (p *Pool) forget(it *item) {
	delete(p.waiting, it.Value.ticket)
	p.expiry.remove(it)
}

func (p *Pool) refuse(ticket Ticket, code result.Code) {
	e := result.New(code, "service %s", p.service)
	if code == result.Overloaded {
		e.RetryAfter = overloadedRetryAfter
	}
	p.grants = append(p.grants, Grant{Ticket: ticket, Err: e})
}

func (p *Pool) refuseAll(q *fairqueue.Queue[waiter], code result.Code) {
	for q.Len() > 0 {
		newest, _ := q.NewestOfLongest()
		p.refuse(newest.Value.ticket, code)
		p.forget(newest)
		q.Remove(newest)
	}
}

func (p *Pool) grant(ticket Ticket, t *target, n Need, now time.Time) {
	if n.Attempt == 0 {
		p.budget.Deposit()
	}
	t.take(now)
	s := Slot{Target: t.info, Fence: n.Fence, Patience: t.patienceFor(), Load: p.load(now)}
	if n.Target == "" && p.latency.Count() >= hedgeSamples {
		s.HedgeAfter = max(hedgeFactor*p.hedge.Get(&p.latency, hedgeQuantile), hedgeFloor)
	}
	p.grants = append(p.grants, Grant{Ticket: ticket, Slot: s})
}

// load is the number of requests in flight and waiting for each thousand that
// the targets bear at once.
func (p *Pool) load(now time.Time) uint32 {
	borne, charge := 0, p.open.Len()
	for _, t := range p.present {
		borne += t.window.Limit(t.info.Slots, now)
		charge += t.inFlight + t.queue.Len()
	}
	return uint32(charge * perThousand / max(borne, 1))
}

const perThousand = 1000

func (p *Pool) pumpAll(now time.Time) []Grant {
	for _, t := range p.present {
		p.pumpTarget(t, now)
	}
	p.pumpOpen(now)
	return p.grants
}

// pump grants what a change of t allows.
func (p *Pool) pump(t *target, now time.Time) {
	p.pumpTarget(t, now)
	p.pumpOpen(now)
}

func (p *Pool) pumpTarget(t *target, now time.Time) {
	for t.queue.Len() > 0 && t.free(now) {
		p.grantNext(t.queue, t, now)
	}
}

func (p *Pool) pumpOpen(now time.Time) {
	for p.open.Len() > 0 {
		t := p.choose("", false, now)
		if t == nil {
			return
		}
		p.grantNext(p.open, t, now)
	}
}

func (p *Pool) grantNext(q *fairqueue.Queue[waiter], t *target, now time.Time) {
	it := q.Head()
	w := it.Value
	p.forget(it)
	_, _ = q.Pop()
	p.grant(w.ticket, t, w.need, now)
}

// pick returns a target that may serve n now, or nil.
func (p *Pool) pick(n Need, now time.Time) *target {
	if n.Target == "" {
		return p.choose(n.Avoid, n.IfFree, now)
	}
	if t := p.targets[n.Target]; t.free(now) {
		return t
	}
	return nil
}
