// Package timeline records what one daemon did and why, and puts the records of
// many daemons into one order. Decisions: event.go (events and queries), shards.go
// (sets of shards),
// clock.go (hybrid logical clock), configuration.go
// (what a new configuration changes), cells.go (what a new table, lease or leader
// changes), ring.go (bounded store), refusals.go (bulk
// refusals), merge.go (one order over many daemons). Task: task_recorder.go,
// which owns the clock, the ring and the counts.
package timeline

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Kind says what happened.
type Kind string

// The kinds of events.
const (
	Started              Kind = "started"               // a daemon began to serve
	LeaderElected        Kind = "leader elected"        // a registry leader took office
	LeaderLost           Kind = "leader lost"           // a registry leader stepped down
	ConfigurationChanged Kind = "configuration changed" // a configuration came into force here
	VoterChanged         Kind = "voter changed"         // the registry's members changed
	CoordinatorElected   Kind = "coordinator elected"   // a cell's coordinator took its lease
	CoordinatorLost      Kind = "coordinator lost"      // a cell's coordinator lost its lease
	MemberLeaseLost      Kind = "member lease lost"     // this daemon may no longer dispatch
	MemberLeaseHeld      Kind = "member lease held"     // this daemon may dispatch again
	HomeMoved            Kind = "home moved"            // a shard's home is another cell
	ShardGranted         Kind = "shard granted"         // a target owns a shard
	ShardReleased        Kind = "shard released"        // a target gave a shard back, or its grant ran out
	TargetJoined         Kind = "target joined"         // a target announced itself
	TargetLost           Kind = "target lost"           // a target fell silent
	TargetDraining       Kind = "target draining"       // a target takes no new work
	TargetEjected        Kind = "target ejected"        // a target gets no work for a while
	TargetCold           Kind = "target cold"           // a target's limit fell for a cold start
	TargetWarm           Kind = "target warm"           // a target's limit is whole again
	DispatcherMoved      Kind = "dispatcher moved"      // another member sends to a target
	RefusedInBulk        Kind = "refused in bulk"       // many requests were refused for one reason
	TaskRestarted        Kind = "task restarted"        // a supervisor started a failed task again
	DataCentreChanged    Kind = "data centre changed"   // a data centre's status changed
	CallerKeyWithdrawn   Kind = "caller key withdrawn"  // a caller key stopped working here
)

// Event is one thing that happened in one daemon. Fields that do not apply are
// zero. An event names itself by Ref and what brought it about by Cause; both
// are names such as "version 17" that need no coordination between daemons.
type Event struct {
	VM    core.VM // set by the recorder
	Seq   uint64  // position in its daemon's record; set by the recorder
	Stamp Stamp   // set by the recorder

	Kind       Kind
	DataCentre core.DataCentre
	Cell       core.Cell
	Service    core.Service
	Shards     ShardSet // of Service
	Target     core.TargetID
	Workspace  core.Workspace
	Version    core.Version
	Fence      core.Fence
	Code       result.Code
	Count      uint64 // how many, for kinds that stand for many
	Ref        string
	Cause      string
	Detail     string
}

// Record takes one event without waiting. Concerns get it from the assembly.
type Record func(Event)

// Discard is the Record of a concern whose events nobody wants.
func Discard(Event) {}

// VersionRef is the Ref of the event that put a configuration into force.
func VersionRef(v core.Version) string { return fmt.Sprintf("version %d", v) }

// CoordinatorRef is the Ref of a coordinator's election.
func CoordinatorRef(c core.Cell, f core.Fence) string {
	return fmt.Sprintf("coordinator %s %d.%d", c, f.Epoch, f.Ballot)
}

// TargetRef is the Ref of what befell one incarnation of a target.
func TargetRef(id core.TargetID, i core.Incarnation) string {
	return fmt.Sprintf("target %s#%d", id, i)
}

// Query selects events. Zero fields select all.
type Query struct {
	From, To   time.Time // by the events' wall clocks; To is excluded
	Target     core.TargetID
	DataCentre core.DataCentre
	Service    core.Service
	Shard      *core.Shard // of Service
	Limit      int         // newest events kept; 0: all that are held
	Refs       []string    // instead of all above: the events of these names
}

// Matches reports whether e is selected. An event that names no data centre is
// that of its daemon, which the recorder fills in.
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
