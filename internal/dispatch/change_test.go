package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndOfColdStartIsReportedOnce checks that Changes reports the end of each
// target's cold start, for the time line, exactly once.
func TestEndOfColdStartIsReportedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	p := NewPool("s", 100, LatencyAware{}, 1)
	targets := targetsOf(2, 2)
	p.Update(targets, now)
	is.Equal(len(p.Changes()), 0)
	warm(p, targets, now)
	warmed := map[string]int{}
	for _, c := range p.Changes() {
		is.Equal(c.Kind, TurnedWarm)
		warmed[string(c.Target.ID)]++
	}
	is.Equal(warmed, map[string]int{string(targets[0].ID): 1, string(targets[1].ID): 1})
	is.Equal(len(p.Changes()), 0) // reported once
}
