// Package dispatch decides when and to which target each request is sent, for the
// targets that the cell's table assigns to this daemon. A target has a limited
// number of slots; a request holds one while it runs and waits in a queue if none
// is free. Decisions: pool.go, queue.go, target.go, choice.go, eligible.go,
// deadlines.go, drains.go. Task: task.go, which owns every pool.
package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
	"github.com/comfreynotch/comfreynotch/internal/latency"
	"github.com/comfreynotch/comfreynotch/internal/outlier"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/retry"
)

const (
	evaluationPeriod = 100 * time.Millisecond // between evaluations of outliers
	hedgeQuantile    = 0.95
	hedgeFactor      = 2
	hedgeFloor       = 2 * time.Millisecond
	hedgeSamples     = 128 // latencies of the service before the first hedge
)

// SlotRequest describes one request that needs a slot.
type SlotRequest struct {
	Service   core.Service
	Workspace core.Workspace
	Target    core.TargetID // empty: any target of the service
	Shard     core.Shard    // only with a Target
	Key       uint64        // hash of the key, only with a Target
	Fence     core.Fence
	Deadline  time.Time
	Attempt   int           // number of earlier attempts of the same request
	Avoid     core.TargetID // target to avoid if another is eligible
	NoWait    bool          // refuse at once if no slot of a target other than Avoid is free
}

// Slot is the permission to send one request to one target.
type Slot struct {
	Target           core.Target
	Fence            core.Fence
	FirstByteTimeout time.Duration // time without a first byte after which the connection is suspected to be dead
	HedgeAfter       time.Duration // time without a first byte after which to send a hedge; 0: unknown
	Shard            core.Shard
	key              uint64
	keyed            bool   // Shard and key are set
	Load             uint32 // of the service's targets here, in thousandths of their capacity
}

// Ticket identifies a request that acquires a slot.
type Ticket uint64

// Grant assigns a slot to the request with a ticket, or refuses it with Err.
type Grant struct {
	Ticket Ticket
	Slot   Slot
	Err    error
}

// Pool holds the targets of one service and the requests that wait for them. The
// grants that its methods return are valid until the next call.
type Pool struct {
	service      core.Service
	queuePerSlot int
	chooser      Chooser
	random       uint64

	targets      map[core.TargetID]*target
	assigned     []*target        // those with assigned set, ordered by ID
	outlierStats []*outlier.Stats // of assigned, in the same order
	sharedQueue  *fairqueue.Queue[waiter]
	waiting      map[Ticket]*item
	expiry       deadlineHeap
	budget       retry.Budget

	group        outlier.Group
	evaluated    time.Time
	ejected      []int
	changes      []Change // not yet returned by Changes
	latency      latency.Histogram
	hedgeLatency latency.Cached
	stuckLatency latency.Cached

	grants     []Grant
	candidates []Candidate
	eligible   []*target
}

// NewPool returns a pool without targets. At most queuePerSlot requests wait for
// each slot. seed, which must not be 0, starts its random number generator.
func NewPool(service core.Service, queuePerSlot int, chooser Chooser, seed uint64) *Pool {
	return &Pool{
		service:      service,
		queuePerSlot: queuePerSlot,
		chooser:      chooser,
		random:       seed,
		targets:      map[core.TargetID]*target{},
		sharedQueue:  fairqueue.New[waiter](),
		waiting:      map[Ticket]*item{},
		budget:       retry.NewBudget(),
	}
}

// SetQueuePerSlot changes the limit of the queues. Requests that already wait
// stay.
func (p *Pool) SetQueuePerSlot(n int) { p.queuePerSlot = n }

// Idle reports whether the pool has neither targets nor requests.
func (p *Pool) Idle() bool { return len(p.targets) == 0 && len(p.waiting) == 0 }

// Update replaces the targets. A removed target is kept until its requests in
// flight have ended; the requests that wait for it are refused, so that they go to
// its new dispatcher.
func (p *Pool) Update(targets []core.Target, now time.Time) []Grant {
	p.grants = p.grants[:0]
	for _, t := range p.targets {
		t.removeIfAbsent(p, targets)
	}
	for _, info := range targets {
		t := p.targets[info.ID]
		if t == nil {
			t = &target{queue: fairqueue.New[waiter]()}
			p.targets[info.ID] = t
		}
		t.update(info)
	}
	p.rebuildIndex()
	if len(p.assigned) == 0 {
		p.refuseAll(p.sharedQueue, result.NoTarget)
	}
	return p.grantAllWaiting(now)
}

// removeIfAbsent marks t as not assigned if it is not in targets, and refuses the
// requests that wait for it.
func (t *target) removeIfAbsent(p *Pool, targets []core.Target) {
	if slices.ContainsFunc(targets, func(c core.Target) bool { return c.ID == t.info.ID }) {
		return
	}
	t.assigned = false
	p.refuseAll(t.queue, result.NotOwner)
	if t.inFlight == 0 {
		delete(p.targets, t.info.ID)
	}
}

func (p *Pool) rebuildIndex() {
	p.assigned, p.outlierStats = p.assigned[:0], p.outlierStats[:0]
	for _, t := range p.targets {
		if t.assigned {
			p.assigned = append(p.assigned, t)
		}
	}
	slices.SortFunc(p.assigned, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for _, t := range p.assigned {
		p.outlierStats = append(p.outlierStats, &t.stats)
	}
}

// Acquire requests a slot and returns the resulting grants and refusals.
func (p *Pool) Acquire(ticket Ticket, request SlotRequest, now time.Time) []Grant {
	p.grants = p.grants[:0]
	if code := p.refusal(request, now); code != result.OK {
		p.refuse(ticket, code)
		return p.grants
	}
	q := p.sharedQueue
	if request.Target != "" {
		q = p.targets[request.Target].queue
	}
	if q.Len() == 0 {
		if t := p.pick(request, now); t != nil {
			p.grant(ticket, t, request, now)
			return p.grants
		}
	}
	if request.NoWait {
		if request.Attempt > 0 {
			p.budget.Refund()
		}
		p.refuse(ticket, result.Overloaded)
		return p.grants
	}
	p.enqueue(q, ticket, request)
	return p.grants
}

// refusal returns why a request can neither be served nor wait; OK if it can.
func (p *Pool) refusal(request SlotRequest, now time.Time) result.Code {
	switch {
	case !now.Before(request.Deadline):
		return result.DeadlineInQueue
	case request.Target != "" && (p.targets[request.Target] == nil || !p.targets[request.Target].assigned):
		return result.NotOwner
	case request.Target == "" && len(p.assigned) == 0:
		return result.NoTarget
	case request.Attempt > 0 && !p.budget.Withdraw():
		return result.RetryBudgetSpent
	}
	return result.OK
}

// FirstByte reports that the answer to a request in flight has begun and that the
// rest of it streams. The slot stays occupied until Release.
func (p *Pool) FirstByte(s Slot, a exchange.Attempt, now time.Time) []Grant {
	p.grants = p.grants[:0]
	if t := p.targets[s.Target.ID]; t != nil && t.inFlight > t.streaming {
		t.streaming++
		p.observe(t, s, a, now)
		p.grantWaiting(t, now)
	}
	return p.grants
}

// Release reports the end of a request on a target and returns the resulting
// grants.
func (p *Pool) Release(s Slot, a exchange.Attempt, now time.Time) []Grant {
	p.grants = p.grants[:0]
	t := p.targets[s.Target.ID]
	if t == nil || t.inFlight == 0 {
		return p.grants
	}
	t.inFlight--
	if a.Streamed {
		t.streaming = max(t.streaming-1, 0)
	} else {
		p.observe(t, s, a, now)
	}
	if !t.assigned {
		if t.inFlight == 0 {
			delete(p.targets, t.info.ID)
		}
		return p.grants
	}
	p.grantWaiting(t, now)
	return p.grants
}

// observe records the outcome of a request if it ran on the current incarnation of
// the target, and ejects outliers.
func (p *Pool) observe(t *target, s Slot, a exchange.Attempt, now time.Time) {
	if s.Target.Incarnation != t.info.Incarnation {
		return
	}
	wasCold := t.window.Cold()
	t.observe(a, now)
	p.noteSlowStart(t, wasCold)
	if a.Code == result.OK {
		p.latency.Add(a.Latency)
	}
	if now.Sub(p.evaluated) < evaluationPeriod {
		return
	}
	p.evaluated = now
	p.ejected = p.group.Evaluate(p.outlierStats, now, p.ejected[:0])
	for _, i := range p.ejected {
		p.assigned[i].window.Reset()
		p.changes = append(p.changes, Change{Target: p.assigned[i].info, Kind: Ejected, Until: p.outlierStats[i].EjectedUntil()})
	}
}

// Cancel removes a waiting request and reports whether it was still waiting.
func (p *Pool) Cancel(ticket Ticket) bool {
	it := p.waiting[ticket]
	if it == nil {
		return false
	}
	p.untrack(it)
	it.Value.queue.Remove(it)
	return true
}

// Tick refuses the waiting requests whose deadline has passed and grants free
// slots to others.
func (p *Pool) Tick(now time.Time) []Grant {
	p.grants = p.grants[:0]
	for len(p.expiry) > 0 && !now.Before(p.expiry.earliest()) {
		it := p.expiry[0]
		p.refuse(it.Value.ticket, result.DeadlineInQueue)
		p.untrack(it)
		it.Value.queue.Remove(it)
	}
	return p.grantAllWaiting(now)
}

// NextTick returns the earliest time at which Tick may have something to do; zero
// if no request waits.
func (p *Pool) NextTick(now time.Time) time.Time {
	next := p.expiry.earliest()
	if next.IsZero() {
		return next
	}
	for _, t := range p.assigned {
		if t.queue.Len() == 0 && p.sharedQueue.Len() == 0 {
			continue
		}
		for _, end := range []time.Time{t.window.PausedUntil(), t.stats.EjectedUntil()} {
			if end.After(now) && end.Before(next) {
				next = end
			}
		}
	}
	return next
}
