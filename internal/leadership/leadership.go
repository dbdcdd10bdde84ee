// Package leadership tells who leads the registry, and on the leader for how
// long that is certain. Decisions: leadership.go. Task: task.go, which asks the
// registry and publishes what follows.
package leadership

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// tenureLength is how long a leader that a majority has confirmed acts as the
	// only one.
	tenureLength = 600 * time.Millisecond
	// tenureMargin is for clocks of unequal rate, over one tenure.
	tenureMargin = 50 * time.Millisecond
)

// Status is what the registry's members say of its leader.
type Status struct {
	Leader core.VM // empty: unknown
	Term   uint64  // of the registry's log
}

// Tenure is the lead of the registry as one daemon knows it. Only the leader's
// own has From and Until; own tenures of different terms never overlap.
type Tenure struct {
	Leader core.VM
	Term   uint64
	From   time.Time
	Until  time.Time
}

// Live reports whether the daemon leads for certain at now.
func (t Tenure) Live(now time.Time) bool {
	return !now.Before(t.From) && now.Before(t.Until)
}

// keeper follows the leadership of one daemon.
//
// Invariant: a confirmation that was asked at a proves that no newer leader was
// elected before a. The own tenure ends tenureLength after a, by when a newer
// leader, elected at a or later, has not begun its own: it waits as long, and a
// margin, from its election on.
type keeper struct {
	self   core.VM
	tenure Tenure
}

// seen takes a status.
func (k *keeper) seen(s Status, now time.Time) {
	if s.Leader == k.tenure.Leader && s.Term == k.tenure.Term {
		return
	}
	k.tenure = Tenure{Leader: s.Leader, Term: s.Term}
	if s.Leader == k.self {
		k.tenure.From = now.Add(tenureLength + tenureMargin)
	}
}

// confirmed takes the proof, asked for at askedAt, that this daemon led in term.
func (k *keeper) confirmed(term uint64, askedAt time.Time) {
	if k.tenure.Leader == k.self && k.tenure.Term == term {
		k.tenure.Until = askedAt.Add(tenureLength)
	}
}
