package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const stuckQuantile = 0.99

// choose returns a target of the group with a free slot, or nil. It passes over
// targets that leave, outliers, and targets that stopped to answer, unless the
// last are half of the group or more. The target avoid is taken only when it is
// the only one, and never when strict.
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
	return p.eligible[p.chooser.Choose(p.candidates, p.next())]
}

func (p *Pool) collect(avoid core.TargetID, now time.Time) {
	limit := max(stuckFactor*p.stuck.Get(&p.latency, stuckQuantile), stuckFloor)
	skipStuck := p.stuckMinority(limit, now)
	p.candidates, p.eligible = p.candidates[:0], p.eligible[:0]
	for _, t := range p.present {
		if t.info.ID == avoid || !usable(t, now) || skipStuck && t.stuck(limit, now) {
			continue
		}
		p.eligible = append(p.eligible, t)
		p.candidates = append(p.candidates, t.candidate(now))
	}
}

// usable reports whether an open service may send t a request now.
func usable(t *target, now time.Time) bool {
	return !t.info.Draining && t.free(now) && !t.stats.Ejected(now)
}

func (p *Pool) stuckMinority(limit time.Duration, now time.Time) bool {
	stuck := 0
	for _, t := range p.present {
		if t.stuck(limit, now) {
			stuck++
		}
	}
	return stuck > 0 && 2*stuck < len(p.present)
}

// next returns a random number (xorshift64*, Vigna 2016).
func (p *Pool) next() uint64 {
	p.random ^= p.random >> 12
	p.random ^= p.random << 25
	p.random ^= p.random >> 27
	return p.random * 2685821657736338717
}
