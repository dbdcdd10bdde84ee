package slopes

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/spread"
)

const (
	cellMembers = 15
	routeCount  = 100_000
)

// Cells measures how the decisions of one cell scale with its shards and targets:
// the size of its table, the time of a plan without changes and of one after the
// loss of a target, the entries sent for that loss, and the time to route a
// request.
func Cells(_ context.Context, w io.Writer) error {
	t := newTable(w, "shards", "targets", "table bytes", "plan without change", "plan after a loss", "entries sent", "one route")
	for _, size := range []struct{ shards, targets int }{
		{256, 18}, {2185, 18}, {17_480, 18}, {2185, 320}, {2185, 1280}, {17_480, 1280},
	} {
		if err := cellsRow(t, size.shards, size.targets); err != nil {
			return err
		}
	}
	return t.Flush()
}

func cellsRow(t io.Writer, shards, targets int) error {
	state, err := buildState(1, cellMembers, 8, 4, shards)
	if err != nil {
		return err
	}
	in := cell.Inputs{
		State: state, Fence: core.Fence{Epoch: 1, Ballot: 1, Counter: 1}, Targets: map[core.TargetID]core.Target{},
		Members: state.Cells["cell-0"].Members, MayPlace: true,
	}
	for i := range targets {
		id := core.TargetID("target-" + strconv.Itoa(i))
		in.Targets[id] = core.Target{ID: id, Service: "archivio", Address: fmt.Sprintf("10.0.%d.%d:80", i/256, i%256), Incarnation: 1, Slots: 6}
	}
	before := heapBytes()
	table := cell.NewTable("cell-0")
	for range 3 {
		in.Fence.Counter++
		table = cell.Plan(table, in)
	}
	bytes := heapBytes() - before
	in.Fence.Counter++
	same := timed(func() { cell.Plan(table, in) })
	delete(in.Targets, "target-1")
	var next *cell.Table
	lost := timed(func() { next = cell.Plan(table, in) })
	delta := cell.Diff(table, next)
	row(t, shards, targets, bytes, same, lost, len(delta.Targets)+len(delta.RemovedTargets)+len(delta.Shards), routeTime(state, table, uint32(shards)))
	runtime.KeepAlive(table)
	return nil
}

// routeTime returns the mean time of one routing decision, in nanoseconds.
func routeTime(state *config.State, table *cell.Table, shards uint32) string {
	input := routing.Input{Self: "vm-0-1", State: state, Table: table, View: spread.NewView().WithTable(table), Now: time.Now()}
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = "key-" + strconv.Itoa(i)
	}
	took := timed(func() {
		for i := range routeCount {
			r := exchange.Request{Service: "archivio", Key: keys[i%len(keys)]}
			r.Shard = routing.Shard(r.Key, shards)
			_, _ = routing.Route(input, &r)
		}
	})
	return fmt.Sprintf("%d ns", took.Nanoseconds()/routeCount)
}
