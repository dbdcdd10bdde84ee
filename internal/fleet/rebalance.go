package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// rebalancePeriod is the time between rebalancing passes.
	rebalancePeriod = 250 * time.Millisecond
	// maxMovesPerPass limits the ranges that one pass moves away from slow targets.
	maxMovesPerPass = 64
	// maxMovingLoadFraction limits the fraction of the total load that moves at a
	// time, since requests for a moving range wait for the new owner.
	maxMovingLoadFraction = 0.25
	// minMoveGain is the ratio of the expected latencies of a range's owner and of
	// its new owner above which the range is moved. A move delays requests for the
	// range by a fraction of a second.
	minMoveGain = 2.2
	// minOverloadGain is the same for an owner that has more load than it can serve.
	minOverloadGain = 1.4
	// minUtilizationGap is how much busier than its new owner the owner of a range must
	// be. The load of a few requests a second varies by a third from second to second.
	minUtilizationGap = 0.25
	// busyRangeFraction is the load of a range, as a fraction of the mean load of a
	// target, from which on that doesn't matter: its load is no accident.
	busyRangeFraction = 0.5
	// minMoveLoad is the load of a range, in busy slots, below which moving it to
	// relieve its owner isn't worth the wait of its callers.
	minMoveLoad = 0.1
	// splitLoadFraction is the load of a range, as a fraction of the mean load of a
	// target, above which the range is split into parts with less.
	splitLoadFraction = 0.35
	// maxTableGrowth is the size of the key table, relative to the initial one, above
	// which only ranges with more than the mean load of a target are split: ranges
	// are not joined again.
	maxTableGrowth = 2
	// maxSplitsPerPass limits the splits of one pass.
	maxSplitsPerPass = 96
	// maxPartsPerSplit limits the parts into which one pass splits a range.
	maxPartsPerSplit = 24
)

// revocation is a range that is to leave its owner.
type revocation struct {
	since       time.Time
	destination core.TargetID // planned next owner, empty if none is planned
}

// rebalance is one rebalancing pass. It returns the keys at which ranges are to be
// split that are too busy to be moved as a whole, and revokes ranges of targets
// that are slow under their load. Load patterns: a few neighbouring keys suddenly
// receive much of the traffic; targets have unequal speeds; targets are added under
// traffic.
func (p *placement) rebalance() []uint32 {
	p.countLoads()
	at := p.splitPoints(p.total / float64(len(p.byID)))
	p.revokeForEmpty()
	p.revokeFromSlow()
	return at
}

// moving returns the load of the ranges that are between two owners.
func (p *placement) moving() float64 {
	owned := 0.0
	for _, c := range p.byID {
		for _, r := range c.owned {
			owned += r.load
		}
	}
	return p.total - owned
}

// revokeForEmpty revokes ranges of the targets that have the most, for targets
// without any. Load pattern: targets are added to a service with little load.
func (p *placement) revokeForEmpty() {
	var empty []*candidate
	ranges := 0
	for _, c := range p.byID {
		ranges += c.ranges
		if c.ranges == 0 && !c.coldUntil.After(p.now) {
			empty = append(empty, c)
		}
	}
	if len(empty) == 0 {
		return
	}
	const emptyTargetDivisor = 2 // a new target first gets the mean number of ranges divided by this
	remaining := len(empty) * max(ranges/len(p.byID)/emptyTargetDivisor, 1)
	byRanges := slices.Clone(p.byID)
	slices.SortStableFunc(byRanges, func(x, y *candidate) int { return cmp.Compare(y.ranges, x.ranges) })
	for _, from := range byRanges {
		minRanges := max(from.ranges-max(remaining/len(p.byID), 1), 1)
		from.sortByLoad()
		for len(from.owned) > 0 && remaining > 0 && from.ranges > minRanges {
			p.move(from, 0, empty[remaining%len(empty)])
			remaining--
		}
	}
}

// sortByLoad sorts the ranges that c owns by their load, busiest first.
func (c *candidate) sortByLoad() {
	slices.SortStableFunc(c.owned, func(x, y loadedRange) int { return cmp.Compare(y.load, x.load) })
}

// move revokes the range with index i among those that from owns, for another
// target.
func (p *placement) move(from *candidate, i int, to *candidate) {
	r := from.owned[i]
	from.revoke(r.KeyRange, to.ID, p.now)
	from.owned = slices.Delete(from.owned, i, i+1)
	from.ranges--
	from.load -= r.load
	to.ranges++
	to.load += r.load
}

// splitPoints returns the keys at which busy ranges are to be split. Each is the
// first key of a new range. The ranges to split are not moved in this pass.
func (p *placement) splitPoints(mean float64) []uint32 {
	var splitKeys []uint32
	threshold := splitLoadFraction * mean
	if len(p.table) > maxTableGrowth*initialTableSize(len(p.byID)) {
		threshold = mean
	}
	for _, c := range p.byID {
		c.owned = slices.DeleteFunc(c.owned, func(r loadedRange) bool {
			if r.load < threshold || r.First == r.Last {
				return false
			}
			parts := min(int(math.Ceil(r.load/(splitLoadFraction*mean))), maxPartsPerSplit, maxRangesPerTarget-c.ranges, maxSplitsPerPass-len(splitKeys))
			points := p.loads.quantiles(r.KeyRange, parts)
			splitKeys = append(splitKeys, points...)
			c.ranges += len(points)
			return len(points) > 0
		})
	}
	slices.Sort(splitKeys)
	return splitKeys
}

// revokeFromSlow revokes ranges of the slowest targets, the busiest first, as long
// as another target would be faster by minMoveGain.
func (p *placement) revokeFromSlow() {
	allowed := maxMovingLoadFraction*p.total - p.moving()
	bySlowness := slices.Clone(p.byID)
	slices.SortStableFunc(bySlowness, func(x, y *candidate) int { return cmp.Compare(y.expectedLatency(0), x.expectedLatency(0)) })
	moves := 0
	for _, from := range bySlowness {
		from.sortByLoad()
		for i := 0; i < len(from.owned); {
			r := from.owned[i]
			if moves == maxMovesPerPass || r.load < minMoveLoad {
				break
			}
			to := p.fastest(r.load)
			affordable := r.load <= allowed || from.saturated(0) // callers of a saturated owner wait or are refused anyway
			if !affordable || to == nil || to == from || !p.worthMoving(from, to, r.load) {
				if i++; i > maxRefusedMoves {
					break
				}
				continue
			}
			p.move(from, i, to)
			allowed -= r.load
			moves++
		}
		if moves == maxMovesPerPass || from.expectedLatency(0) < minMoveGain {
			return
		}
	}
}

// worthMoving reports whether callers gain by the move of a range with a load.
func (p *placement) worthMoving(from, to *candidate, load float64) bool {
	gain := minMoveGain
	if from.saturated(0) {
		gain = minOverloadGain
	}
	if from.expectedLatency(0) < gain*to.expectedLatency(load) {
		return false
	}
	busy := load >= busyRangeFraction*p.total/float64(len(p.byID))
	return busy || from.utilization(0)-to.utilization(load) >= minUtilizationGap
}

// maxRefusedMoves is how many ranges of one target may be found not worth moving
// before the target keeps the rest, which have less load.
const maxRefusedMoves = 3

// fastest returns the target with the lowest expected latency under extra load.
func (p *placement) fastest(load float64) *candidate {
	var best *candidate
	bestLatency := 0.0
	for _, c := range p.byID {
		if c.ranges >= maxRangesPerTarget || c.coldUntil.After(p.now) {
			continue
		}
		if latency := c.expectedLatency(load); best == nil || latency < bestLatency {
			best, bestLatency = c, latency
		}
	}
	return best
}
