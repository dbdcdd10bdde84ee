package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// rebalancePeriod is the time between rebalancing passes, about as long as it
	// takes to move a range.
	rebalancePeriod = time.Second
	// maxMovesPerPass limits the ranges that one pass moves away from slow targets.
	maxMovesPerPass = 24
	// maxMovedLoadFraction limits the fraction of the total load that one pass
	// moves, since requests for a moving range wait for the new owner.
	maxMovedLoadFraction = 0.2
	// minMoveGain is the ratio of the expected latencies of a range's owner and of
	// its new owner above which the range is moved. A move delays requests for the
	// range by a fraction of a second.
	minMoveGain = 1.3
	// splitLoadFraction is the load of a range, as a fraction of the mean load of a
	// target, above which the range is split.
	splitLoadFraction = 0.35
	// maxSplitsPerPass limits the splits of one pass.
	maxSplitsPerPass = 16
	// baseLoadPerTarget is a load in busy slots, times the number of targets, that
	// is attributed evenly to all keys, so that idle keys are spread too.
	baseLoadPerTarget = 0.3
	// heartbeatWaitPenalty is the fraction by which a target's expected latency is
	// increased if its next heartbeat is a full interval away: it receives new
	// ranges only with the answer to that heartbeat.
	heartbeatWaitPenalty = 0.4
)

// candidate is a target that may be assigned keys in one planning pass.
type candidate struct {
	*target
	ranges int
	load   float64 // busy slots on a target of average speed
}

// expectedLatency estimates the latency of a request on the target with extra load
// added, relative to an idle target of average speed.
func (c *candidate) expectedLatency(extra float64) float64 {
	serviceTime := c.relativeServiceTime()
	utilization := (c.load + extra) * serviceTime / float64(max(c.Slots, 1))
	const saturatedUtilization = 0.95
	if utilization >= saturatedUtilization {
		const overloadFactor = 20 // large enough that any target with spare capacity is preferred
		return serviceTime * (1 + overloadFactor*utilization)
	}
	return serviceTime * (1 + utilization*utilization*utilization/(1-utilization))
}

// placement decides which targets own the keys of one service, in one planning
// pass.
type placement struct {
	leader         *LeaderState
	service        core.Service
	state          *config.State
	now            time.Time
	table          config.KeyTable
	candidates     map[core.TargetID]*candidate
	byID           []*candidate // the candidates, sorted by ID
	cumulativeLoad []float64    // see LeaderState.cumulativeKeyLoad; nil until it is needed
}

func (l *LeaderState) newPlacement(service core.Service, s *config.State, now time.Time) *placement {
	p := &placement{
		leader: l, service: service, state: s, now: now, table: s.Keys[service], candidates: map[core.TargetID]*candidate{},
	}
	for id, t := range l.targets {
		if t.Service == service && l.assignable(t, s, now) {
			c := &candidate{target: t}
			p.candidates[id] = c
			p.byID = append(p.byID, c)
		}
	}
	slices.SortFunc(p.byID, func(x, y *candidate) int { return cmp.Compare(x.ID, y.ID) })
	return p
}

// rangeLoad returns the load of a range, including its part of the base load.
func (p *placement) rangeLoad(r config.KeyRange) float64 {
	if p.cumulativeLoad == nil {
		p.cumulativeLoad = p.leader.cumulativeKeyLoad(p.service)
	}
	baseLoad := baseLoadPerTarget * float64(len(p.candidates)) * float64(r.Last-r.First+1) / config.KeySpace
	return p.cumulativeLoad[r.Last+1] - p.cumulativeLoad[r.First] + baseLoad
}

// assign returns ranges that no target can hold any more, each with a new owner.
// It also revokes the ranges of draining targets.
func (p *placement) assign() []config.KeyRange {
	if len(p.table) == 0 {
		if len(p.leader.pending[p.service]) > 0 {
			return nil // the initial table has been proposed
		}
		return p.initialTable()
	}
	p.revokeFromDraining()
	var unassigned []config.KeyRange
	for _, r := range p.table {
		if c := p.ownerOf(r); c != nil || p.leader.isPending(p.service, r) {
			continue
		}
		if handover, ok := p.leader.unheld(r, p.now); ok {
			r.Handover = handover
			unassigned = append(unassigned, r)
		}
	}
	if len(unassigned) > 0 {
		p.countLoads()
	}
	assigned := unassigned[:0]
	for _, r := range unassigned {
		if c := p.pickOwner(p.rangeLoad(r)); c != nil {
			c.load += p.rangeLoad(r)
			c.ranges++
			r.Owner, r.Life = c.ID, c.Incarnation
			assigned = append(assigned, r)
		}
	}
	return assigned
}

// ownerOf returns the owner of r, or nil if it may not be assigned keys any more or
// r has been revoked.
func (p *placement) ownerOf(r config.KeyRange) *candidate {
	c := p.candidates[r.Owner]
	if c == nil || c.Incarnation != r.Life || c.isRevoked(r) {
		return nil
	}
	return c
}

// countLoads adds up the ranges and the load of each candidate.
func (p *placement) countLoads() {
	for _, r := range p.table {
		if c := p.ownerOf(r); c != nil {
			c.ranges++
			c.load += p.rangeLoad(r)
		}
	}
}

// pickOwner returns the best new owner for a load, by expected latency and by the
// time until the next heartbeat.
func (p *placement) pickOwner(load float64) *candidate {
	var best *candidate
	var bestCost float64
	interval := p.leader.parameters.HeartbeatInterval
	for _, c := range p.byID {
		if c.ranges >= maxRangesPerTarget {
			continue
		}
		untilHeartbeat := max(c.lastHeartbeat.Add(interval).Sub(p.now), 0)
		cost := c.expectedLatency(load) * (1 + heartbeatWaitPenalty*float64(untilHeartbeat)/float64(interval))
		if best == nil || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best
}

// initialTable divides all keys into ranges of equal size and assigns these to the
// targets round-robin.
func (p *placement) initialTable() []config.KeyRange {
	perTarget := min(max(initialRanges/len(p.byID), minInitialRanges), maxInitialRanges)
	count := min(len(p.byID)*perTarget, config.KeySpace)
	ranges := make([]config.KeyRange, 0, count)
	for i := range count {
		c := p.byID[i%len(p.byID)]
		ranges = append(ranges, config.KeyRange{
			First: uint32(i * config.KeySpace / count), Last: uint32((i+1)*config.KeySpace/count) - 1,
			Owner: c.ID, Life: c.Incarnation,
		})
	}
	return ranges
}

// revokeFromDraining revokes the ranges of targets that are draining or in an
// evacuated data centre.
func (p *placement) revokeFromDraining() {
	for _, r := range p.table {
		t := p.leader.targets[r.Owner]
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

// rebalance is one rebalancing pass. It returns a split if some ranges are too busy
// to be moved as a whole; otherwise it revokes ranges of targets that are slow
// under their load. Load patterns: a few neighbouring keys receive much of the
// traffic; targets have unequal speeds; targets are added under traffic.
func (p *placement) rebalance() (config.SplitKeys, bool) {
	for _, c := range p.byID {
		if len(c.revoked) > 0 {
			return config.SplitKeys{}, false // the moves of an earlier pass haven't finished
		}
	}
	p.countLoads()
	total := 0.0
	for _, c := range p.byID {
		total += c.load
	}
	if at := p.splitPoints(total / float64(len(p.byID))); len(at) > 0 {
		return config.SplitKeys{Service: p.service, At: at}, true
	}
	if !p.revokeForEmpty() {
		p.revokeFromSlow(total)
	}
	return config.SplitKeys{}, false
}

// revokeForEmpty revokes ranges of the targets that have the most, for targets
// without any, and reports whether there are such targets. Load pattern: targets
// are added to a service with little load.
func (p *placement) revokeForEmpty() bool {
	ranges, empty := 0, 0
	for _, c := range p.byID {
		ranges += c.ranges
		if c.ranges == 0 {
			empty++
		}
	}
	const emptyTargetDivisor = 2 // a new target first gets the mean number of ranges divided by this
	remaining := empty * max(ranges/len(p.byID)/emptyTargetDivisor, 1)
	if empty == 0 {
		return false
	}
	byRanges := slices.Clone(p.byID)
	slices.SortStableFunc(byRanges, func(x, y *candidate) int { return cmp.Compare(y.ranges, x.ranges) })
	for _, from := range byRanges {
		minRanges := from.ranges - max(remaining/len(p.byID), 1)
		for _, r := range p.rangesByLoad(from) {
			if remaining == 0 || from.ranges <= max(minRanges, 1) {
				break
			}
			from.revoke(r, p.now)
			from.ranges--
			remaining--
		}
	}
	return true
}

// splitPoints returns the keys at which busy ranges are to be split. Each is the
// first key of the second part.
func (p *placement) splitPoints(mean float64) []uint32 {
	var splitKeys []uint32
	for _, r := range p.table {
		c := p.ownerOf(r)
		if c == nil || r.First == r.Last || p.rangeLoad(r) < splitLoadFraction*mean || c.ranges+1 >= maxRangesPerTarget || len(splitKeys) == maxSplitsPerPass {
			continue
		}
		splitKeys = append(splitKeys, p.loadMedian(r))
		c.ranges++
	}
	return splitKeys
}

// loadMedian returns the key at which a split divides the load of r most evenly; it
// is the first key of the second part.
func (p *placement) loadMedian(r config.KeyRange) uint32 {
	half := (p.cumulativeLoad[r.First] + p.cumulativeLoad[r.Last+1]) / 2
	for key := r.First + 1; key < r.Last; key++ {
		if p.cumulativeLoad[key+1] > half {
			return key
		}
	}
	return r.Last
}

// revokeFromSlow revokes ranges of the slowest targets, the busiest first, as long
// as another target would be faster by minMoveGain.
func (p *placement) revokeFromSlow(total float64) {
	bySlowness := slices.Clone(p.byID)
	slices.SortStableFunc(bySlowness, func(x, y *candidate) int { return cmp.Compare(y.expectedLatency(0), x.expectedLatency(0)) })
	moves, movedLoad := 0, 0.0
	for _, from := range bySlowness {
		for _, r := range p.rangesByLoad(from) {
			load := p.rangeLoad(r)
			if moves == maxMovesPerPass || movedLoad > maxMovedLoadFraction*total {
				return
			}
			to := p.pickOwner(load)
			if to == nil || to == from || from.expectedLatency(0) < minMoveGain*to.expectedLatency(load) {
				continue
			}
			from.revoke(r, p.now)
			from.load -= load
			to.load += load
			to.ranges++
			moves++
			movedLoad += load
		}
	}
}

// rangesByLoad returns the ranges of a target, busiest first.
func (p *placement) rangesByLoad(c *candidate) []config.KeyRange {
	var ranges []config.KeyRange
	for _, r := range p.table {
		if r.Owner == c.ID && r.Life == c.Incarnation && !p.leader.isPending(p.service, r) {
			ranges = append(ranges, r)
		}
	}
	slices.SortStableFunc(ranges, func(x, y config.KeyRange) int { return cmp.Compare(p.rangeLoad(y), p.rangeLoad(x)) })
	return ranges
}
