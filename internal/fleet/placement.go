package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// baseLoadPerTarget is a load in busy slots, times the number of targets, that
	// is attributed evenly to all keys, so that idle keys are spread too.
	baseLoadPerTarget = 0.3
	// heartbeatWaitPenalty is the fraction by which a target's expected latency is
	// increased if its next heartbeat is a full interval away: it receives new
	// ranges only with the answer to that heartbeat.
	heartbeatWaitPenalty = 0.4
)

// candidate is a target that may be assigned keys in one planning pass. Ranges on
// their way to it count as its own.
type candidate struct {
	*target
	owned  []loadedRange // ranges that it owns and that may be moved
	ranges int
	load   float64 // busy slots on a target of average speed
}

// loadedRange is a range of keys and its load in busy slots on a target of average
// speed.
type loadedRange struct {
	config.KeyRange
	load float64
}

// expectedLatency estimates the latency of a request on the target with extra load
// added, relative to an idle target of average speed.
func (c *candidate) expectedLatency(extra float64) float64 {
	serviceTime := c.relativeServiceTime()
	utilization := c.utilization(extra)
	if c.saturated(extra) {
		const overloadFactor = 20 // large enough that any target with spare capacity is preferred
		return serviceTime * (1 + overloadFactor*utilization)
	}
	return serviceTime * (1 + utilization*utilization*utilization/(1-utilization))
}

// utilization returns the fraction of the target's slots that are busy under its
// load and extra, above 1 if the load is more than it can serve.
func (c *candidate) utilization(extra float64) float64 {
	return (c.load + extra) * c.relativeServiceTime() / float64(max(c.Slots, 1))
}

// saturated reports whether the target's queue would grow under its load and extra.
func (c *candidate) saturated(extra float64) bool {
	const saturatedUtilization = 0.95
	return c.utilization(extra) >= saturatedUtilization
}

// placement decides which targets own the keys of one service, in one planning
// pass.
type placement struct {
	leader     *LeaderState
	service    core.Service
	state      *config.State
	now        time.Time
	table      config.KeyTable
	candidates map[core.TargetID]*candidate
	byID       []*candidate // the candidates, sorted by ID
	loads      keyLoads     // empty until countLoads
	total      float64      // load of all keys, from countLoads
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
	baseLoad := baseLoadPerTarget * float64(len(p.candidates)) * float64(r.Last-r.First+1) / config.KeySpace
	return p.loads.of(r) + baseLoad
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
		load := p.rangeLoad(r)
		if planned := p.destinationOf(r); planned != nil {
			planned.load -= load
			planned.ranges--
		}
		if c := p.pickOwner(load); c != nil {
			c.load += load
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

// countLoads adds up the ranges and the load of each candidate, once in each pass.
func (p *placement) countLoads() {
	if p.loads.recent != nil {
		return
	}
	p.loads = p.leader.keyLoadsOf(p.service)
	for _, r := range p.table {
		load := p.rangeLoad(r)
		p.total += load
		c := p.ownerOf(r)
		switch {
		case c == nil:
			c = p.destinationOf(r)
		case !p.leader.isPending(p.service, r):
			c.owned = append(c.owned, loadedRange{r, load})
		}
		if c != nil {
			c.ranges++
			c.load += load
		}
	}
}

// destinationOf returns the target for which r was revoked from its owner, or nil.
func (p *placement) destinationOf(r config.KeyRange) *candidate {
	t := p.leader.targets[r.Owner]
	if t == nil || t.Incarnation != r.Life {
		return nil
	}
	for span, revocation := range t.revoked {
		if span.overlaps(Span{r.First, r.Last}) {
			return p.candidates[revocation.destination]
		}
	}
	return nil
}

// pickOwner returns the best new owner for a load, by expected latency and by the
// time until the next heartbeat. A target in its cold start is the last choice,
// since it takes only a few requests per second.
func (p *placement) pickOwner(load float64) *candidate {
	var best *candidate
	var bestCost float64
	bestCold := true
	interval := p.leader.parameters.HeartbeatInterval
	for _, c := range p.byID {
		if c.ranges >= maxRangesPerTarget {
			continue
		}
		untilHeartbeat := max(c.lastHeartbeat.Add(interval).Sub(p.now), 0)
		cost := c.expectedLatency(load) * (1 + heartbeatWaitPenalty*float64(untilHeartbeat)/float64(interval))
		cold := c.coldUntil.After(p.now)
		if best == nil || bestCold && !cold || bestCold == cold && cost < bestCost {
			best, bestCost, bestCold = c, cost, cold
		}
	}
	return best
}

// initialTableSize returns the number of ranges in the initial key table.
func initialTableSize(targets int) int {
	perTarget := min(max(initialRanges/targets, minInitialRanges), maxInitialRanges)
	return min(targets*perTarget, config.KeySpace)
}

// initialTable divides all keys into ranges of equal size and assigns these to the
// targets round-robin.
func (p *placement) initialTable() []config.KeyRange {
	count := initialTableSize(len(p.byID))
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
			t.revoke(r, "", p.now)
		}
	}
}

// revoke revokes r, which then goes to destination if that is still the best when r
// is free; an empty destination means that it is not known yet.
func (t *target) revoke(r config.KeyRange, destination core.TargetID, now time.Time) {
	if !t.isRevoked(r) {
		t.revoked[Span{r.First, r.Last}] = revocation{now, destination}
	}
}
