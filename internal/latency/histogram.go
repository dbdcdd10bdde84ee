// Package latency estimates quantiles of a duration from samples, with more
// weight on the newer ones. It is a decisions layer only.
package latency

import (
	"math/bits"
	"time"
)

const (
	subBits    = 2                     // sub-buckets per doubling: 4
	unit       = 16 * time.Microsecond // width of the narrowest bucket
	buckets    = 22 << subBits         // reaches past a minute
	windowSize = 1024                  // samples after which old ones count half
	staleAfter = 32                    // samples between computations of a cached quantile
)

// Histogram counts samples in buckets whose width is a quarter of their
// doubling, so that a quantile is right within 25 per cent. The zero value is
// empty. Neither method allocates.
type Histogram struct {
	counts [buckets]uint16
	total  uint32
}

// Add counts one sample. When the window is full, all counts are halved.
func (h *Histogram) Add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	if h.total < windowSize {
		return
	}
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += uint32(h.counts[i])
	}
}

// Count is the number of samples that still count.
func (h *Histogram) Count() int { return int(h.total) }

// Quantile returns the upper edge of the bucket that holds the q-quantile,
// 0 < q <= 1. Without samples it returns 0.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := uint32(q * float64(h.total))
	var seen uint32
	for i, n := range h.counts {
		seen += uint32(n)
		if seen > rank || seen == h.total {
			return upperEdge(i)
		}
	}
	return upperEdge(buckets - 1)
}

func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0) / unit)
	if v < 1<<subBits {
		return int(v)
	}
	exp := bits.Len64(v) - 1 - subBits
	i := (exp+1)<<subBits + int(v>>exp)&(1<<subBits-1)
	return min(i, buckets-1)
}

func upperEdge(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * unit
	}
	exp := i>>subBits - 1
	v := uint64(1<<subBits+i&(1<<subBits-1)+1) << exp
	return time.Duration(v) * unit
}

// Cached is a quantile that is computed anew only every few samples.
type Cached struct {
	value time.Duration
	age   int
}

// Get returns the q-quantile of h, at most a few samples old. It is called once
// for each added sample or less.
func (c *Cached) Get(h *Histogram, q float64) time.Duration {
	if c.age == 0 || h.Count() < staleAfter {
		c.value = h.Quantile(q)
		c.age = staleAfter
	}
	c.age--
	return c.value
}
