package timeline

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

func kinds(events []Event) []Kind {
	var out []Kind
	for _, e := range events {
		out = append(out, e.Kind)
	}
	return out
}

// TestTableEventsNameTheirCause checks that the release of a lost target's shards
// names the loss as its cause, and that a release precedes the grant that follows
// it.
func TestTableEventsNameTheirCause(t *testing.T) {
	is := is.New(t)
	first, second := core.Fence{Epoch: 1, Ballot: 2, Counter: 1}, core.Fence{Epoch: 1, Ballot: 2, Counter: 2}
	entry := func(id core.TargetID) cell.TargetEntry {
		return cell.TargetEntry{Target: core.Target{ID: id, Service: "archivio", Incarnation: 4}, Dispatcher: "vm-1"}
	}
	prev, next := cell.NewTable("padana-a"), cell.NewTable("padana-a")
	prev.Fence, next.Fence = first, second
	prev.Targets["t1"], prev.Targets["t2"] = entry("t1"), entry("t2")
	moved := entry("t2")
	moved.Dispatcher = "vm-2"
	next.Targets["t2"] = moved
	prev.Shards["archivio"] = []cell.Assignment{{Target: "t1", Fence: first}, {Target: "t2", Fence: first}, {Target: "t1", Fence: first}}
	next.Shards["archivio"] = []cell.Assignment{{Target: "t2", Fence: second}, {Target: "t2", Fence: first}, {}}
	events := TableEvents(prev, next)
	is.Equal(kinds(events), []Kind{DispatcherMoved, TargetLost, ShardReleased, ShardGranted})
	is.Equal(events[2].Cause, events[1].Ref)
	is.Equal(events[2].Count, uint64(2))
	is.Equal(events[2].Shards, ShardSet("0,2"))
	is.Equal(events[3].Target, core.TargetID("t2"))
	is.Equal(events[3].Fence, second)
	is.Equal(len(TableEvents(next, next)), 0)
	is.Equal(kinds(TableEvents(cell.NewTable("padana-a"), prev)), []Kind{TargetJoined, TargetJoined, ShardGranted, ShardGranted})
}

// TestElectionsAreRecordedByTheWinner checks that only the winner of an election
// records it, so that it appears in the time line once, and that only the member
// that was coordinator records the end of its role.
func TestElectionsAreRecordedByTheWinner(t *testing.T) {
	is := is.New(t)
	before := Observation{Cell: "padana-a", LeaseLive: true, Coordinator: "vm-1"}
	after := Observation{Cell: "padana-a", Coordinator: "vm-2"}
	is.Equal(kinds(ObservationEvents("vm-1", before, after)), []Kind{MemberLeaseLost, CoordinatorLost})
	is.Equal(kinds(ObservationEvents("vm-2", before, after)), []Kind{MemberLeaseLost, CoordinatorElected})
	is.Equal(kinds(ObservationEvents("vm-3", before, after)), []Kind{MemberLeaseLost})
	is.Equal(len(ObservationEvents("vm-1", after, after)), 0)
}
