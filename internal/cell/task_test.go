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

// wires carries calls between tasks of one process, after a millisecond.
type wires map[core.VM]*Task

func (w wires) Call(ctx context.Context, to config.VM, from core.VM, c Call) (Answer, error) {
	timer := time.NewTimer(time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	return w[to.Name].Answer(ctx, from, c)
}

// TestAnyMemberTakesAnAssignment holds that an operator's choice that any
// member acknowledged is in force at the coordinator, and that tasks end.
func TestAnyMemberTakesAnAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		state := config.NewState()
		state.DataCentres["a"] = config.DataCentre{Name: "a", Status: config.DataCentreActive}
		state.Services["s"] = config.Service{Name: "s", Keyed: true, Shards: 4}
		state.Homes["s"] = config.ShardHomes{Cells: []core.Cell{"a"}, Home: make([]uint16, 4)}
		members := []core.VM{"x", "y", "z"}
		state.Cells["a"] = config.Cell{Name: "a", DataCentre: "a", Epoch: 1, Members: members}
		w := wires{}
		done := make(chan error, len(members))
		for _, vm := range members {
			state.VMs[vm] = config.VM{Name: vm, Cell: "a"}
			w[vm] = NewTask(vm, "a", w, func(*Table) {}, func(config.Change) {})
		}
		for _, vm := range members {
			is.NoErr(w[vm].Post(ConfigChanged{State: state}))
			is.NoErr(w[vm].Post(TargetsChanged{View: &membership.View{Targets: map[core.TargetID]core.Target{
				core.TargetID("t-" + vm): {ID: core.TargetID("t-" + vm), Service: "s"},
			}}}))
			go func() { done <- w[vm].Serve(ctx) }()
		}
		// All memory is new: silence, one member lease, one grant, and the
		// longest deadline of a service whose targets check no fences.
		time.Sleep(20 * time.Second)
		for _, vm := range members {
			is.True(w[vm].Lease().Live(time.Now()))
			is.Equal(w[vm].Table().Fence, w["x"].Table().Fence)
		}
		for i, vm := range members { // one of them coordinates, the others pass it on
			p := Pin{Service: "s", Shard: core.Shard(i), Target: core.TargetID("t-" + vm)}
			is.NoErr(w[vm].Assign(ctx, p))
			is.True(w[w[vm].Coordinator()].Table().Holds(p))
		}
		cancel()
		for range members {
			<-done
		}
	})
}
