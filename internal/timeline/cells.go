package timeline

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TableEvents returns what changed between two versions of a cell's table. Only
// the coordinator that wrote next records them, so that each stands in the time
// line once.
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

func targetEvents(prev, next *cell.Table, coordinator string) []Event {
	var events []Event
	for _, id := range slices.Sorted(maps.Keys(next.Targets)) {
		now := next.Targets[id]
		old, known := prev.Targets[id]
		e := Event{
			Service: now.Target.Service, Target: id, DataCentre: now.Target.DataCentre,
			Ref: TargetRef(id, now.Target.Incarnation), Cause: coordinator,
		}
		if !known || old.Target.Incarnation != now.Target.Incarnation {
			joined := e
			joined.Kind, joined.Cause = TargetJoined, ""
			joined.Detail = fmt.Sprintf("incarnation %d at %s", now.Target.Incarnation, now.Target.Address)
			events = append(events, joined)
		}
		if now.Target.Draining && !old.Target.Draining {
			draining := e
			draining.Kind, draining.Ref, draining.Cause = TargetDraining, "drain of "+string(id), e.Ref
			events = append(events, draining)
		}
		if known && old.Dispatcher != now.Dispatcher {
			moved := e
			moved.Kind, moved.Ref = DispatcherMoved, ""
			moved.Detail = fmt.Sprintf("from %s to %s", old.Dispatcher, now.Dispatcher)
			events = append(events, moved)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(prev.Targets)) {
		if _, there := next.Targets[id]; !there {
			old := prev.Targets[id].Target
			events = append(events, Event{
				Kind: TargetLost, Service: old.Service, Target: id, DataCentre: old.DataCentre,
				Ref: "loss of " + TargetRef(id, old.Incarnation), Cause: TargetRef(id, old.Incarnation),
			})
		}
	}
	return events
}

// shardMove is a number of shards that changed alike.
type shardMove struct {
	kind   Kind
	target core.TargetID
}

// shardEvents returns one event for each target that gained or lost shards.
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
		was, is := assignmentOf(prev, service, shard), assignmentOf(next, service, shard)
		if was.Target != "" && was.Target != is.Target {
			add(shardMove{ShardReleased, was.Target}, shard, was.Fence)
		}
		if is.Target != "" && (was.Target != is.Target || was.Fence != is.Fence) {
			add(shardMove{ShardGranted, is.Target}, shard, is.Fence)
		}
	}
	keys := slices.SortedFunc(maps.Keys(moves), func(a, b shardMove) int {
		// A shard is released before it is granted again.
		return cmp.Or(-cmp.Compare(a.kind, b.kind), cmp.Compare(a.target, b.target))
	})
	events := make([]Event, 0, len(keys))
	for _, k := range keys {
		events = append(events, Event{
			Kind: k.kind, Service: service, Target: k.target, Shards: shardSetAround(moves[k]), Count: uint64(len(moves[k])),
			Fence: fences[k], Cause: whyMoved(prev, next, k, coordinator),
		})
	}
	return events
}

// whyMoved names the target's own event that explains the move, else the
// coordinator that decided it.
func whyMoved(prev, next *cell.Table, m shardMove, coordinator string) string {
	old, had := prev.Targets[m.target]
	now, has := next.Targets[m.target]
	switch {
	case m.kind == ShardReleased && had && !has:
		return "loss of " + TargetRef(m.target, old.Target.Incarnation)
	case m.kind == ShardReleased && now.Target.Draining:
		return "drain of " + string(m.target)
	case m.kind == ShardGranted && has && !had:
		return TargetRef(m.target, now.Target.Incarnation)
	default:
		return coordinator
	}
}

func assignmentOf(t *cell.Table, service core.Service, shard core.Shard) cell.Assignment {
	if shards := t.Shards[service]; int(shard) < len(shards) {
		return shards[shard]
	}
	return cell.Assignment{}
}

// Observation is what a daemon sees of its own leases.
type Observation struct {
	Cell        core.Cell
	Fence       core.Fence // of the table in force
	LeaseLive   bool
	Coordinator core.VM // empty: none known
}

// ObservationEvents returns what changed between two observations of daemon vm.
// An election is recorded by the one that won it.
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
