package rebalance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// workload is a cell of targets that serve keys of different rates.
type workload struct {
	service ServiceTargets
	shards  uint32
	owner   map[core.Shard]core.TargetID
	hot     map[uint64]core.Shard // shards of the keys with a shard of their own, by hash
	rate    map[uint64]float64    // requests per second of each key, by hash
}

func newWorkload(targets int, shards uint32, rate map[uint64]float64) *workload {
	w := &workload{
		service: ServiceTargets{Service: "archivio", SplittableShards: shards},
		shards:  shards, owner: map[core.Shard]core.TargetID{}, hot: map[uint64]core.Shard{}, rate: rate,
	}
	for i := range targets {
		w.service.Targets = append(w.service.Targets, core.TargetID(fmt.Sprintf("t%02d", i)))
	}
	for s := range core.Shard(shards) {
		w.owner[s] = w.service.Targets[int(s)%targets]
	}
	return w
}

func (w *workload) shardOf(hash uint64) core.Shard {
	if s, ok := w.hot[hash]; ok {
		return s
	}
	return core.Shard(hash % uint64(w.shards))
}

// report returns the load report of one second of requests.
func (w *workload) report() map[core.VM]Report {
	start := time.Unix(0, 0)
	t := NewTracker(start)
	for hash, rate := range w.rate {
		shard := w.shardOf(hash)
		for range int(rate) {
			t.Observe(Request{Service: w.service.Service, Target: w.owner[shard], Key: KeyID{shard, hash}})
		}
	}
	return map[core.VM]Report{"vm": t.Report(start.Add(time.Second))}
}

func (w *workload) apply(m Move) {
	shard := m.Shard
	if m.ByKey {
		shard = core.Shard(w.shards) + core.Shard(len(w.hot))
		w.hot[m.Hash] = shard
	}
	w.owner[shard] = m.To
}

// imbalance returns the ratio of the busiest target's load to the mean load.
func (w *workload) imbalance() float64 {
	load, total := map[core.TargetID]float64{}, 0.0
	for hash, rate := range w.rate {
		load[w.owner[w.shardOf(hash)]] += rate
		total += rate
	}
	most := 0.0
	for _, l := range load {
		most = max(most, l)
	}
	return most * float64(len(w.service.Targets)) / total
}

// hottest returns the ratio of the busiest key's load to the mean load of the
// targets. No placement has a smaller imbalance.
func (w *workload) hottest() float64 {
	most, total := 0.0, 0.0
	for _, rate := range w.rate {
		most = max(most, rate)
		total += rate
	}
	return most * float64(len(w.service.Targets)) / total
}

// zipf returns the rates of keys that follow a Zipf distribution, 1/rank^s.
func zipf(random *rand.Rand, keys int, s float64, perSecond int) map[uint64]float64 {
	z := rand.NewZipf(random, s, 1, uint64(keys-1))
	names := make([]uint64, keys)
	for i := range names {
		names[i] = random.Uint64()
	}
	rate := map[uint64]float64{}
	for range perSecond {
		rate[names[z.Uint64()]]++
	}
	return rate
}

// settle applies moves until Balance returns none, but at most limit of them.
func (w *workload) settle(limit int) (moves int) {
	for ; moves < limit; moves++ {
		m, ok := Balance(w.service, w.report())
		if !ok {
			return moves
		}
		w.apply(m)
	}
	return moves
}

// TestBalanceSettles checks for random loads that the moves come to an end, so
// that no key or shard moves back and forth, and do not increase the imbalance.
func TestBalanceSettles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		s := rapid.Float64Range(1.05, 2.5).Draw(rt, "skew")
		w := newWorkload(rapid.IntRange(2, 8).Draw(rt, "targets"), 64, zipf(random, 500, s, 2000))
		before := w.imbalance()
		const limit = 64
		if moves := w.settle(limit); moves == limit {
			rt.Fatalf("still moving after %d moves", moves)
		}
		if after := w.imbalance(); after > before+1e-9 {
			rt.Fatalf("imbalance rose from %.2f to %.2f", before, after)
		}
	})
}

// TestHotKeyMovesAlone checks that of two hot keys in one shard one gets a shard
// of its own, since moving the whole shard would only overload its new owner.
func TestHotKeyMovesAlone(t *testing.T) {
	is := is.New(t)
	rate := map[uint64]float64{}
	for hash := range uint64(64) {
		rate[hash] = 20
	}
	rate[3], rate[19] = 500, 400 // both in shard 3
	w := newWorkload(4, 16, rate)
	m, ok := Balance(w.service, w.report())
	is.True(ok)
	is.Equal(m.ByKey, true)
	is.Equal(m.From, w.service.Targets[3])
	w.apply(m)
	w.settle(64)
	is.True(w.owner[w.shardOf(3)] != w.owner[w.shardOf(19)])
}

// TestEvenLoadMovesNothing checks that an even load causes no move.
func TestEvenLoadMovesNothing(t *testing.T) {
	is := is.New(t)
	rate := map[uint64]float64{}
	for hash := range uint64(640) {
		rate[hash] = 5
	}
	_, ok := Balance(newWorkload(4, 16, rate).service, newWorkload(4, 16, rate).report())
	is.Equal(ok, false)
}

// BenchmarkHotKeys measures the imbalance before and after balancing and the
// number of moves, starting from a placement without hot keys.
func BenchmarkHotKeys(b *testing.B) {
	for _, skew := range []float64{1.1, 1.3, 1.6} {
		b.Run(fmt.Sprintf("skew=%.1f", skew), func(b *testing.B) {
			var before, after, moves, hottest float64
			for i := range b.N {
				random := rand.New(rand.NewPCG(uint64(i), 1))
				w := newWorkload(6, 256, zipf(random, 5000, skew, 5000))
				before += w.imbalance()
				moves += float64(w.settle(100))
				after += w.imbalance()
				hottest += w.hottest()
			}
			n := float64(b.N)
			b.ReportMetric(before/n, "max/mean-before")
			b.ReportMetric(after/n, "max/mean-after")
			b.ReportMetric(hottest/n, "hottest-key/mean")
			b.ReportMetric(moves/n, "moves")
		})
	}
}

// BenchmarkObserve measures the cost of counting one request.
func BenchmarkObserve(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	z := rand.NewZipf(random, 1.2, 1, 1<<20)
	t := NewTracker(time.Unix(0, 0))
	b.ReportAllocs()
	for b.Loop() {
		hash := z.Uint64()
		t.Observe(Request{Service: "archivio", Target: "t1", Key: KeyID{core.Shard(hash % 256), hash}})
	}
}
