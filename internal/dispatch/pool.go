// Package dispatch hands out the slots of the targets that this daemon
// dispatches. Decisions: pool.go, queue.go, target.go, choice.go,
// deadlines.go. Task: task.go, which owns every pool.
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
	evaluationPeriod = 100 * time.Millisecond // between searches for outliers
	hedgeQuantile    = 0.95
	hedgeFactor      = 2
	hedgeFloor       = 2 * time.Millisecond
	hedgeSamples     = 128 // before the first hedge
)

// Need is one request's wish for a slot.
type Need struct {
	Service   core.Service
	Workspace core.Workspace
	Target    core.TargetID // empty: any target of the service
	Shard     core.Shard    // of a need with a Target
	Key       uint64        // hash of the key, of a need with a Target
	Fence     core.Fence
	Deadline  time.Time
	Attempt   int           // earlier sends of the same request
	Avoid     core.TargetID // not this one, if there is another
	IfFree    bool          // refused when no slot of a target other than Avoid is free now
}

// Slot is the permission to send one request to one target.
type Slot struct {
	Target     core.Target
	Fence      core.Fence
	Patience   time.Duration // without a first byte, after which the connection is suspect
	HedgeAfter time.Duration // without a first byte, after which a hedge pays; 0: not known
	Shard      core.Shard
	key        uint64
	keyed      bool   // Shard and key are meant
	Load       uint32 // of the service here, in thousandths of what its targets bear
}

// Ticket identifies a waiting need.
type Ticket uint64

// Grant gives a slot to the need that waits under a ticket, or refuses it.
type Grant struct {
	Ticket Ticket
	Slot   Slot
	Err    error
}

// Pool holds the targets of one service and the needs that wait for them. The
// grants that its methods return are valid until the next call.
type Pool struct {
	service      core.Service
	queuePerSlot int
	chooser      Chooser
	random       uint64

	targets map[core.TargetID]*target
	present []*target // given to this daemon, by name
	stats   []*outlier.Stats
	open    *fairqueue.Queue[waiter]
	waiting map[Ticket]*item
	expiry  deadlines
	budget  retry.Budget

	group     outlier.Group
	evaluated time.Time
	ejected   []int
	changes   []Change // not yet told
	latency   latency.Histogram
	hedge     latency.Cached
	stuck     latency.Cached

	grants     []Grant
	candidates []Candidate
	eligible   []*target
}

// NewPool returns a pool without targets. It lets queuePerSlot needs wait for
// each slot. The seed, not 0, starts its random choices.
func NewPool(service core.Service, queuePerSlot int, chooser Chooser, seed uint64) *Pool {
	return &Pool{
		service:      service,
		queuePerSlot: queuePerSlot,
		chooser:      chooser,
		random:       seed,
		targets:      map[core.TargetID]*target{},
		open:         fairqueue.New[waiter](),
		waiting:      map[Ticket]*item{},
		budget:       retry.NewBudget(),
	}
}

// SetQueuePerSlot changes the bound of the queues from now on.
func (p *Pool) SetQueuePerSlot(n int) { p.queuePerSlot = n }

// Idle reports whether the pool has neither targets nor requests.
func (p *Pool) Idle() bool { return len(p.targets) == 0 && len(p.waiting) == 0 }

// Update replaces the targets. One that was taken away keeps its count of
// requests in flight until they end; the needs that wait for it are refused, so
// that they go to its new dispatcher.
func (p *Pool) Update(targets []core.Target, now time.Time) []Grant {
	p.grants = p.grants[:0]
	for _, t := range p.targets {
		t.queueFor(p, targets)
	}
	for _, info := range targets {
		t := p.targets[info.ID]
		if t == nil {
			t = &target{queue: fairqueue.New[waiter]()}
			p.targets[info.ID] = t
		}
		t.update(info)
	}
	p.index()
	if len(p.present) == 0 {
		p.refuseAll(p.open, result.NoTarget)
	}
	return p.pumpAll(now)
}

// queueFor marks the target as gone when targets does not hold it, and refuses
// the needs that wait for it.
func (t *target) queueFor(p *Pool, targets []core.Target) {
	if slices.ContainsFunc(targets, func(c core.Target) bool { return c.ID == t.info.ID }) {
		return
	}
	t.present = false
	p.refuseAll(t.queue, result.NotOwner)
	if t.inFlight == 0 {
		delete(p.targets, t.info.ID)
	}
}

func (p *Pool) index() {
	p.present, p.stats = p.present[:0], p.stats[:0]
	for _, t := range p.targets {
		if t.present {
			p.present = append(p.present, t)
		}
	}
	slices.SortFunc(p.present, func(a, b *target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	for _, t := range p.present {
		p.stats = append(p.stats, &t.stats)
	}
}

// Acquire adds a need and returns the grants that follow.
func (p *Pool) Acquire(ticket Ticket, n Need, now time.Time) []Grant {
	p.grants = p.grants[:0]
	if code := p.refusal(n, now); code != result.OK {
		p.refuse(ticket, code)
		return p.grants
	}
	q := p.open
	if n.Target != "" {
		q = p.targets[n.Target].queue
	}
	if q.Len() == 0 {
		if t := p.pick(n, now); t != nil {
			p.grant(ticket, t, n, now)
			return p.grants
		}
	}
	if n.IfFree {
		if n.Attempt > 0 {
			p.budget.Refund()
		}
		p.refuse(ticket, result.Overloaded)
		return p.grants
	}
	p.enqueue(q, ticket, n)
	return p.grants
}

// refusal says why a need can't be served nor wait; OK if it can.
func (p *Pool) refusal(n Need, now time.Time) result.Code {
	switch {
	case !now.Before(n.Deadline):
		return result.DeadlineInQueue
	case n.Target != "" && (p.targets[n.Target] == nil || !p.targets[n.Target].present):
		return result.NotOwner
	case n.Target == "" && len(p.present) == 0:
		return result.NoTarget
	case n.Attempt > 0 && !p.budget.Withdraw():
		return result.RetryBudgetSpent
	}
	return result.OK
}

// FirstByte tells that the answer to a request in flight has begun and that the
// rest of it streams. The slot stays taken until Release.
func (p *Pool) FirstByte(s Slot, a exchange.Attempt, now time.Time) []Grant {
	p.grants = p.grants[:0]
	if t := p.targets[s.Target.ID]; t != nil && t.inFlight > t.streaming {
		t.streaming++
		p.observe(t, s, a, now)
		p.pump(t, now)
	}
	return p.grants
}

// Release ends one request on a target and returns the grants that follow.
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
	if !t.present {
		if t.inFlight == 0 {
			delete(p.targets, t.info.ID)
		}
		return p.grants
	}
	p.pump(t, now)
	return p.grants
}

// observe takes what a request showed of the target's present incarnation.
func (p *Pool) observe(t *target, s Slot, a exchange.Attempt, now time.Time) {
	if s.Target.Incarnation != t.info.Incarnation {
		return
	}
	wasCold := t.window.Cold()
	t.observe(a, now)
	p.noteWarmth(t, wasCold)
	if a.Code == result.OK {
		p.latency.Add(a.Latency)
	}
	if now.Sub(p.evaluated) < evaluationPeriod {
		return
	}
	p.evaluated = now
	p.ejected = p.group.Evaluate(p.stats, now, p.ejected[:0])
	for _, i := range p.ejected {
		p.present[i].window.Reset()
		p.changes = append(p.changes, Change{Target: p.present[i].info, Kind: Ejected, Until: p.stats[i].EjectedUntil()})
	}
}

// Cancel removes a need that no longer waits for its answer. It reports whether
// the need was still waiting.
func (p *Pool) Cancel(ticket Ticket) bool {
	it := p.waiting[ticket]
	if it == nil {
		return false
	}
	p.forget(it)
	it.Value.queue.Remove(it)
	return true
}

// Pump refuses the needs whose deadline has come and grants what can be granted
// at now.
func (p *Pool) Pump(now time.Time) []Grant {
	p.grants = p.grants[:0]
	for len(p.expiry) > 0 && !now.Before(p.expiry.earliest()) {
		it := p.expiry[0]
		p.refuse(it.Value.ticket, result.DeadlineInQueue)
		p.forget(it)
		it.Value.queue.Remove(it)
	}
	return p.pumpAll(now)
}

// Next is the earliest time at which Pump may have something to do; zero when
// only an event can change anything.
func (p *Pool) Next(now time.Time) time.Time {
	next := p.expiry.earliest()
	if next.IsZero() {
		return next
	}
	for _, t := range p.present {
		if t.queue.Len() == 0 && p.open.Len() == 0 {
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
