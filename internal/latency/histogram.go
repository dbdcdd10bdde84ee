// Package latency estimates quantiles of a duration from samples, of which newer
// ones have more weight. It has no I/O and no goroutines.
package latency

import (
	"math/bits"
	"time"
)

const (
	subBits    = 2                     // log2 of the number of buckets per doubling
	unit       = 16 * time.Microsecond // width of the narrowest bucket
	buckets    = 22 << subBits         // covers more than a minute
	windowSize = 1024                  // total count at which all counts are halved
	staleAfter = 32                    // calls of Cached.Get per computation of the quantile
)

// Histogram counts samples in exponential buckets, four per doubling, so that a
// quantile is at most 25 per cent too high. The zero value is empty. No method
// allocates.
type Histogram struct {
	counts [buckets]uint16
	total  uint32
}

// Add counts one sample. When the total reaches windowSize, all counts are
// halved.
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

// Count returns the sum of the counts, after halving.
func (h *Histogram) Count() int { return int(h.total) }

// Quantile returns the upper edge of the bucket that contains the q-quantile, for
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
	units := uint64(max(d, 0) / unit)
	if units < 1<<subBits {
		return int(units)
	}
	exp := bits.Len64(units) - 1 - subBits
	index := (exp+1)<<subBits + int(units>>exp)&(1<<subBits-1)
	return min(index, buckets-1)
}

func upperEdge(bucket int) time.Duration {
	if bucket < 1<<subBits {
		return time.Duration(bucket+1) * unit
	}
	exp := bucket>>subBits - 1
	units := uint64(1<<subBits+bucket&(1<<subBits-1)+1) << exp
	return time.Duration(units) * unit
}

// Cached is a quantile that is recomputed only once every staleAfter calls of
// Get.
type Cached struct {
	value time.Duration
	age   int // calls until the value is recomputed
}

// Get returns the q-quantile of h, which may be staleAfter calls old. It
// should be called at most once per added sample, so that the value is at most
// that many samples old.
func (c *Cached) Get(h *Histogram, q float64) time.Duration {
	if c.age == 0 || h.Count() < staleAfter {
		c.value = h.Quantile(q)
		c.age = staleAfter
	}
	c.age--
	return c.value
}
