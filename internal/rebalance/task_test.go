package rebalance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// fakeCell is a cell of two daemons whose choices are in force at once.
type fakeCell struct {
	table       task.Snapshot[cell.Table]
	coordinator core.VM
	self        core.VM
	chosen      chan cell.Pin
}

func (f fakeCell) Table() *cell.Table   { return f.table.Load() }
func (f fakeCell) Coordinator() core.VM { return f.coordinator }

func (f fakeCell) CoordinatorLease() cell.CoordinatorLease {
	if f.self != f.coordinator {
		return cell.CoordinatorLease{}
	}
	return cell.CoordinatorLease{Until: time.Now().Add(time.Second)}
}

func (f fakeCell) Assign(_ context.Context, p cell.Pin) error {
	next := *f.table.Load()
	next.Pins = map[core.Service]map[core.Shard]cell.PinnedOwner{p.Service: {}}
	if p.Target != "" {
		next.Pins[p.Service][p.Shard] = cell.PinnedOwner{Target: p.Target, Automatic: p.Automatic}
	}
	f.table.Publish(&next)
	f.chosen <- p
	return nil
}

// direct carries reports to the coordinator's task.
type direct struct{ coordinator task.Snapshot[Task] }

func (d direct) ReportLoad(_ context.Context, _ config.VM, from core.VM, r Report) error {
	return d.coordinator.Load().Reported(from, r)
}

// twoDaemons starts the tasks of coordinator a and member b, which dispatch to
// t0 and t1.
func twoDaemons(ctx context.Context) (a, b *Task, chosen chan cell.Pin) {
	table := cell.NewTable("c")
	table.Targets["t0"] = cell.TargetEntry{Target: core.Target{ID: "t0", Service: "archivio"}, Dispatcher: "a"}
	table.Targets["t1"] = cell.TargetEntry{Target: core.Target{ID: "t1", Service: "archivio"}, Dispatcher: "b"}
	shared := task.NewSnapshot(table)
	chosen = make(chan cell.Pin, 64)
	state := config.NewState()
	state.VMs["a"] = config.VM{Name: "a"}
	state.Services["archivio"] = config.Service{Name: "archivio", Keyed: true, Shards: 8}
	wire := direct{task.NewSnapshot[Task](nil)}
	start := func(self core.VM) *Task {
		t := NewTask(self, fakeCell{table: shared, coordinator: "a", self: self, chosen: chosen}, wire, func(Move) {})
		go func() { _ = t.Serve(ctx) }()
		t.ConfigChanged(state)
		return t
	}
	a, b = start("a"), start("b")
	wire.coordinator.Publish(a)
	return a, b, chosen
}

// TestHotShardMovesAndComesBack holds that load which a member reports moves a
// shard to the idle target, and that the choice is withdrawn once it is cold.
func TestHotShardMovesAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		a, b, chosen := twoDaemons(ctx)
		for i := range uint64(3000) {
			shard := core.Shard(1 + 2*(i%4)) // shards 1, 3, 5 and 7 are on t1
			b.Sent(Request{Service: "archivio", Target: "t1", Key: KeyID{shard, i}})
		}
		time.Sleep(2*reportPeriod + time.Second)
		move := <-chosen
		is.Equal(move.Target, core.TargetID("t0"))
		is.Equal(move.Automatic, true)
		is.Equal(move.Key, false)
		time.Sleep(reportTTL)
		for len(chosen) > 0 {
			<-chosen
		}
		for range 4 { // other shards are busy, evenly; the moved one is cold
			for i := range uint64(1000) {
				a.Sent(Request{Service: "archivio", Target: "t0", Key: KeyID{0, i}})
				b.Sent(Request{Service: "archivio", Target: "t1", Key: KeyID{6, i}})
			}
			time.Sleep(reportPeriod)
		}
		withdrawn := <-chosen
		is.Equal(withdrawn.Target, core.TargetID(""))
		cancel()
		synctest.Wait()
	})
}
