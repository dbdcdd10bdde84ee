package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/dispatch"
)

// TestSimulationRepeats checks that a seed always gives the same figures, and that
// the load is served.
func TestSimulationRepeats(t *testing.T) {
	is := is.New(t)
	l := Load{Targets: 4, Slots: 2, Work: 10 * time.Millisecond, Utilised: 0.5, Stragglers: 1, Factor: 5, Length: 2 * time.Second, Seed: 3}
	one, two := Simulate(l, dispatch.LeastInFlight{}), Simulate(l, dispatch.LeastInFlight{})
	is.Equal(one, two)
	is.True(one.P50 > time.Millisecond && one.P50 < one.P99)
}

// TestVariedWorkEndsTheRamp checks that targets with exponentially distributed
// service times finish their cold-start ramp. At 75% utilisation no request is
// refused, and the median latency is below the mean service time, so at least
// half of the requests do not queue for long.
func TestVariedWorkEndsTheRamp(t *testing.T) {
	is := is.New(t)
	l := Load{Targets: 12, Slots: 6, Work: 25 * time.Millisecond, Utilised: 0.75, Length: 20 * time.Second, Seed: 1}
	o := Simulate(l, dispatch.LatencyAware{})
	is.Equal(o.Refused, 0)
	is.True(o.P50 < l.Work)
}
