package fleet

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// settleTime is how long a tenure listens before it gives out keys that
	// nobody holds, so that all targets get a part.
	settleTime = 2 * time.Second
	// firstRanges is about the number of ranges of the first table: fine, so that
	// neighbouring busy keys belong to different targets, and few enough for the
	// links of small entry VMs. Busy ranges are split later.
	firstRanges = 1024
	// minPerTarget and maxPerTarget bound the ranges of one target in it.
	minPerTarget = 4
	maxPerTarget = 40
	// maxRanges bounds the ranges of one target: the answer to a heartbeat has
	// a limited size (about 40 bytes a range).
	maxRanges = 85
)

// grant returns the ranges of t by the replicated table.
func (b *Book) grant(t *target, s *config.State, now time.Time) Grant {
	g := Grant{Keyed: true, Lease: b.terms.KeyLease}
	var fence core.Version
	for _, r := range s.Keys[t.Service] {
		if r.Owner != t.ID || r.Life != t.Incarnation || b.isPending(t.Service, r) || t.isRevoked(r) {
			continue
		}
		if len(g.Ranges) == maxRanges {
			break // the rest is revoked by the next plan
		}
		if r.Handover != "" && t.reportsHeld(r) {
			r.Handover = "" // the target took it over already
		}
		t.forgetReleases(Span{r.First, r.Last})
		fence = max(fence, r.Fence)
		g.Ranges = append(g.Ranges, r)
	}
	t.grantedAt = now
	t.leaseEnd = now.Add(b.terms.leaseBound())
	if fence != t.granted {
		t.granted = fence
		b.touch(t)
	}
	return g
}

func (t *target) reportsHeld(r config.KeyRange) bool {
	return slices.ContainsFunc(t.holds, func(h Held) bool {
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

func (b *Book) isPending(service core.Service, r config.KeyRange) bool {
	return slices.ContainsFunc(b.pending[service], func(p Span) bool {
		return p.overlaps(Span{r.First, r.Last})
	})
}

// free reports whether nobody can hold r any more, and the proof of release
// that its last owner gave.
func (b *Book) free(r config.KeyRange, now time.Time) (handover string, ok bool) {
	tenureBound := b.from.Add(b.terms.leaseBound())
	t := b.targets[r.Owner]
	switch {
	case t == nil || t.Incarnation < r.Life:
		return "", now.After(tenureBound)
	case t.Incarnation > r.Life:
		return "", true // the life that held it has ended
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
	if end.Before(tenureBound) {
		end = tenureBound
	}
	return "", now.After(end)
}

// releaseOf returns the proof with which t gave r back.
func (t *target) releaseOf(r config.KeyRange) (string, bool) {
	for _, rel := range t.released {
		if rel.First <= r.First && r.Last <= rel.Last {
			return rel.Handover, true
		}
	}
	return "", false
}

// noteReleases keeps the releases of ranges that t does not hold again.
func (t *target) noteReleases(released []Release) {
	for _, rel := range released {
		if !slices.ContainsFunc(t.holds, func(h Held) bool { return h.overlaps(rel.Span) }) {
			t.released = append(t.released, rel)
		}
	}
}

// forgetReleases drops the proofs of release of a range that is granted again.
func (t *target) forgetReleases(granted Span) {
	t.released = slices.DeleteFunc(t.released, func(rel Release) bool { return rel.overlaps(granted) })
}

// provesNotHeld reports whether a heartbeat without r was heard after every
// answer that granted it had arrived or was void.
func (t *target) provesNotHeld(r config.KeyRange) bool {
	for span, since := range t.revoked {
		if span.First <= r.First && r.Last <= span.Last && t.heardAt.Sub(since) > ackWindow {
			return !slices.ContainsFunc(t.holds, func(h Held) bool { return h.overlaps(Span{r.First, r.Last}) })
		}
	}
	return false
}

// Plan returns the changes of the table that are due: keys that nobody holds
// get an owner, and busy ranges are split. It also revokes ranges of targets
// that leave or are too busy; these get their next owner when they are free.
func (b *Book) Plan(s *config.State, now time.Time) []config.Change {
	if now.Sub(b.from) < settleTime {
		return nil
	}
	rebalance := now.Sub(b.balancedAt) >= balancePeriod
	if rebalance {
		b.balancedAt = now
	}
	var changes []config.Change
	for _, class := range s.Catalog.Services {
		if !class.Keyed || class.Dropped {
			continue
		}
		p := b.newPlacement(class.Name, s, now)
		if len(p.owners) == 0 {
			continue
		}
		if rebalance {
			if split, ok := p.balance(); ok {
				changes = append(changes, split)
				continue
			}
		}
		if ranges := p.assign(); len(ranges) > 0 {
			changes = append(changes, config.AssignKeys{Service: class.Name, Ranges: ranges})
			for _, r := range ranges {
				b.pending[class.Name] = append(b.pending[class.Name], Span{r.First, r.Last})
			}
		}
	}
	return changes
}

// Settled tells that the outcome of a change from Plan is known and, if it was
// accepted, that the state given to later calls contains it.
func (b *Book) Settled(c config.AssignKeys) {
	for _, r := range c.Ranges {
		span := Span{r.First, r.Last}
		b.pending[c.Service] = slices.DeleteFunc(b.pending[c.Service], func(p Span) bool { return p == span })
		for _, t := range b.targets {
			if t.Service != c.Service {
				continue
			}
			delete(t.revoked, span)
			t.released = slices.DeleteFunc(t.released, func(rel Release) bool {
				return rel.First >= span.First && rel.Last <= span.Last
			})
		}
	}
}
