package timeline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TableEvents returns the events that follow from the differences between two
// versions of a cell's table. Only the coordinator that wrote next records them,
// so that each appears in the time line once.
func TableEvents(prev, next *cell.Table) []Event {
	coordinator := CoordinatorRef(next.Cell, next.Fence)
	events := targetEvents(prev, next, coordinator)
	for _, service := range slices.Sorted(maps.Keys(next.Shards)) {
		events = append(events, shardEvents(prev, next, service, coordinator)...)
	}
	for i := range events {
		events[i].Cell = next.Cell
	}
	return events
}

// targetEvents returns the events for targets that joined, began to drain,
// changed their dispatcher or were lost.
func targetEvents(prev, next *cell.Table, coordinator string) []Event {
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(next.Targets)) {
		current := next.Targets[id]
		old, known := prev.Targets[id]
		e := Event{
			Service: current.Target.Service, Target: id, DataCentre: current.Target.DataCentre,
			Ref: TargetRef(id, current.Target.Incarnation), Cause: coordinator,
		}
		if !known || old.Target.Incarnation != current.Target.Incarnation {
			joined := e
			joined.Kind, joined.Cause = TargetJoined, ""
			joined.Detail = fmt.Sprintf("incarnation %d at %s", current.Target.Incarnation, current.Target.Address)
			events = append(events, joined)
		}
		if current.Target.Draining && !old.Target.Draining {
			draining := e
			draining.Kind, draining.Ref, draining.Cause = TargetDraining, "drain of "+string(id), e.Ref
			events = append(events, draining)
		}
		if known && old.Dispatcher != current.Dispatcher {
			dispatcherMoved := e
			dispatcherMoved.Kind, dispatcherMoved.Ref = DispatcherMoved, ""
			dispatcherMoved.Detail = fmt.Sprintf("from %s to %s", old.Dispatcher, current.Dispatcher)
			events = append(events, dispatcherMoved)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(prev.Targets)) {
		if _, ok := next.Targets[id]; !ok {
			old := prev.Targets[id].Target
			events = append(events, Event{
				Kind: TargetLost, Service: old.Service, Target: id, DataCentre: old.DataCentre,
				Ref: "loss of " + TargetRef(id, old.Incarnation), Cause: TargetRef(id, old.Incarnation),
			})
		}
	}
	return events
}

// shardMove groups the shards of one service that one target gained or lost.
type shardMove struct {
	kind   Kind
	target core.TargetID
}

// shardEvents returns, for each target, one event for all shards of the service
// that it gained and one for all that it lost.
func shardEvents(prev, next *cell.Table, service core.Service, coordinator string) []Event {
	moves := map[shardMove][]core.Shard{}
	fences := map[shardMove]core.Fence{}
	add := func(m shardMove, shard core.Shard, f core.Fence) {
		moves[m] = append(moves[m], shard)
		if fences[m].Less(f) {
			fences[m] = f
		}
	}
	for shard := range core.Shard(max(len(prev.Shards[service]), len(next.Shards[service]))) {
		before, after := assignmentOf(prev, service, shard), assignmentOf(next, service, shard)
		if before.Target != "" && before.Target != after.Target {
			add(shardMove{ShardReleased, before.Target}, shard, before.Fence)
		}
		if after.Target != "" && (before.Target != after.Target || before.Fence != after.Fence) {
			add(shardMove{ShardGranted, after.Target}, shard, after.Fence)
		}
	}
	keys := slices.SortedFunc(maps.Keys(moves), func(a, b shardMove) int {
		// ShardReleased sorts before ShardGranted, as a shard is released before
		// it is granted again.
		return cmp.Or(-cmp.Compare(a.kind, b.kind), cmp.Compare(a.target, b.target))
	})
	events := make([]Event, 0, len(keys))
	for _, k := range keys {
		events = append(events, Event{
			Kind: k.kind, Service: service, Target: k.target, Shards: shardSetAround(moves[k]), Count: uint64(len(moves[k])),
			Fence: fences[k], Cause: moveCause(prev, next, k, coordinator),
		})
	}
	return events
}

// moveCause returns the Ref of the target's event that explains the move (its
// loss, drain or joining), or otherwise that of the coordinator that decided it.
func moveCause(prev, next *cell.Table, m shardMove, coordinator string) string {
	old, had := prev.Targets[m.target]
	current, has := next.Targets[m.target]
	switch {
	case m.kind == ShardReleased && had && !has:
		return "loss of " + TargetRef(m.target, old.Target.Incarnation)
	case m.kind == ShardReleased && current.Target.Draining:
		return "drain of " + string(m.target)
	case m.kind == ShardGranted && has && !had:
		return TargetRef(m.target, current.Target.Incarnation)
	default:
		return coordinator
	}
}

// assignmentOf returns the assignment of a shard in t, zero if t has none.
func assignmentOf(t *cell.Table, service core.Service, shard core.Shard) cell.Assignment {
	if shards := t.Shards[service]; int(shard) < len(shards) {
		return shards[shard]
	}
	return cell.Assignment{}
}

// Observation is the state of a daemon's leases at one time.
type Observation struct {
	Cell        core.Cell
	Fence       core.Fence // of the table in force
	LeaseLive   bool
	Coordinator core.VM // empty if unknown
}

// ObservationEvents returns the events that follow from the differences between
// two observations of daemon vm. Only the daemon that won or lost the role of
// coordinator records that, so that it appears in the time line once.
func ObservationEvents(vm core.VM, prev, next Observation) []Event {
	var events []Event
	if prev.LeaseLive != next.LeaseLive {
		kind := MemberLeaseLost
		if next.LeaseLive {
			kind = MemberLeaseHeld
		}
		events = append(events, Event{Kind: kind, Cell: next.Cell, Cause: CoordinatorRef(next.Cell, next.Fence)})
	}
	if prev.Coordinator != next.Coordinator {
		if prev.Coordinator == vm {
			events = append(events, Event{Kind: CoordinatorLost, Cell: next.Cell, Cause: CoordinatorRef(next.Cell, prev.Fence)})
		}
		if next.Coordinator == vm {
			events = append(events, Event{Kind: CoordinatorElected, Cell: next.Cell, Fence: next.Fence, Ref: CoordinatorRef(next.Cell, next.Fence)})
		}
	}
	return events
}
