package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// TestQuotaHoldsThroughCutsAndLeaders checks that no window has more admitted
// requests than a workspace's rate and burst allow, while entry VMs are
// partitioned from the leader and restarted, leaders change, and callers send
// any number of requests to any entry VM.
func TestQuotaHoldsThroughCutsAndLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entryVMs := rapid.SampledFrom([]int{3, 10, 30, 285}).Draw(rt, "entries")
		rate := rapid.SampledFrom([]float64{10, 40, 200}).Draw(rt, "rate")
		sim := newRatesSimulation(t, rapid.Uint64().Draw(rt, "seed"), entryVMs, 3*entryVMs, rate, rate)
		sim.run(4*time.Second, 0.5*rate, false)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			loadFactor := rapid.SampledFrom([]float64{0, 0.5, 1, 4, 20}).Draw(rt, "part of the rate")
			duration := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0:
				sim.setPartitioned(rapid.IntRange(0, entryVMs-1).Draw(rt, "cut"), true)
			case 1:
				sim.setPartitioned(rapid.IntRange(0, entryVMs-1).Draw(rt, "healed"), false)
			case 2:
				sim.restart(rapid.IntRange(0, entryVMs-1).Draw(rt, "restarted"))
			case 3:
				sim.leaderless = true
				sim.run(time.Second, loadFactor*rate, true)
				sim.leaderless = false
				sim.book.BeginTerm(sim.book.Term()+1, sim.now)
			case 4:
				sim.counters[0] = fleet.NewCounter(testQuota) // restarted
			case 5:
				sim.counterDown = !sim.counterDown
			case 6:
			}
			sim.run(duration, loadFactor*rate, true)
		}
		if float64(sim.mostInWindow()) > sim.bound() {
			rt.Fatalf("%d requests in a window, %.0f are allowed", sim.mostInWindow(), sim.bound())
		}
	})
}

// TestQuotaThroughACutAndANewLeader plays the plan that broke the quota when shares had
// no lease: an entry VM is cut off before it has reported to a new leader and keeps
// its share, while the leader divides the whole rate among the others.
func TestQuotaThroughACutAndANewLeader(t *testing.T) {
	for seed := range uint64(8) {
		sim := newRatesSimulation(t, seed, 3, 9, 200, 200)
		sim.run(4*time.Second, 100, false)
		sim.setPartitioned(0, true)
		sim.book.BeginTerm(2, sim.now)
		sim.run(12*time.Second, 4000, true)
		if float64(sim.mostInWindow()) > sim.bound() {
			t.Errorf("seed %d: %d requests in a window, %.0f are allowed", seed, sim.mostInWindow(), sim.bound())
		}
	}
}

// TestQuotaThroughARestart plays the plan that broke the quota when a first share came
// with a full bucket: entry VMs restart in the middle of a surge.
func TestQuotaThroughARestart(t *testing.T) {
	for seed := range uint64(8) {
		sim := newRatesSimulation(t, seed, 3, 9, 200, 200)
		sim.run(4*time.Second, 100, false)
		sim.run(300*time.Millisecond, 4000, true)
		for i := range sim.pools {
			sim.restart(i)
			sim.run(500*time.Millisecond, 4000, true)
		}
		sim.run(6*time.Second, 4000, true)
		if float64(sim.mostInWindow()) > sim.bound() {
			t.Errorf("seed %d: %d requests in a window, %.0f are allowed", seed, sim.mostInWindow(), sim.bound())
		}
	}
}
