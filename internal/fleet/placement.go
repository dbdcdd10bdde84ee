package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// balancePeriod is the time between looks at the load of targets, about as
	// long as a moved range needs to arrive.
	balancePeriod = time.Second
	// maxMoved bounds the ranges that one look takes from live owners.
	maxMoved = 24
	// maxMovedLoad bounds the part of the whole load that one look moves: its
	// requests wait for the new owner.
	maxMovedLoad = 0.2
	// worthMoving is how many times slower a range's owner must be than the next
	// one would be. A move costs its callers a part of a second.
	worthMoving = 1.3
	// splitLoad is the load of a range, as a part of the mean load of a target,
	// above which the range is split.
	splitLoad = 0.35
	// maxSplits bounds the splits of one look.
	maxSplits = 16
	// idleLoad is what all keys together count for without any request, in busy
	// slots of each target, so that idle keys are spread too.
	idleLoad = 0.3
	// waitWeight makes an owner whose next heartbeat is an interval away as
	// unattractive as one that is slower by this part.
	waitWeight = 0.4
)

// owner is a target that may get keys, in one plan.
type owner struct {
	*target
	ranges int
	load   float64 // busy slots of a target of usual speed
}

// expected is the time until an answer on a target that has extra load, in
// units of the time on an idle target of usual speed.
func (o *owner) expected(extra float64) float64 {
	speed := o.speedOf()
	busy := (o.load + extra) * speed / float64(max(o.Slots, 1))
	const nearlyFull = 0.95
	if busy >= nearlyFull {
		const overload = 20 // makes any target with room better
		return speed * (1 + overload*busy)
	}
	return speed * (1 + busy*busy*busy/(1-busy))
}

// placement decides who owns the keys of one service, in one plan.
type placement struct {
	book    *Book
	service core.Service
	state   *config.State
	now     time.Time
	table   config.KeyTable
	owners  map[core.TargetID]*owner
	order   []*owner // by name
	heat    []float64
}

func (b *Book) newPlacement(service core.Service, s *config.State, now time.Time) *placement {
	p := &placement{
		book: b, service: service, state: s, now: now, table: s.Keys[service], owners: map[core.TargetID]*owner{},
	}
	for id, t := range b.targets {
		if t.Service == service && b.usable(t, s, now) {
			o := &owner{target: t}
			p.owners[id] = o
			p.order = append(p.order, o)
		}
	}
	slices.SortFunc(p.order, func(a, b *owner) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

// loadOf is the load that a range causes.
func (p *placement) loadOf(r config.KeyRange) float64 {
	if p.heat == nil {
		p.heat = p.book.heatOf(p.service)
	}
	idle := idleLoad * float64(len(p.owners)) * float64(r.Last-r.First+1) / config.KeySpace
	return p.heat[r.Last+1] - p.heat[r.First] + idle
}

// assign gives ranges that nobody holds an owner, and revokes those of targets
// that leave.
func (p *placement) assign() []config.KeyRange {
	if len(p.table) == 0 {
		if len(p.book.pending[p.service]) > 0 {
			return nil // the first table is on its way
		}
		return p.firstTable()
	}
	p.revokeFromLeaving()
	var free []config.KeyRange
	for _, r := range p.table {
		if o := p.ownerOf(r); o != nil || p.book.isPending(p.service, r) {
			continue
		}
		if handover, ok := p.book.free(r, p.now); ok {
			r.Handover = handover
			free = append(free, r)
		}
	}
	if len(free) > 0 {
		p.countLoads()
	}
	assigned := free[:0]
	for _, r := range free {
		if o := p.next(p.loadOf(r)); o != nil {
			o.load += p.loadOf(r)
			o.ranges++
			r.Owner, r.Life = o.ID, o.Incarnation
			assigned = append(assigned, r)
		}
	}
	return assigned
}

// ownerOf is the owner of r, if it lives and keeps it.
func (p *placement) ownerOf(r config.KeyRange) *owner {
	o := p.owners[r.Owner]
	if o == nil || o.Incarnation != r.Life || o.isRevoked(r) {
		return nil
	}
	return o
}

func (p *placement) countLoads() {
	for _, r := range p.table {
		if o := p.ownerOf(r); o != nil {
			o.ranges++
			o.load += p.loadOf(r)
		}
	}
}

// next is the best next owner for a load: soon to be heard, and fast with it.
func (p *placement) next(load float64) *owner {
	var best *owner
	var bestCost float64
	interval := p.book.terms.HeartbeatInterval
	for _, o := range p.order {
		if o.ranges >= maxRanges {
			continue
		}
		wait := max(o.heardAt.Add(interval).Sub(p.now), 0)
		cost := o.expected(load) * (1 + waitWeight*float64(wait)/float64(interval))
		if best == nil || cost < bestCost {
			best, bestCost = o, cost
		}
	}
	return best
}

// firstTable deals all keys out in turn, in the order of the targets' names.
func (p *placement) firstTable() []config.KeyRange {
	each := min(max(firstRanges/len(p.order), minPerTarget), maxPerTarget)
	count := min(len(p.order)*each, config.KeySpace)
	ranges := make([]config.KeyRange, 0, count)
	for i := range count {
		o := p.order[i%len(p.order)]
		ranges = append(ranges, config.KeyRange{
			First: uint32(i * config.KeySpace / count), Last: uint32((i+1)*config.KeySpace/count) - 1,
			Owner: o.ID, Life: o.Incarnation,
		})
	}
	return ranges
}

// revokeFromLeaving takes the keys of targets that leave or are evacuated.
func (p *placement) revokeFromLeaving() {
	for _, r := range p.table {
		t := p.book.targets[r.Owner]
		if t != nil && t.Incarnation == r.Life && (t.Draining || p.state.Evacuated[t.DataCentre]) {
			t.revoke(r, p.now)
		}
	}
}

func (t *target) revoke(r config.KeyRange, now time.Time) {
	span := Span{r.First, r.Last}
	if _, ok := t.revoked[span]; !ok {
		t.revoked[span] = now
	}
}

// balance revokes ranges of targets that are slow for their load, or returns a
// split of ranges that are too busy to move. Load patterns: a few neighbouring
// keys get much of the traffic; targets of unequal speed; targets that were
// added while traffic runs.
func (p *placement) balance() (config.SplitKeys, bool) {
	for _, o := range p.order {
		if len(o.revoked) > 0 {
			return config.SplitKeys{}, false // one step at a time
		}
	}
	p.countLoads()
	total := 0.0
	for _, o := range p.order {
		total += o.load
	}
	if at := p.splits(total / float64(len(p.order))); len(at) > 0 {
		return config.SplitKeys{Service: p.service, At: at}, true
	}
	if !p.moveToEmpty() {
		p.moveFromSlow(total)
	}
	return config.SplitKeys{}, false
}

// moveToEmpty revokes ranges for targets without any, from the targets with the
// most, and reports whether there were such targets. Load pattern: targets are
// added to a service that is not busy.
func (p *placement) moveToEmpty() bool {
	ranges, empty := 0, 0
	for _, o := range p.order {
		ranges += o.ranges
		if o.ranges == 0 {
			empty++
		}
	}
	const emptyPart = 2 // a new target gets this part of the mean at first
	wanted := empty * max(ranges/len(p.order)/emptyPart, 1)
	if empty == 0 {
		return false
	}
	byRanges := slices.Clone(p.order)
	slices.SortStableFunc(byRanges, func(a, b *owner) int { return cmp.Compare(b.ranges, a.ranges) })
	for _, from := range byRanges {
		keep := from.ranges - max(wanted/len(p.order), 1)
		for _, r := range p.busiest(from) {
			if wanted == 0 || from.ranges <= max(keep, 1) {
				break
			}
			from.revoke(r, p.now)
			from.ranges--
			wanted--
		}
	}
	return true
}

// splits returns the keys at which ranges begin anew.
func (p *placement) splits(mean float64) []uint32 {
	var at []uint32
	for _, r := range p.table {
		o := p.ownerOf(r)
		if o == nil || r.First == r.Last || p.loadOf(r) < splitLoad*mean || o.ranges+1 >= maxRanges || len(at) == maxSplits {
			continue
		}
		at = append(at, p.middle(r))
		o.ranges++
	}
	return at
}

// middle is the key that divides the load of r best; it begins the second part.
func (p *placement) middle(r config.KeyRange) uint32 {
	half := (p.heat[r.First] + p.heat[r.Last+1]) / 2
	for key := r.First + 1; key < r.Last; key++ {
		if p.heat[key+1] > half {
			return key
		}
	}
	return r.Last
}

// moveFromSlow revokes ranges, the busiest first, of the targets that are the
// slowest for them.
func (p *placement) moveFromSlow(total float64) {
	bySlowness := slices.Clone(p.order)
	slices.SortStableFunc(bySlowness, func(a, b *owner) int { return cmp.Compare(b.expected(0), a.expected(0)) })
	moved, movedLoad := 0, 0.0
	for _, from := range bySlowness {
		for _, r := range p.busiest(from) {
			load := p.loadOf(r)
			if moved == maxMoved || movedLoad > maxMovedLoad*total {
				return
			}
			to := p.next(load)
			if to == nil || to == from || from.expected(0) < worthMoving*to.expected(load) {
				continue
			}
			from.revoke(r, p.now)
			from.load -= load
			to.load += load
			to.ranges++
			moved++
			movedLoad += load
		}
	}
}

// busiest returns the ranges of an owner by load, busiest first.
func (p *placement) busiest(o *owner) []config.KeyRange {
	var ranges []config.KeyRange
	for _, r := range p.table {
		if r.Owner == o.ID && r.Life == o.Incarnation && !p.book.isPending(p.service, r) {
			ranges = append(ranges, r)
		}
	}
	slices.SortStableFunc(ranges, func(a, b config.KeyRange) int { return cmp.Compare(p.loadOf(b), p.loadOf(a)) })
	return ranges
}
