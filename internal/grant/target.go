package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// targetState is the grant state of one target while this daemon dispatches it
// under one placement.
type targetState struct {
	timing      Timing
	entry       cell.TargetEntry
	checksFence bool          // the target accepts grants and rejects requests with an old fence
	deadline    time.Duration // longest run time of a request to a target that does not check fences
	since       time.Time     // when this daemon saw the placement

	seq      uint64
	inFlight *Order // sent and not answered yet
	sentAt   time.Time
	nextAt   time.Time // when the next order is due

	incarnation     core.Incarnation // from the last reply; 0: none yet
	clock           time.Duration    // the target's own clock in the last reply
	clockSentAt     time.Time        // when the order was sent whose reply gave clock
	clockReceivedAt time.Time        // when that reply arrived
	probed          bool

	granted    map[core.Shard]core.Fence // acknowledged by the target; shared with views, so copied before a change
	validUntil time.Time                 // requests may be sent under the grants until here
	latestEnd  time.Time                 // latest time at which the target may still hold a grant
	ended      core.Fence                // grants of assignments up to this fence have expired
	down       bool                      // the target is unreachable and its grants have expired
	uncertain  bool                      // another incarnation replied before the grants of the previous one expired
	stale      bool                      // the target has seen a newer fence

	assigned map[core.Shard]cell.Assignment // from the table
	drains   map[core.Shard]*drain
	handover handover
	held     []HeldShard // from the last probe
}

// drain tracks the release of one assignment that the table marks as releasing.
type drain struct {
	fence       core.Fence
	requestedAt time.Time
	idle        bool // no request of this daemon is in flight
	released    bool // the target acknowledged the removal
}

// handover tracks the release of a target that the table marks as releasing.
type handover struct {
	requestedAt time.Time
	idle        bool // no request of this daemon is in flight
}

func newTargetState(t Timing, e cell.TargetEntry, now time.Time) *targetState {
	return &targetState{
		timing: t, entry: e, since: now, nextAt: now,
		latestEnd: now.Add(t.TTL + t.ClockMargin), // the previous dispatcher may have granted until now
		granted:   map[core.Shard]core.Fence{}, drains: map[core.Shard]*drain{},
	}
}

// nextOrder returns the next order to the target, if one is due now.
func (t *targetState) nextOrder(now time.Time) (Order, bool) {
	if t.inFlight != nil || now.Before(t.nextAt) || t.stale || t.uncertain || t.handover.idle {
		return Order{}, false
	}
	t.seq++
	o := Order{Target: t.entry.Target, Seq: t.seq, Holder: t.entry.Fence, TTL: t.timing.TTL, Since: t.clock, Incarnation: t.incarnation}
	if !t.probed || !t.checksFence || t.down {
		o.Probe = true
	} else {
		o.Reset = len(t.granted) == 0 && t.validUntil.IsZero()
		t.addChanges(&o)
		if o.Since == 0 {
			o.TTL = t.ttlWithoutClock(now)
		}
	}
	t.inFlight, t.sentAt = &o, now
	t.extendLatestEnd(o, now)
	return o, true
}

// extendLatestEnd assumes that the target receives the order, whether it replies
// or not. Grants of an order with a clock reading end a fixed time after that
// reading. Grants of an order without one end a TTL after its receipt, which is
// at most Timing.OrderTimeout from now.
func (t *targetState) extendLatestEnd(o Order, now time.Time) {
	if o.Probe && t.checksFence {
		return
	}
	latest := now.Add(t.timing.OrderTimeout + o.TTL + t.timing.ClockMargin)
	if o.Since != 0 {
		latest = t.clockReceivedAt.Add(o.TTL + t.timing.ClockMargin)
	}
	if latest.After(t.latestEnd) {
		t.latestEnd = latest
	}
}

// addChanges adds to the order the assignments that the target does not hold yet
// and the removals of drained ones.
func (t *targetState) addChanges(o *Order) {
	for _, s := range slices.Sorted(maps.Keys(t.assigned)) {
		a := t.assigned[s]
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

// ttlWithoutClock returns the time to live for a target that reports no clock.
// An order without a reply may be received after a delay, so retries never
// extend the grants beyond the end that the first order set.
func (t *targetState) ttlWithoutClock(now time.Time) time.Duration {
	end := t.validUntil
	if end.Before(now) || t.recentlyAnswered(now) {
		return t.timing.TTL
	}
	return max(end.Sub(now), time.Millisecond)
}

// recentlyAnswered reports whether no order has failed since the last reply.
func (t *targetState) recentlyAnswered(now time.Time) bool {
	return now.Sub(t.clockReceivedAt) < t.timing.RenewInterval*3/2
}

// handleReply applies the reply to the order with number seq.
func (t *targetState) handleReply(seq uint64, r Reply, now time.Time) {
	if t.inFlight == nil || t.inFlight.Seq != seq {
		return
	}
	o := *t.inFlight
	t.inFlight = nil
	switch {
	case r.Failed:
		t.nextAt = now.Add(t.timing.RetryDelay)
		return
	case r.Stale:
		t.stale = true
		return
	case t.incarnation != 0 && r.Incarnation != 0 && r.Incarnation != t.incarnation:
		t.startIncarnation(r)
		return
	}
	t.nextAt = t.sentAt.Add(t.timing.RenewInterval)
	if !t.probed || o.Probe && t.checksFence {
		t.nextAt = now
	}
	t.recordGrants(o)
	t.incarnation = r.Incarnation
	t.clock, t.clockSentAt, t.clockReceivedAt = r.Clock, t.sentAt, now
	if !o.Probe && r.HeldCount < len(t.granted) {
		// The target's clock is faster and some grants have expired there: add them again.
		t.granted, t.nextAt = map[core.Shard]core.Fence{}, now
	}
	if o.Probe {
		t.probed, t.held, t.down = true, r.Held, false
		if end := now.Add(t.timing.TTL + t.timing.ClockMargin); end.After(t.latestEnd) {
			t.latestEnd = end
		}
	}
}

// recordGrants records the grants that the target acknowledged. Their time to
// live counts from a moment no later than on the target: when the order was sent
// whose reply gave the clock reading, or when this order was sent.
func (t *targetState) recordGrants(o Order) {
	if o.Probe && t.checksFence {
		return
	}
	from := t.sentAt
	if o.Since != 0 {
		from = t.clockSentAt
	}
	t.validUntil = from.Add(o.TTL)
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

// startIncarnation handles the restart of the target. The grants of its previous
// incarnation count as possibly held until they have expired.
func (t *targetState) startIncarnation(r Reply) {
	t.validUntil, t.uncertain = time.Time{}, !t.down
	t.granted = map[core.Shard]core.Fence{}
	if r.Incarnation < t.incarnation {
		t.stale = true // two targets use one ID; the newer incarnation is the valid one
	}
}

// expireGrants ends the grants that were not renewed in time: assignments up to
// fence newest are never granted again. It reports whether they expired now.
func (t *targetState) expireGrants(newest core.Fence, now time.Time) bool {
	end := t.latestEnd
	if !t.checksFence {
		end = end.Add(t.deadline)
	}
	if t.down || now.Before(end) {
		return false
	}
	t.ended, t.down, t.uncertain = newest, true, false
	t.validUntil = time.Time{}
	t.granted = map[core.Shard]core.Fence{}
	t.incarnation, t.clock = 0, 0
	if !t.stale {
		t.probed = false
	}
	return true
}
