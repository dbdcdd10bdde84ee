package cell

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestDrainedTargetIsDraining checks that a target that an operator drains counts
// as draining, and so gets no new requests, although its announcements do not say
// so.
func TestDrainedTargetIsDraining(t *testing.T) {
	is := is.New(t)
	state := config.NewState()
	state.Drained["t1"] = true
	targets := map[core.TargetID]core.Target{"t1": {ID: "t1"}, "t2": {ID: "t2"}}
	drain(targets, state)
	is.True(targets["t1"].Draining)
	is.True(!targets["t2"].Draining)
	is.Equal(len(targets), 2) // draining an unknown target adds none
}
