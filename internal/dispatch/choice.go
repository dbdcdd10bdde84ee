package dispatch

import (
	"slices"
	"time"
)

// Candidate describes a target with a free slot to a Chooser.
type Candidate struct {
	InFlight      int
	MedianLatency time.Duration // median time to the first byte; 0: unknown
}

// Chooser picks one of the candidates, of which there is at least one, and
// returns its index. random is a new random number in each call. A chooser may
// keep state between calls.
type Chooser interface {
	Choose(c []Candidate, random uint64) int
}

// RoundRobin picks the targets in turn.
type RoundRobin struct{ next int }

// Choose returns the next index.
func (r *RoundRobin) Choose(c []Candidate, _ uint64) int {
	r.next++
	return r.next % len(c)
}

// TwoChoices picks the less loaded of two random targets (Mitzenmacher, 2001).
type TwoChoices struct{}

// Choose compares two random candidates by their requests in flight.
func (TwoChoices) Choose(c []Candidate, random uint64) int {
	i, j := int(uint32(random))%len(c), int(random>>32)%len(c)
	if c[j].InFlight < c[i].InFlight {
		return j
	}
	return i
}

// LeastInFlight picks the target with the fewest requests in flight, and a random
// one among equals.
type LeastInFlight struct{}

// Choose compares all candidates, starting at a random one.
func (LeastInFlight) Choose(c []Candidate, random uint64) int {
	return lowest(c, random, func(x Candidate) float64 { return float64(x.InFlight) })
}

// LatencyAware picks the target with the smallest expected wait: its median
// latency times the number of requests that it would then have in flight.
type LatencyAware struct{}

// Choose compares all candidates. One with unknown latency counts as the fastest,
// so that it gets requests and its latency becomes known.
func (LatencyAware) Choose(c []Candidate, random uint64) int {
	fastest := fastestOf(c)
	return lowest(c, random, func(x Candidate) float64 {
		return float64(x.InFlight+1) * float64(orDefault(x.MedianLatency, fastest))
	})
}

// hotQuantile is the quantile of requests in flight above which HotCold treats a
// target as hot.
const hotQuantile = 0.8

// HotCold is the rule of Prequal (Wydrowski et al., NSDI 2024): a target is hot
// if its requests in flight exceed a quantile over all candidates. It picks the
// cold target with the lowest latency, or the least loaded one if all are hot.
type HotCold struct{ loads []int }

// Choose applies the rule.
func (h *HotCold) Choose(c []Candidate, random uint64) int {
	h.loads = h.loads[:0]
	for _, x := range c {
		h.loads = append(h.loads, x.InFlight)
	}
	slices.Sort(h.loads)
	threshold := h.loads[int(hotQuantile*float64(len(h.loads)-1))]
	fastest := fastestOf(c)
	return lowest(c, random, func(x Candidate) float64 {
		if x.InFlight > threshold {
			return float64(time.Hour) * float64(1+x.InFlight)
		}
		return float64(orDefault(x.MedianLatency, fastest))
	})
}

func fastestOf(c []Candidate) time.Duration {
	var fastest time.Duration
	for _, x := range c {
		if x.MedianLatency > 0 && (fastest == 0 || x.MedianLatency < fastest) {
			fastest = x.MedianLatency
		}
	}
	return max(fastest, 1)
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d == 0 {
		return otherwise
	}
	return d
}

// lowest returns the index with the lowest score; among equal ones, the first
// after a random starting index.
func lowest(c []Candidate, random uint64, score func(Candidate) float64) int {
	start := int(random % uint64(len(c)))
	best, bestScore := start, score(c[start])
	for k := 1; k < len(c); k++ {
		i := start + k
		if i >= len(c) {
			i -= len(c)
		}
		if s := score(c[i]); s < bestScore {
			best, bestScore = i, s
		}
	}
	return best
}
