package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// spread is where the requests of one workspace arrive: the part of each cell,
// half of it at each of its two daemons.
var spread = []float64{0.60, 0.25, 0.15}

// BenchmarkFloor weighs the floor: refusals of 1,000 requests at 90 per cent of
// the rate with uneven arrival, beside those of one bucket for the whole system,
// and the part of its load that the busiest cell serves while it is cut off.
func BenchmarkFloor(b *testing.B) {
	for _, size := range []struct{ rate, burst float64 }{{20, 10}, {100, 20}, {1000, 200}} {
		for _, floor := range []float64{0, 1} {
			for _, cover := range []float64{0, 0.60, 0.80, 1} {
				b.Run(fmt.Sprintf("rate=%v/floor=%.2f/cover=%.2f", size.rate, floor, cover), func(b *testing.B) {
					d := DefaultDivision()
					d.Floor, d.Cover = floor, cover
					var whole, cut offers
					for i := range b.N {
						whole.add(offer(d, size.rate, size.burst, uint64(i), false))
						cut.add(offer(d, size.rate, size.burst, uint64(i), true))
					}
					b.ReportMetric(1000*float64(whole.refused)/float64(whole.offered), "refused/1000")
					b.ReportMetric(1000*float64(whole.refusedByOne)/float64(whole.offered), "one-bucket/1000")
					b.ReportMetric(100*float64(whole.fromSystem)/float64(whole.offered), "%from-system")
					b.ReportMetric(100-100*float64(cut.refused)/float64(cut.offered), "%served-cut")
				})
			}
		}
	}
}

// offers counts requests and their refusals, by the tree and by one bucket.
type offers struct{ offered, refused, refusedByOne, fromSystem int }

func (o *offers) add(p offers) {
	o.offered += p.offered
	o.refused += p.refused
	o.refusedByOne += p.refusedByOne
	o.fromSystem += p.fromSystem
}

// settleStep is how often the daemons ask for tokens that they wait for.
const settleStep = 5 * time.Millisecond

// offer sends 60 s of Poisson arrivals at 90 per cent of the rate. With cut, the
// first cell is cut off and only its requests count.
func offer(d Division, rate, burst float64, seed uint64, cut bool) offers {
	random := rand.New(rand.NewPCG(seed, 1))
	t := newDividedTree(d, len(spread), rate, burst)
	t.cut[0] = cut
	one := Bucket{rate: rate, burst: burst, tokens: burst, at: t.now}
	var o offers
	t.refused = func(Ticket) { o.refused++ }
	t.advance(time.Minute) // the sources fill
	before := t.fromSystem
	for end := t.now.Add(time.Minute); t.now.Before(end); {
		gap := time.Duration(random.ExpFloat64() / (0.9 * rate) * float64(time.Second))
		for ; gap > settleStep; gap -= settleStep {
			t.advance(settleStep)
		}
		t.advance(gap)
		cell := pick(random)
		if cut && cell != 0 {
			continue
		}
		o.offered++
		o.refusedByOne += 1 - one.Take(1, t.now)
		t.admit(cell, random.IntN(2), false)
	}
	t.advance(2 * time.Second)
	o.fromSystem = t.fromSystem - before
	return o
}

func pick(random *rand.Rand) int {
	x := random.Float64()
	for c, part := range spread {
		if x < part {
			return c
		}
		x -= part
	}
	return 0
}
