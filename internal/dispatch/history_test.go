package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestOnlySettledTargetsAreHandedOver holds "a target in cold start gets no more
// work than it can bear" when the dispatcher of a cold target changes.
func TestOnlySettledTargetsAreHandedOver(t *testing.T) {
	is := is.New(t)
	table := func(dispatcher core.VM, incarnation core.Incarnation) *cell.Table {
		c := cell.NewTable("c")
		c.Targets["t"] = cell.TargetEntry{Target: core.Target{ID: "t", Incarnation: incarnation}, Dispatcher: dispatcher}
		return c
	}
	h := history{}
	is.Equal(len(h.handedOver("a", table("b", 1), start)), 0)
	is.Equal(len(h.handedOver("a", table("a", 1), start.Add(time.Second))), 0) // still cold
	is.Equal(len(h.handedOver("a", table("b", 1), start.Add(2*time.Second))), 0)
	later := start.Add(time.Minute)
	is.Equal(h.handedOver("a", table("a", 1), later), []core.TargetID{"t"})
	is.Equal(len(h.handedOver("a", table("b", 2), later)), 0)
	is.Equal(len(h.handedOver("a", table("a", 2), later.Add(time.Second))), 0) // a new incarnation
}
