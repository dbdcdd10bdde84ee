package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRatesOnALargeFleet replays a small workspace on 285 entry VMs, which each
// see few of its requests or none, through the loss of the leader, a rolling
// restart of a third of the VMs, and callers that move to other VMs. Requests
// within the rate are admitted, and the quota holds.
func TestRatesOnALargeFleet(t *testing.T) {
	const entryVMs, part = 285, 0.62
	for _, c := range []struct {
		callers int
		rate    float64
		event   string
		refused float64 // largest fraction of requests within the rate that may be refused
	}{
		{12, 26, "none", 0.01},
		{40, 90, "none", 0.01},
		{5, 8, "none", 0.01},
		{12, 26, "new leader", 0.05},
		{40, 90, "new leader", 0.05},
		{12, 26, "rolling restart", 0.05},
		{12, 26, "callers move", 0.05},
	} {
		t.Run(fmt.Sprintf("%d callers, %.0f a second, %s", c.callers, c.rate, c.event), func(t *testing.T) {
			is := is.New(t)
			sim := newRatesSimulation(t, 1, entryVMs, c.callers, c.rate, c.rate)
			sim.run(10*time.Second, part*c.rate, false)
			switch c.event {
			case "none":
				sim.run(20*time.Second, part*c.rate, true)
			case "new leader":
				sim.leaderless = true
				sim.run(1200*time.Millisecond, part*c.rate, true)
				sim.leaderless = false
				sim.book.BeginTerm(2, sim.now)
				sim.run(5*time.Second, part*c.rate, true)
			case "rolling restart":
				for i := 0; i < entryVMs; i += 3 {
					sim.restart(i)
					for caller, vm := range sim.callers {
						if vm == i {
							sim.callers[caller] = (i + 1) % entryVMs
						}
					}
					sim.run(50*time.Millisecond, part*c.rate, true)
				}
			case "callers move":
				for range 10 {
					for caller := range sim.callers {
						if sim.random.IntN(4) == 0 {
							sim.callers[caller] = sim.random.IntN(entryVMs)
						}
					}
					sim.run(time.Second, part*c.rate, true)
				}
			}
			t.Logf("refused %d of %d, %d draws, most in a window %d of %.0f", sim.refused, sim.asked, sim.draws, sim.mostInWindow(), sim.bound())
			is.True(float64(sim.refused) <= c.refused*float64(sim.asked))
			is.True(float64(sim.mostInWindow()) <= sim.bound())
		})
	}
}
