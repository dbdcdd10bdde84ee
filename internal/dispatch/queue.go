package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// equalWeight is the weight of every workspace in the fair queue: while a service
// is overloaded each gets an equal share, and the others use what one leaves
// unused.
const equalWeight = 1

// overloadedRetryAfter is the retry delay advised to callers that a full queue
// refused.
const overloadedRetryAfter = time.Second

// waiter is a request in a queue.
type waiter struct {
	ticket  Ticket
	request SlotRequest
	queue   *fairqueue.Queue[waiter]
	index   int // in Pool.expiry
}

// enqueue adds a request to q. If q is full, it refuses the newest request of the
// workspace with the longest queue, which may be this one.
func (p *Pool) enqueue(q *fairqueue.Queue[waiter], ticket Ticket, request SlotRequest) {
	if q.Len() >= p.queueLimit(request) {
		newest, longest := q.NewestOfLongest()
		if longest <= q.Backlog(request.Workspace)+1 {
			p.refuse(ticket, result.Overloaded)
			return
		}
		p.refuse(newest.Value.ticket, result.Overloaded)
		p.untrack(newest)
		q.Remove(newest)
	}
	it := q.Push(request.Workspace, equalWeight, waiter{ticket: ticket, request: request, queue: q})
	p.waiting[ticket] = it
	p.expiry.add(it)
}

func (p *Pool) queueLimit(request SlotRequest) int {
	if request.Target != "" {
		return max(p.targets[request.Target].info.Slots*p.queuePerSlot, 1)
	}
	slots := 0
	for _, t := range p.assigned {
		slots += t.info.Slots
	}
	return max(slots*p.queuePerSlot, 1)
}

// untrack removes a request from waiting and expiry; the caller removes it from
// its queue.
func (p *Pool) untrack(it *item) {
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
		p.untrack(newest)
		q.Remove(newest)
	}
}

func (p *Pool) grant(ticket Ticket, t *target, request SlotRequest, now time.Time) {
	if request.Attempt == 0 {
		p.budget.Deposit()
	}
	t.takeSlot(now)
	s := Slot{Target: t.info, Fence: request.Fence, FirstByteTimeout: t.firstByteTimeout(), Load: p.load(now)}
	if request.Target == "" && p.latency.Count() >= hedgeSamples {
		s.HedgeAfter = max(hedgeFactor*p.hedgeLatency.Get(&p.latency, hedgeQuantile), hedgeFloor)
	}
	p.grants = append(p.grants, Grant{Ticket: ticket, Slot: s})
}

// load returns the number of requests in flight and waiting, in thousandths of the
// number of requests that the targets currently accept at once.
func (p *Pool) load(now time.Time) uint32 {
	capacity, requests := 0, p.sharedQueue.Len()
	for _, t := range p.assigned {
		capacity += t.window.Limit(t.info.Slots, now)
		requests += t.inFlight + t.queue.Len()
	}
	return uint32(requests * perThousand / max(capacity, 1))
}

const perThousand = 1000

func (p *Pool) grantAllWaiting(now time.Time) []Grant {
	for _, t := range p.assigned {
		p.grantTargetQueue(t, now)
	}
	p.grantSharedQueue(now)
	return p.grants
}

// grantWaiting grants free slots after a change of t.
func (p *Pool) grantWaiting(t *target, now time.Time) {
	p.grantTargetQueue(t, now)
	p.grantSharedQueue(now)
}

func (p *Pool) grantTargetQueue(t *target, now time.Time) {
	for t.queue.Len() > 0 && t.hasFreeSlot(now) {
		p.grantNext(t.queue, t, now)
	}
}

func (p *Pool) grantSharedQueue(now time.Time) {
	for p.sharedQueue.Len() > 0 {
		t := p.choose("", false, now)
		if t == nil {
			return
		}
		p.grantNext(p.sharedQueue, t, now)
	}
}

func (p *Pool) grantNext(q *fairqueue.Queue[waiter], t *target, now time.Time) {
	it := q.Head()
	w := it.Value
	p.untrack(it)
	_, _ = q.Pop()
	p.grant(w.ticket, t, w.request, now)
}

// pick returns a target that may serve the request now, or nil.
func (p *Pool) pick(request SlotRequest, now time.Time) *target {
	if request.Target == "" {
		return p.choose(request.Avoid, request.NoWait, now)
	}
	if t := p.targets[request.Target]; t.hasFreeSlot(now) {
		return t
	}
	return nil
}
