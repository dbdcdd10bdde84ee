package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// stuckQuantile is the quantile of the service's latencies from which the time
// limit for stuck targets is computed.
const stuckQuantile = 0.99

// choose returns a target with a free slot, or nil. It skips draining targets,
// outliers, and stuck targets, which have stopped answering; the latter only if
// they are less than half of all. The target avoid is returned only if no other
// is eligible, and never if strict.
func (p *Pool) choose(avoid core.TargetID, strict bool, now time.Time) *target {
	p.collect(avoid, now)
	if len(p.eligible) == 0 {
		if t := p.targets[avoid]; !strict && avoid != "" && t != nil && usable(t, now) {
			return t
		}
		return nil
	}
	if len(p.eligible) == 1 {
		return p.eligible[0]
	}
	return p.eligible[p.chooser.Choose(p.candidates, p.nextRandom())]
}

// collect fills p.eligible and p.candidates.
func (p *Pool) collect(avoid core.TargetID, now time.Time) {
	limit := max(stuckFactor*p.stuckLatency.Get(&p.latency, stuckQuantile), stuckFloor)
	skipStuck := p.stuckMinority(limit, now)
	p.candidates, p.eligible = p.candidates[:0], p.eligible[:0]
	for _, t := range p.assigned {
		if t.info.ID == avoid || !usable(t, now) || skipStuck && t.stuck(limit, now) {
			continue
		}
		p.eligible = append(p.eligible, t)
		p.candidates = append(p.candidates, t.candidate(now))
	}
}

// usable reports whether t may now get a request that is bound to no target.
func usable(t *target, now time.Time) bool {
	return !t.info.Draining && t.hasFreeSlot(now) && !t.stats.Ejected(now)
}

// stuckMinority reports whether some targets, but less than half, are stuck.
func (p *Pool) stuckMinority(limit time.Duration, now time.Time) bool {
	stuck := 0
	for _, t := range p.assigned {
		if t.stuck(limit, now) {
			stuck++
		}
	}
	return stuck > 0 && 2*stuck < len(p.assigned)
}

// nextRandom returns a random number (xorshift64*, Vigna 2016).
func (p *Pool) nextRandom() uint64 {
	p.random ^= p.random >> 12
	p.random ^= p.random << 25
	p.random ^= p.random >> 27
	return p.random * 2685821657736338717
}
