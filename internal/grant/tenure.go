package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// tenure is this daemon's time as the dispatcher of one target under one
// placement.
type tenure struct {
	timing   Timing
	entry    cell.TargetEntry
	checks   bool          // the target takes grants and checks fences
	deadline time.Duration // longest that a request to a target without checks runs
	since    time.Time     // when the placement came into force here

	seq    uint64
	open   *Order // on its way
	sentAt time.Time
	next   time.Time // of the next order

	incarnation core.Incarnation // that answered; 0: none yet
	clock       time.Duration
	clockSent   time.Time // before the call whose answer gave clock
	clockGot    time.Time // when that answer came
	probed      bool

	granted map[core.Shard]core.Fence // acknowledged by the target; replaced, never written
	until   time.Time                 // end of the grants for those who send requests
	mayHold time.Time                 // end of the grants at the latest for the target
	ended   core.Fence                // assignments up to here have run out
	down    bool                      // it does not answer, and its grants have ended
	doubt   bool                      // another run answered before the grants of one ended
	stale   bool                      // it has seen a newer fence

	wanted   map[core.Shard]cell.Assignment // by the table
	drains   map[core.Shard]*drain
	handover handover
	held     []HeldShard
}

// drain follows one assignment that the table asks back.
type drain struct {
	fence    core.Fence
	asked    time.Time
	idle     bool // no request of this daemon runs
	released bool // the target has given it up
}

// handover follows a target that the table asks back.
type handover struct {
	asked time.Time
	idle  bool
}

func newTenure(t Timing, e cell.TargetEntry, now time.Time) *tenure {
	return &tenure{
		timing: t, entry: e, since: now, next: now,
		mayHold: now.Add(t.TTL + t.Margin), // of grants that the dispatcher before gave
		granted: map[core.Shard]core.Fence{}, drains: map[core.Shard]*drain{},
	}
}

// due returns the next order, if one is due.
func (t *tenure) due(now time.Time) (Order, bool) {
	if t.open != nil || now.Before(t.next) || t.stale || t.doubt || t.handover.idle {
		return Order{}, false
	}
	t.seq++
	o := Order{Target: t.entry.Target, Seq: t.seq, Holder: t.entry.Fence, TTL: t.timing.TTL, Since: t.clock, Incarnation: t.incarnation}
	if !t.probed || !t.checks || t.down {
		o.Probe = true
	} else {
		o.Reset = len(t.granted) == 0 && t.until.IsZero()
		t.fill(&o)
		if o.Since == 0 {
			o.TTL = t.shortened(now)
		}
	}
	t.open, t.sentAt = &o, now
	t.mayExtend(o, now)
	return o, true
}

// mayExtend counts the order as received, whether it is answered or not. One
// with a clock reading ends a fixed time after that reading; one without ends
// after it was received, which is at most the time of a call from now.
func (t *tenure) mayExtend(o Order, now time.Time) {
	if o.Probe && t.checks {
		return
	}
	latest := now.Add(t.timing.Call + o.TTL + t.timing.Margin)
	if o.Since != 0 {
		latest = t.clockGot.Add(o.TTL + t.timing.Margin)
	}
	if latest.After(t.mayHold) {
		t.mayHold = latest
	}
}

// fill adds what the target does not hold yet and removes what is drained.
func (t *tenure) fill(o *Order) {
	for _, s := range slices.Sorted(maps.Keys(t.wanted)) {
		a := t.wanted[s]
		d := t.drains[s]
		switch {
		case !t.ended.Less(a.Fence):
		case d != nil && d.idle:
			if !d.released {
				o.Remove = append(o.Remove, ShardFence{s, a.Fence})
			}
		case t.granted[s] != a.Fence && !a.Releasing:
			o.Add = append(o.Add, ShardFence{s, a.Fence})
		}
	}
}

// shortened returns the time to live for a target without a clock. Orders
// without an answer may be received late, so repeated ones never reach further
// than the first.
func (t *tenure) shortened(now time.Time) time.Duration {
	end := t.until
	if end.Before(now) || t.answered(now) {
		return t.timing.TTL
	}
	return max(end.Sub(now), time.Millisecond)
}

// answered reports whether no order has failed since the last answer.
func (t *tenure) answered(now time.Time) bool { return now.Sub(t.clockGot) < t.timing.Renew*3/2 }

// take takes the answer to an order.
func (t *tenure) take(seq uint64, r Reply, now time.Time) {
	if t.open == nil || t.open.Seq != seq {
		return
	}
	o := *t.open
	t.open = nil
	switch {
	case r.Failed:
		t.next = now.Add(t.timing.Retry)
		return
	case r.Stale:
		t.stale = true
		return
	case t.incarnation != 0 && r.Incarnation != 0 && r.Incarnation != t.incarnation:
		t.replaced(r)
		return
	}
	t.next = t.sentAt.Add(t.timing.Renew)
	if !t.probed || o.Probe && t.checks {
		t.next = now
	}
	t.extend(o)
	t.incarnation = r.Incarnation
	t.clock, t.clockSent, t.clockGot = r.Clock, t.sentAt, now
	if !o.Probe && r.Count < len(t.granted) {
		// The target counts faster than we do and let some go: add them again.
		t.granted, t.next = map[core.Shard]core.Fence{}, now
	}
	if o.Probe {
		t.probed, t.held, t.down = true, r.Held, false
		if silent := now.Add(t.timing.TTL + t.timing.Margin); silent.After(t.mayHold) {
			t.mayHold = silent
		}
	}
}

// extend records what the target acknowledged. Its time counts from before the
// answer that gave the clock reading left us, or before the order itself.
func (t *tenure) extend(o Order) {
	if o.Probe && t.checks {
		return
	}
	from := t.sentAt
	if o.Since != 0 {
		from = t.clockSent
	}
	t.until = from.Add(o.TTL)
	if len(o.Add)+len(o.Remove) > 0 {
		t.granted = maps.Clone(t.granted)
	}
	for _, a := range o.Add {
		t.granted[a.Shard] = a.Fence
	}
	for _, r := range o.Remove {
		delete(t.granted, r.Shard)
		if d := t.drains[r.Shard]; d != nil && d.fence == r.Fence {
			d.released = true
		}
	}
}

// replaced notes that another run of the target answered. The grants of the
// one before stay in doubt until they have run out.
func (t *tenure) replaced(r Reply) {
	t.until, t.doubt = time.Time{}, !t.down
	t.granted = map[core.Shard]core.Fence{}
	if r.Incarnation < t.incarnation {
		t.stale = true // two targets under one id; the newer one counts
	}
}

// lapse ends the grants that ran out without a renewal: assignments up to
// newest are never granted again. It reports whether they did.
func (t *tenure) lapse(newest core.Fence, now time.Time) bool {
	end := t.mayHold
	if !t.checks {
		end = end.Add(t.deadline)
	}
	if t.down || now.Before(end) {
		return false
	}
	t.ended, t.down, t.doubt = newest, true, false
	t.until = time.Time{}
	t.granted = map[core.Shard]core.Fence{}
	t.incarnation, t.clock = 0, 0
	if !t.stale {
		t.probed = false
	}
	return true
}
