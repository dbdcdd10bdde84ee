package cell

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestDrainedTargetIsLeaving holds "a leaving target gets no new work" for a
// target that an operator drains while it announces itself as before.
func TestDrainedTargetIsLeaving(t *testing.T) {
	is := is.New(t)
	state := config.NewState()
	state.Drained["t1"] = true
	targets := map[core.TargetID]core.Target{"t1": {ID: "t1"}, "t2": {ID: "t2"}}
	drain(targets, state)
	is.True(targets["t1"].Draining)
	is.True(!targets["t2"].Draining)
	is.Equal(len(targets), 2) // a drain of an unknown target adds none
}
