package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// settleTime is how long a tenure listens before it gives out keys that
	// nobody holds, so that all targets get a part.
	settleTime = 2 * time.Second
	// rangesPerTarget divides the keys finely, so that neighbouring busy keys
	// belong to different targets.
	rangesPerTarget = 40
	// maxRanges bounds the ranges of one target: the answer to a heartbeat has
	// a limited size (about 40 bytes a range).
	maxRanges = 85
	// maxMoved bounds the ranges that one plan takes from live owners, so that
	// few keys wait for their new owner at a time.
	maxMoved = 16
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
		if t.reportsHeld(r) {
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
func (b *Book) free(service core.Service, r config.KeyRange, now time.Time) (handover string, ok bool) {
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
		if t.provesNotHeld(r, now) {
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
func (t *target) provesNotHeld(r config.KeyRange, now time.Time) bool {
	for span, since := range t.revoked {
		if span.First <= r.First && r.Last <= span.Last && t.heardAt.Sub(since) > ackWindow {
			return !slices.ContainsFunc(t.holds, func(h Held) bool { return h.overlaps(Span{r.First, r.Last}) })
		}
	}
	return false
}

// Plan returns the changes of ownership that are due: keys that nobody holds
// get an owner. It also revokes ranges of targets that leave or hold too much;
// these get their next owner when they are free.
func (b *Book) Plan(s *config.State, now time.Time) []config.AssignKeys {
	if now.Sub(b.from) < settleTime {
		return nil
	}
	var changes []config.AssignKeys
	for _, class := range s.Catalog.Services {
		if !class.Keyed || class.Dropped {
			continue
		}
		if ranges := b.planService(class.Name, s, now); len(ranges) > 0 {
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

// owner is a target that may get keys, in one plan.
type owner struct {
	*target
	keys   uint32
	ranges int
	load   float64
}

func (b *Book) planService(service core.Service, s *config.State, now time.Time) []config.KeyRange {
	owners := map[core.TargetID]*owner{}
	for id, t := range b.targets {
		if t.Service == service && b.usable(t, s, now) {
			owners[id] = &owner{target: t}
		}
	}
	if len(owners) == 0 {
		return nil
	}
	table := s.Keys[service]
	if len(table) == 0 {
		return b.firstTable(owners)
	}
	var free []config.KeyRange
	for _, r := range table {
		if b.isPending(service, r) {
			continue
		}
		o := owners[r.Owner]
		if o != nil && o.Incarnation == r.Life && !o.isRevoked(r) {
			o.add(r, b.heatOf(service, r))
			continue
		}
		if handover, ok := b.free(service, r, now); ok {
			r.Handover = handover
			free = append(free, r)
		}
	}
	b.revokeFromLeaving(service, s, now)
	b.revokeForBalance(service, table, owners, now)
	return assignFree(free, owners, func(r config.KeyRange) float64 { return b.heatOf(service, r) })
}

func (o *owner) add(r config.KeyRange, load float64) {
	o.keys += r.Last - r.First + 1
	o.ranges++
	o.load += load
}

// firstTable deals all keys out in turn, in the order of the targets' names.
func (b *Book) firstTable(owners map[core.TargetID]*owner) []config.KeyRange {
	order := sortedOwners(owners)
	count := min(len(order)*rangesPerTarget, config.KeySpace)
	ranges := make([]config.KeyRange, 0, count)
	for i := range count {
		o := order[i%len(order)]
		ranges = append(ranges, config.KeyRange{
			First: uint32(i * config.KeySpace / count), Last: uint32((i+1)*config.KeySpace/count) - 1,
			Owner: o.ID, Life: o.Incarnation,
		})
	}
	return ranges
}

func sortedOwners(owners map[core.TargetID]*owner) []*owner {
	order := make([]*owner, 0, len(owners))
	for _, o := range owners {
		order = append(order, o)
	}
	slices.SortFunc(order, func(a, b *owner) int { return cmp.Compare(a.ID, b.ID) })
	return order
}

// assignFree gives each free range to the target with the least load, then the
// fewest keys.
func assignFree(free []config.KeyRange, owners map[core.TargetID]*owner, load func(config.KeyRange) float64) []config.KeyRange {
	order := sortedOwners(owners)
	for i := range free {
		slices.SortStableFunc(order, func(a, b *owner) int {
			return cmp.Or(cmp.Compare(a.weight(), b.weight()), cmp.Compare(a.ranges, b.ranges))
		})
		for _, o := range order {
			if o.ranges < maxRanges {
				o.add(free[i], load(free[i]))
				free[i].Owner, free[i].Life = o.ID, o.Incarnation
				break
			}
		}
	}
	return slices.DeleteFunc(free, func(r config.KeyRange) bool { return owners[r.Owner] == nil })
}

// weight is the load of a target for its keys: the heat of the keys and, so
// that idle keys are spread too, their number.
func (o *owner) weight() float64 {
	const keyShare = 1.0 / config.KeySpace // heat that one key counts for by itself
	slots := float64(max(o.Slots, 1))
	return (o.load + keyShare*float64(o.keys)) / slots
}

// revokeFromLeaving takes the keys of targets that leave or are evacuated.
func (b *Book) revokeFromLeaving(service core.Service, s *config.State, now time.Time) {
	for _, t := range b.targets {
		if t.Service != service || !t.Leaving && !s.Evacuated[t.DataCentre] {
			continue
		}
		for _, r := range s.Keys[service] {
			if r.Owner == t.ID && r.Life == t.Incarnation {
				t.revoke(r, now)
			}
		}
	}
}

func (t *target) revoke(r config.KeyRange, now time.Time) {
	span := Span{r.First, r.Last}
	if _, ok := t.revoked[span]; !ok {
		t.revoked[span] = now
	}
}

// imbalance is by how much the heaviest target may exceed the mean before
// ranges move away from it; moving keys has a price for their callers.
const imbalance = 1.35

// revokeForBalance takes ranges from the targets with the most load, for new
// targets and for those with little. Load pattern: targets are added while
// traffic runs; a few neighbouring keys get much of it.
func (b *Book) revokeForBalance(service core.Service, table config.KeyTable, owners map[core.TargetID]*owner, now time.Time) {
	total := 0.0
	for _, o := range owners {
		if len(o.revoked) > 0 {
			return // one step at a time
		}
		total += o.weight()
	}
	mean := total / float64(len(owners))
	order := sortedOwners(owners)
	slices.SortStableFunc(order, func(a, b *owner) int { return cmp.Compare(a.weight(), b.weight()) })
	lightest := order[0]
	room := mean - lightest.weight()
	moved := 0
	for i := len(order) - 1; i > 0 && moved < maxMoved; i-- {
		o := order[i]
		if o.weight() < mean*imbalance && !(lightest.keys == 0 && o.weight() > mean) {
			break
		}
		excess := (o.weight() - mean) * float64(max(o.Slots, 1))
		for _, r := range table {
			if r.Owner != o.ID || r.Life != o.Incarnation || moved == maxMoved || excess <= 0 || room <= 0 {
				continue
			}
			weight := b.heatOf(service, r) + float64(r.Last-r.First+1)/config.KeySpace
			if weight > 1.2*excess {
				continue
			}
			o.revoke(r, now)
			excess -= weight
			room -= weight / float64(max(lightest.Slots, 1)) / float64(len(order))
			moved++
		}
	}
}
