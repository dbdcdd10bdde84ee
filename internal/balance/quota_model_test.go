package balance

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestQuotaHoldsThroughCutsAndLeaders holds that no window has more admitted
// requests than a workspace's rate and burst allow, while entry VMs are cut off
// from the leader, restarted and added, leaders change, and callers ask for any
// amount anywhere.
func TestQuotaHoldsThroughCutsAndLeaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		entries := rapid.SampledFrom([]int{3, 10, 30}).Draw(rt, "entries")
		rate := rapid.SampledFrom([]float64{10, 40, 200}).Draw(rt, "rate")
		w := newRatesWorld(t, rapid.Uint64().Draw(rt, "seed"), entries, 3*entries, rate, rate)
		w.run(4*time.Second, 0.5*rate, false)
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			part := rapid.SampledFrom([]float64{0, 0.5, 1, 4, 20}).Draw(rt, "part of the rate")
			span := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				w.cutOff(rapid.IntRange(0, entries-1).Draw(rt, "cut"), true)
			case 1:
				w.cutOff(rapid.IntRange(0, entries-1).Draw(rt, "healed"), false)
			case 2:
				w.restart(rapid.IntRange(0, entries-1).Draw(rt, "restarted"))
			case 3:
				w.leaderless = true
				w.run(time.Second, part*rate, true)
				w.leaderless = false
				w.book.BeginTerm(w.book.Term()+1, w.now)
			case 4:
			}
			w.run(span, part*rate, true)
		}
		if float64(w.mostInWindow()) > w.bound() {
			rt.Fatalf("%d requests in a window, %.0f are allowed", w.mostInWindow(), w.bound())
		}
	})
}
