package faketarget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

var epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fence(counter uint64) core.Fence { return core.Fence{Epoch: 1, Ballot: 1, Counter: counter} }

// TestGrantsRefuseOldFences checks that a fake target refuses whatever a real
// target that checks fences refuses. Otherwise the tests that use it could not
// prove that a key has at most one owning server.
func TestGrantsRefuseOldFences(t *testing.T) {
	is := is.New(t)
	g := newGrants("t1", true, epochStart)
	add := func(c uint64) GrantOrder {
		return GrantOrder{Service: "s", Holder: fence(c), TTL: time.Second, Add: []ShardFence{{3, fence(c)}}}
	}
	_, ok := g.apply(add(5), epochStart)
	is.True(ok)
	is.True(g.allows("s", 3, fence(5), epochStart))
	is.True(!g.allows("s", 3, fence(4), epochStart))                  // an older fence
	is.True(!g.allows("s", 3, fence(5), epochStart.Add(time.Second))) // the grant ran out
	newer, ok := g.apply(add(4), epochStart)                          // an older holder
	is.True(!ok && newer == fence(5))                                 // names the newer fence
	_, ok = g.apply(GrantOrder{Service: "s", Holder: fence(6), TTL: time.Second, Remove: []ShardFence{{3, fence(6)}}}, epochStart)
	is.True(ok)
	is.True(!g.allows("s", 3, fence(6), epochStart))
	is.Equal(len(g.periods()), 1)
}

// TestDelayedOrderGrantsNothing checks that an order which waited in the buffer of
// a frozen target grants nothing once its TTL has passed on the target's clock.
func TestDelayedOrderGrantsNothing(t *testing.T) {
	is := is.New(t)
	g := newGrants("t1", true, epochStart)
	order := GrantOrder{
		Service: "s", Holder: fence(5), TTL: time.Second, Since: 2 * time.Second,
		Add: []ShardFence{{3, fence(5)}},
	}
	receipt := epochStart.Add(3500 * time.Millisecond)
	_, ok := g.apply(order, receipt)
	is.True(ok)
	is.True(!g.allows("s", 3, fence(5), receipt))
	order.Since, order.Holder = 3*time.Second, fence(6)
	_, ok = g.apply(order, receipt)
	is.True(ok)
	is.True(g.allows("s", 3, fence(5), receipt))
	is.True(!g.allows("s", 3, fence(5), epochStart.Add(4*time.Second)))
}

// TestColdTargetCollapsesUnderExcessLoad checks that requests above the capacity
// of a cold start take longer and begin the cold start again.
func TestColdTargetCollapsesUnderExcessLoad(t *testing.T) {
	is := is.New(t)
	m := newModel(Options{ID: "t1", Slots: 4, ServiceTime: time.Millisecond, WarmUp: time.Second}, epochStart)
	m.beginColdStart(epochStart)
	first := m.begin(0, Run{}, epochStart)
	second := m.begin(0, Run{}, epochStart)
	is.Equal(first.serviceTime, time.Millisecond)
	is.Equal(second.serviceTime, collapseFactor*time.Millisecond)
	is.Equal(m.summary().Collapses, 1)
	m.end(first.run, false, epochStart)
	m.end(second.run, false, epochStart)
	is.Equal(m.begin(0, Run{}, epochStart.Add(time.Second)).serviceTime, time.Millisecond) // warm again
}
