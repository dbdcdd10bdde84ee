package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/membership"
)

// testNetwork delivers calls between tasks in one process with a latency of 1 ms.
type testNetwork map[core.VM]*Task

func (n testNetwork) Call(ctx context.Context, to config.VM, from core.VM, c Call) (Answer, error) {
	timer := time.NewTimer(time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return n[to.Name].Answer(ctx, from, c)
}

// TestAnyMemberAcceptsAnAssignment checks that a pin that any member acknowledged is
// in force at the coordinator, and that the tasks end with their context.
func TestAnyMemberAcceptsAnAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		state := config.NewState()
		state.DataCentres["a"] = config.DataCentre{Name: "a", Status: config.DataCentreActive}
		state.Services["s"] = config.Service{Name: "s", Keyed: true, Shards: 4}
		state.Homes["s"] = config.ShardHomes{Cells: []core.Cell{"a"}, Home: make([]uint16, 4)}
		members := []core.VM{"x", "y", "z"}
		state.Cells["a"] = config.Cell{Name: "a", DataCentre: "a", Epoch: 1, Members: members}
		network := testNetwork{}
		done := make(chan error, len(members))
		for _, vm := range members {
			state.VMs[vm] = config.VM{Name: vm, Cell: "a"}
			network[vm] = NewTask(vm, "a", network, func(*Table) {}, func(config.Change) {})
		}
		for _, vm := range members {
			is.NoErr(network[vm].Post(ConfigChanged{State: state}))
			is.NoErr(network[vm].Post(TargetsChanged{View: &membership.View{Targets: map[core.TargetID]core.Target{
				core.TargetID("t-" + vm): {ID: core.TargetID("t-" + vm), Service: "s"},
			}}}))
			go func() { done <- network[vm].Serve(ctx) }()
		}
		// All members start without a table. The cell therefore waits for the
		// election, one member lease, one grant, and the deadline of a service
		// whose targets check no fences (10 s by default).
		time.Sleep(20 * time.Second)
		for _, vm := range members {
			is.True(network[vm].Lease().Live(time.Now()))
			is.Equal(network[vm].Table().Fence, network["x"].Table().Fence)
		}
		for i, vm := range members { // one of them coordinates, the others forward the pin to it
			p := Pin{Service: "s", Shard: core.Shard(i), Target: core.TargetID("t-" + vm)}
			is.NoErr(network[vm].Assign(ctx, p))
			is.True(network[network[vm].Coordinator()].Table().HasPin(p))
		}
		cancel()
		for range members {
			<-done
		}
	})
}
