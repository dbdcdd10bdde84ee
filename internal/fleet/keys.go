package fleet

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// initialAssignDelay is how long a new leader collects heartbeats before it
	// assigns unassigned keys, so that all targets get some.
	initialAssignDelay = 2 * time.Second
	// initialRanges is the approximate number of ranges in the initial key table.
	// It is high enough that neighbouring busy keys are assigned to different
	// targets, and low enough for the network links of small entry VMs. Busy ranges
	// are split later.
	initialRanges = 1024
	// minInitialRanges and maxInitialRanges limit the ranges of one target in the
	// initial key table.
	minInitialRanges = 4
	maxInitialRanges = 40
	// planPeriodPerVM is the minimum time between two planning passes for each entry
	// VM: all of them apply each change of the key table, so that many entry VMs get
	// fewer and larger changes. maxPlanPeriod bounds it.
	planPeriodPerVM = 700 * time.Microsecond
	maxPlanPeriod   = 200 * time.Millisecond
	// maxRangesPerTarget limits the ranges of one target, since the answer to a
	// heartbeat has a limited size (about 40 bytes per range).
	maxRangesPerTarget = 85
)

// grant returns the ranges that the replicated key table assigns to t, and extends
// its lease.
func (l *LeaderState) grant(t *target, s *config.State, now time.Time) Grant {
	g := Grant{Keyed: true, Lease: l.parameters.KeyLease}
	var fence core.Version
	for _, r := range s.Keys[t.Service] {
		if r.Owner != t.ID || r.Life != t.Incarnation || l.isPending(t.Service, r) || t.isRevoked(r) {
			continue
		}
		if len(g.Ranges) == maxRangesPerTarget {
			break // the next planning pass revokes the rest
		}
		if r.Handover != "" && t.reportsHeld(r) {
			r.Handover = "" // the target already holds the range
		}
		t.discardReleases(Span{r.First, r.Last})
		fence = max(fence, r.Fence)
		g.Ranges = append(g.Ranges, r)
	}
	t.grantedAt = now
	t.leaseEnd = now.Add(l.parameters.maxLeaseDuration())
	if fence != t.grantedFence {
		t.grantedFence = fence
		l.markChanged(t)
	}
	return g
}

func (t *target) reportsHeld(r config.KeyRange) bool {
	return slices.ContainsFunc(t.holds, func(h HeldRange) bool {
		return h.Fence == r.Fence && h.First <= r.First && r.Last <= h.Last
	})
}

func (t *target) isRevoked(r config.KeyRange) bool {
	for span := range t.revoked {
		if span.overlaps(Span{r.First, r.Last}) {
			return true
		}
	}
	return false
}

func (l *LeaderState) isPending(service core.Service, r config.KeyRange) bool {
	return slices.ContainsFunc(l.pending[service], func(p Span) bool {
		return p.overlaps(Span{r.First, r.Last})
	})
}

// unheld reports whether no target can still hold r, and returns the proof with
// which the last owner released it, if there is one.
func (l *LeaderState) unheld(r config.KeyRange, now time.Time) (handover string, ok bool) {
	earlierLeasesEnd := l.termStart.Add(l.parameters.maxLeaseDuration())
	t := l.targets[r.Owner]
	switch {
	case t == nil || t.Incarnation < r.Life:
		return "", now.After(earlierLeasesEnd)
	case t.Incarnation > r.Life:
		return "", true // the incarnation that held it has ended
	}
	if t.isRevoked(r) {
		if handover, ok := t.releaseOf(r); ok {
			return handover, true
		}
		if t.provesNotHeld(r) {
			return "", true
		}
	}
	end := t.leaseEnd
	if end.Before(earlierLeasesEnd) {
		end = earlierLeasesEnd
	}
	return "", now.After(end)
}

// releaseOf returns the proof with which t released r.
func (t *target) releaseOf(r config.KeyRange) (string, bool) {
	for _, rel := range t.released {
		if rel.First <= r.First && r.Last <= rel.Last {
			return rel.Handover, true
		}
	}
	return "", false
}

// recordReleases stores the releases of ranges that t doesn't hold again.
func (t *target) recordReleases(released []Release) {
	for _, rel := range released {
		if !slices.ContainsFunc(t.holds, func(h HeldRange) bool { return h.overlaps(rel.Span) }) {
			t.released = append(t.released, rel)
		}
	}
}

// discardReleases discards the proofs of release of a range that is granted again.
func (t *target) discardReleases(granted Span) {
	t.released = slices.DeleteFunc(t.released, func(rel Release) bool { return rel.overlaps(granted) })
}

// provesNotHeld reports whether a heartbeat without r was received so long after
// its revocation that no earlier answer, which granted r, can still take effect.
func (t *target) provesNotHeld(r config.KeyRange) bool {
	for span, revocation := range t.revoked {
		if span.First <= r.First && r.Last <= span.Last && t.lastHeartbeat.Sub(revocation.since) > ackWindow {
			return !slices.ContainsFunc(t.holds, func(h HeldRange) bool { return h.overlaps(Span{r.First, r.Last}) })
		}
	}
	return false
}

// Plan returns the changes of the key table that are due: it assigns ranges that
// no target can hold any more, and splits busy ranges. It also revokes ranges of
// targets that are draining or overloaded; a later call assigns these once they
// are no longer held.
func (l *LeaderState) Plan(s *config.State, now time.Time) []config.Change {
	if now.Sub(l.termStart) < initialAssignDelay {
		return nil
	}
	if now.Sub(l.lastPlan) < min(time.Duration(len(l.entryVMs))*planPeriodPerVM, maxPlanPeriod) {
		return nil
	}
	l.lastPlan = now
	rebalance := now.Sub(l.lastRebalance) >= rebalancePeriod
	if rebalance {
		l.lastRebalance = now
	}
	var changes []config.Change
	for _, class := range s.Catalog.Services {
		if !class.Keyed || class.Dropped {
			continue
		}
		p := l.newPlacement(class.Name, s, now)
		if len(p.candidates) == 0 {
			continue
		}
		if rebalance {
			l.updateUsualKeyLoad(class.Name)
			if at := p.rebalance(); len(at) > 0 {
				changes = append(changes, config.SplitKeys{Service: class.Name, At: at})
			}
		}
		if ranges := p.assign(); len(ranges) > 0 {
			changes = append(changes, config.AssignKeys{Service: class.Name, Ranges: ranges})
			for _, r := range ranges {
				l.pending[class.Name] = append(l.pending[class.Name], Span{r.First, r.Last})
			}
		}
	}
	return changes
}

// ProposalDecided records that the outcome of a change from Plan is known. If the
// change was accepted, the states passed to later calls must contain it.
func (l *LeaderState) ProposalDecided(c config.AssignKeys) {
	for _, r := range c.Ranges {
		span := Span{r.First, r.Last}
		l.pending[c.Service] = slices.DeleteFunc(l.pending[c.Service], func(p Span) bool { return p == span })
		for _, t := range l.targets {
			if t.Service != c.Service {
				continue
			}
			t.endRevocation(span)
			t.released = slices.DeleteFunc(t.released, func(rel Release) bool {
				return rel.First >= span.First && rel.Last <= span.Last
			})
		}
	}
}

// endRevocation ends the revocation of span. Parts of a revoked range that was
// split in the meantime and that lie outside span stay revoked.
func (t *target) endRevocation(span Span) {
	for revoked, revocation := range t.revoked {
		if !revoked.overlaps(span) {
			continue
		}
		delete(t.revoked, revoked)
		if revoked.First < span.First {
			t.revoked[Span{revoked.First, span.First - 1}] = revocation
		}
		if revoked.Last > span.Last {
			t.revoked[Span{span.Last + 1, revoked.Last}] = revocation
		}
	}
}
