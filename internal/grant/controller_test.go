package grant_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/grant"
)

// TestEndedGrantIsNeverRenewed checks that an assignment whose grant expired is
// not granted again when its target replies again: another target may own the
// shard by then.
func TestEndedGrantIsNeverRenewed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	state := config.NewState()
	state.Services["s"] = config.Service{Name: "s", Keyed: true, ChecksFence: true, Shards: 1}
	table := cell.NewTable("c")
	table.Fence = core.Fence{Epoch: 1, Ballot: 1, Counter: 1}
	table.Targets["t"] = cell.TargetEntry{Target: core.Target{ID: "t", Service: "s"}, Dispatcher: "vm", Fence: table.Fence}
	table.Shards["s"] = []cell.Assignment{{Target: "t", Fence: table.Fence}}
	c := grant.NewController("vm", grant.DefaultTiming(700*time.Millisecond))
	c.SetConfig(state)
	c.SetTable(table, now)
	clock := time.Hour
	step := func(answers bool) (adds int) {
		now, clock = now.Add(20*time.Millisecond), clock+20*time.Millisecond
		for _, o := range c.DueOrders(cell.Lease{Until: now.Add(time.Second)}, now) {
			adds += len(o.Add)
			c.HandleReply(o, grant.Reply{Failed: !answers, Incarnation: 1, Clock: clock, HeldCount: 1}, now)
		}
		return adds
	}
	is.Equal(step(true)+step(true), 1) // probed, then granted
	is.True(c.View().Live("t", 0, table.Fence, now))
	for range 50 {
		step(false)
	}
	is.True(!c.View().Live("t", 0, table.Fence, now))
	is.Equal(c.Facts().EndedTargets, []cell.EndedTarget{{Target: "t", Fence: table.Fence, EndedFence: table.Fence}})
	for range 50 {
		is.Equal(step(true), 0)
	}
	is.True(!c.View().Live("t", 0, table.Fence, now))
	is.True(c.Facts().EndedTargets[0].Answering)
}
