// Package timeline records the events of one daemon with their causes, and merges
// the records of many daemons into one order.
//
// Decisions are in event.go (events and queries), shards.go (sets of shards),
// clock.go (hybrid logical clock), configuration.go (events that follow from a
// new configuration), cells.go (events that follow from a new cell table, lease
// or coordinator), ring.go (bounded store), refusals.go (counts of refused
// requests) and merge.go (order over many daemons). The task in task_recorder.go
// owns the clock, the ring and the counts.
package timeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Kind is the type of an event. Kinds are sent between daemons, and operators
// search for their texts, so the texts must not change.
type Kind string

// The kinds of events.
const (
	Started              Kind = "started"               // a daemon began to serve
	LeaderElected        Kind = "leader elected"        // a registry voter became leader
	LeaderLost           Kind = "leader lost"           // a registry leader stepped down
	ConfigurationChanged Kind = "configuration changed" // a configuration came into force at this daemon
	VoterChanged         Kind = "voter changed"         // the registry's members changed
	CoordinatorElected   Kind = "coordinator elected"   // a member became its cell's coordinator
	CoordinatorLost      Kind = "coordinator lost"      // a member is no longer its cell's coordinator
	MemberLeaseLost      Kind = "member lease lost"     // this daemon's lease expired: it must not dispatch
	MemberLeaseHeld      Kind = "member lease held"     // this daemon may dispatch again
	HomeMoved            Kind = "home moved"            // a shard's home is another cell
	ShardGranted         Kind = "shard granted"         // a target owns a shard
	ShardReleased        Kind = "shard released"        // a target released a shard, or its grant expired
	TargetJoined         Kind = "target joined"         // a target announced itself
	TargetLost           Kind = "target lost"           // a target's heartbeats stopped
	TargetDraining       Kind = "target draining"       // a target accepts no new requests
	TargetEjected        Kind = "target ejected"        // a target gets no requests for some time
	TargetCold           Kind = "target cold"           // a target's request limit was lowered for a cold start
	TargetWarm           Kind = "target warm"           // a target's request limit is back at its full value
	DispatcherMoved      Kind = "dispatcher moved"      // another member of the cell now sends requests to a target
	RefusedInBulk        Kind = "refused in bulk"       // many requests were refused for the same reason
	TaskRestarted        Kind = "task restarted"        // a supervisor restarted a failed task
	DataCentreChanged    Kind = "data centre changed"   // a data centre's status changed
	CallerKeyWithdrawn   Kind = "caller key withdrawn"  // a caller key is no longer accepted at this daemon
)

// Event is one event at one daemon. Fields that do not apply are zero. Ref
// identifies the event and Cause is the Ref of the event that caused it. Both are
// texts such as "version 17", which every daemon derives alike without
// coordination.
type Event struct {
	VM    core.VM // set by the recorder
	Seq   uint64  // position among its daemon's events; set by the recorder
	Stamp Stamp   // set by the recorder

	Kind       Kind
	DataCentre core.DataCentre
	Cell       core.Cell
	Service    core.Service
	Shards     ShardSet // shards of Service
	Target     core.TargetID
	Workspace  core.Workspace
	Version    core.Version
	Fence      core.Fence
	Code       result.Code
	Count      uint64 // shards or requests, for kinds that summarise several
	Ref        string
	Cause      string
	Detail     string
}

// Record stores one event without blocking. Other packages receive it from the
// daemon, so that they need not know the Recorder.
type Record func(Event)

// Discard is a Record that drops every event.
func Discard(Event) {}

// VersionRef returns the Ref of the event that put configuration v into force.
func VersionRef(v core.Version) string { return fmt.Sprintf("version %d", v) }

// CoordinatorRef returns the Ref of the election of the coordinator of cell c that
// writes tables with the epoch and ballot of f.
func CoordinatorRef(c core.Cell, f core.Fence) string {
	return fmt.Sprintf("coordinator %s %d.%d", c, f.Epoch, f.Ballot)
}

// TargetRef returns the Ref of the events that concern incarnation i of a target.
func TargetRef(id core.TargetID, i core.Incarnation) string {
	return fmt.Sprintf("target %s#%d", id, i)
}

// Query selects events. A zero field does not restrict the selection.
type Query struct {
	From, To   time.Time // by the wall time of the stamp; To is excluded
	Target     core.TargetID
	DataCentre core.DataCentre
	Service    core.Service
	Shard      *core.Shard // shard of Service
	Limit      int         // select only this many of the newest events; 0: no limit
	Refs       []string    // if not empty, select the events with these Refs and ignore the fields above but Limit
}

// Matches reports whether q selects e, regardless of Limit. The data centre of an
// event that concerns no other is that of its daemon, as set by the recorder.
func (q Query) Matches(e Event) bool {
	if len(q.Refs) > 0 {
		return e.Ref != "" && slices.Contains(q.Refs, e.Ref)
	}
	at := e.Stamp.Time()
	switch {
	case !q.From.IsZero() && at.Before(q.From), !q.To.IsZero() && !at.Before(q.To):
		return false
	case q.Target != "" && q.Target != e.Target:
		return false
	case q.DataCentre != "" && q.DataCentre != e.DataCentre:
		return false
	case q.Service != "" && q.Service != e.Service:
		return false
	case q.Shard != nil && !e.Shards.Contains(*q.Shard):
		return false
	}
	return true
}
