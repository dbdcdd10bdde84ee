package load

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPlanFollowsFromSeed checks that equal seeds give equal plans.
func TestPlanFollowsFromSeed(t *testing.T) {
	is := is.New(t)
	streams := []Stream{{Service: "a", PerSecond: 100, Keys: 5}, {Service: "b", PerSecond: 50}}
	one, two := plan(streams, time.Second, 7), plan(streams, time.Second, 7)
	is.Equal(one, two)
	is.True(len(one) > 100 && len(one) < 200)
	other := plan(streams, time.Second, 8)
	is.True(one[0] != other[0])
}

// TestRefusalsInsideTheRateAreWrongful checks the count of requests that were
// refused although they were within the workspace's rate.
func TestRefusalsInsideTheRateAreWrongful(t *testing.T) {
	is := is.New(t)
	streams := []Stream{{Workspace: "w", Rate: 10, Burst: 2}}
	r := newResults()
	for i := range 4 { // the bucket admits 0 ms, 1 ms and 100 ms
		r.add(Sample{Workspace: "w", Outcome: OverRate, At: []time.Duration{0, 1, 2, 100}[i] * time.Millisecond})
	}
	r.countRateErrors(streams)
	is.Equal(r.Wrongful["w"], 3)
	is.Equal(r.Excess["w"], 0)
}
