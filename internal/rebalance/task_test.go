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

// fakeCell is a cell of two daemons in which a pin takes effect at once.
type fakeCell struct {
	table       task.Snapshot[cell.Table]
	coordinator core.VM
	self        core.VM
	pins        chan cell.Pin
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
	f.pins <- p
	return nil
}

// directPeers carries reports to the coordinator's task.
type directPeers struct{ coordinator task.Snapshot[Task] }

func (d directPeers) ReportLoad(_ context.Context, _ config.VM, from core.VM, r Report) error {
	return d.coordinator.Load().Reported(from, r)
}

// twoDaemons starts the tasks of coordinator a, which dispatches to t0, and of
// member b, which dispatches to t1.
func twoDaemons(ctx context.Context) (a, b *Task, pins chan cell.Pin) {
	table := cell.NewTable("c")
	table.Targets["t0"] = cell.TargetEntry{Target: core.Target{ID: "t0", Service: "archivio"}, Dispatcher: "a"}
	table.Targets["t1"] = cell.TargetEntry{Target: core.Target{ID: "t1", Service: "archivio"}, Dispatcher: "b"}
	shared := task.NewSnapshot(table)
	pins = make(chan cell.Pin, 64)
	state := config.NewState()
	state.VMs["a"] = config.VM{Name: "a"}
	state.Services["archivio"] = config.Service{Name: "archivio", Keyed: true, Shards: 8}
	peers := directPeers{task.NewSnapshot[Task](nil)}
	start := func(self core.VM) *Task {
		t := NewTask(self, fakeCell{table: shared, coordinator: "a", self: self, pins: pins}, peers, func(Move) {})
		go func() { _ = t.Serve(ctx) }()
		t.ConfigChanged(state)
		return t
	}
	a, b = start("a"), start("b")
	peers.coordinator.Publish(a)
	return a, b, pins
}

// TestHotShardMovesAndIsUnpinned checks that a shard moves to the idle target when
// a member reports high load, and that its pin is removed once it has no load.
func TestHotShardMovesAndIsUnpinned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		a, b, pins := twoDaemons(ctx)
		for i := range uint64(3000) {
			shard := core.Shard(1 + 2*(i%4)) // shards 1, 3, 5 and 7 are on t1
			b.CountSent(Request{Service: "archivio", Target: "t1", Key: KeyID{shard, i}})
		}
		time.Sleep(2*reportPeriod + time.Second)
		move := <-pins
		is.Equal(move.Target, core.TargetID("t0"))
		is.Equal(move.Automatic, true)
		is.Equal(move.Key, false)
		time.Sleep(reportTTL)
		for len(pins) > 0 {
			<-pins
		}
		for range 4 { // other shards are evenly loaded; the moved one has no load
			for i := range uint64(1000) {
				a.CountSent(Request{Service: "archivio", Target: "t0", Key: KeyID{0, i}})
				b.CountSent(Request{Service: "archivio", Target: "t1", Key: KeyID{6, i}})
			}
			time.Sleep(reportPeriod)
		}
		withdrawn := <-pins
		is.Equal(withdrawn.Target, core.TargetID(""))
		cancel()
		synctest.Wait()
	})
}
