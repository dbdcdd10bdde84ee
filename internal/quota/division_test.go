package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cellTraffic is the fraction of a workspace's requests that arrives at each
// cell, half of it at each of the cell's two daemons.
var cellTraffic = []float64{0.60, 0.25, 0.15}

// BenchmarkFloor compares divisions: refusals per 1,000 requests at 90 per cent
// of the rate with uneven arrival, those of a single bucket for the whole
// system, and the part of its load that the busiest cell serves while
// partitioned.
func BenchmarkFloor(b *testing.B) {
	for _, size := range []struct{ rate, burst float64 }{{20, 10}, {100, 20}, {1000, 200}} {
		for _, floor := range []float64{0, 1} {
			for _, cover := range []float64{0, 0.60, 0.80, 1} {
				b.Run(fmt.Sprintf("rate=%v/floor=%.2f/cover=%.2f", size.rate, floor, cover), func(b *testing.B) {
					d := DefaultDivision()
					d.Floor, d.Cover = floor, cover
					var connected, partitioned offerStats
					for i := range b.N {
						connected.add(offer(d, size.rate, size.burst, uint64(i), false))
						partitioned.add(offer(d, size.rate, size.burst, uint64(i), true))
					}
					b.ReportMetric(1000*float64(connected.refused)/float64(connected.offered), "refused/1000")
					b.ReportMetric(1000*float64(connected.refusedByOneBucket)/float64(connected.offered), "one-bucket/1000")
					b.ReportMetric(100*float64(connected.fromSystem)/float64(connected.offered), "%from-system")
					b.ReportMetric(100-100*float64(partitioned.refused)/float64(partitioned.offered), "%served-cut")
				})
			}
		}
	}
}

// offerStats counts requests, their refusals by the tree and by a single bucket,
// and the tokens drawn from the system's source.
type offerStats struct{ offered, refused, refusedByOneBucket, fromSystem int }

func (o *offerStats) add(p offerStats) {
	o.offered += p.offered
	o.refused += p.refused
	o.refusedByOneBucket += p.refusedByOneBucket
	o.fromSystem += p.fromSystem
}

// drawInterval is the time between two draws of the daemons.
const drawInterval = 5 * time.Millisecond

// offer simulates 60 s of Poisson arrivals at 90 per cent of the rate. If
// partitioned is set, the first cell is partitioned and only its requests count.
func offer(d Division, rate, burst float64, seed uint64, partitioned bool) offerStats {
	random := rand.New(rand.NewPCG(seed, 1))
	t := newDividedTree(d, len(cellTraffic), rate, burst)
	t.partitioned[0] = partitioned
	oneBucket := Bucket{rate: rate, burst: burst, tokens: burst, filledAt: t.now}
	var o offerStats
	t.refused = func(Ticket) { o.refused++ }
	t.advance(time.Minute) // until the buckets are full
	before := t.fromSystem
	for end := t.now.Add(time.Minute); t.now.Before(end); {
		gap := time.Duration(random.ExpFloat64() / (0.9 * rate) * float64(time.Second))
		for ; gap > drawInterval; gap -= drawInterval {
			t.advance(drawInterval)
		}
		t.advance(gap)
		cell := pickCell(random)
		if partitioned && cell != 0 {
			continue
		}
		o.offered++
		o.refusedByOneBucket += 1 - oneBucket.Take(1, t.now)
		t.admit(cell, random.IntN(2), false)
	}
	t.advance(2 * time.Second)
	o.fromSystem = t.fromSystem - before
	return o
}

func pickCell(random *rand.Rand) int {
	x := random.Float64()
	for c, part := range cellTraffic {
		if x < part {
			return c
		}
		x -= part
	}
	return 0
}
