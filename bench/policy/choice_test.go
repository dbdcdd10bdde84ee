package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/dispatch"
)

// TestSimulationRepeats holds that a seed gives the same figures again, and that
// the load is served.
func TestSimulationRepeats(t *testing.T) {
	is := is.New(t)
	l := Load{Targets: 4, Slots: 2, Work: 10 * time.Millisecond, Utilised: 0.5, Stragglers: 1, Factor: 5, Length: 2 * time.Second, Seed: 3}
	one, two := Simulate(l, dispatch.LeastInFlight{}), Simulate(l, dispatch.LeastInFlight{})
	is.Equal(one, two)
	is.True(one.P50 > time.Millisecond && one.P50 < one.P99)
}

// TestVariedWorkEndsTheRamp holds that targets whose answers vary as an
// exponential distribution become warm: at three quarters of the slots nothing
// is refused and half of the requests do not wait.
func TestVariedWorkEndsTheRamp(t *testing.T) {
	is := is.New(t)
	l := Load{Targets: 12, Slots: 6, Work: 25 * time.Millisecond, Utilised: 0.75, Length: 20 * time.Second, Seed: 1}
	o := Simulate(l, dispatch.LatencyAware{})
	is.Equal(o.Refused, 0)
	is.True(o.P50 < l.Work)
}
