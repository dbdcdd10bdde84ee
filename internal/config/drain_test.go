package config

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TestDrainLastsUntilUndone checks that a drain of a target stays in the state
// until it is undone, and that earlier states are not modified.
func TestDrainLastsUntilUndone(t *testing.T) {
	is := is.New(t)
	first := NewState()
	drained, err := first.Apply(Command{RequestID: "a", Change: DrainTarget{Target: "t1"}})
	is.NoErr(err)
	is.Equal(drained.Drained, map[core.TargetID]bool{"t1": true})
	undone, err := drained.Apply(Command{RequestID: "b", Change: DrainTarget{Target: "t1", Undo: true}})
	is.NoErr(err)
	is.Equal(len(undone.Drained), 0)
	is.Equal(len(drained.Drained), 1)
	is.Equal(len(first.Drained), 0)
	_, err = undone.Apply(Command{RequestID: "c", Change: DrainTarget{Target: "t1", Undo: true}})
	is.Equal(result.CodeOf(err), result.NotFound)
}
