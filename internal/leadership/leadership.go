// Package leadership tracks which VM leads the registry and grants the leader a
// lease, during which no other VM can act as leader. Decisions: leadership.go.
// Task: task.go, which polls the registry and publishes the result.
package leadership

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// leaseDuration is how long a leader may act as the only one after a
	// majority has confirmed it.
	leaseDuration = 600 * time.Millisecond
	// leaseMargin allows for clocks that run at different rates during one lease.
	leaseMargin = 50 * time.Millisecond
)

// Status is the leader of the registry, as its members report it.
type Status struct {
	Leader core.VM // empty: unknown
	Term   uint64  // of the registry's log
}

// Lease is one daemon's view of the registry's leader and, on the leader
// itself, its leader lease. From and Until are set only on the leader; the
// leases of different terms never overlap.
type Lease struct {
	Leader core.VM
	Term   uint64
	From   time.Time
	Until  time.Time
}

// Live reports whether this daemon holds the leader lease at now.
func (l Lease) Live(now time.Time) bool {
	return !now.Before(l.From) && now.Before(l.Until)
}

// leaseTracker tracks the leader and the leader lease for one daemon.
//
// Invariant: a confirmation requested at time a proves that no newer leader was
// elected before a. This daemon's lease ends leaseDuration after a. A newer
// leader was elected at a or later, and its lease begins leaseDuration plus
// leaseMargin after its election, so the two leases don't overlap.
type leaseTracker struct {
	self  core.VM
	lease Lease
}

// observe records the status that the registry reported at now.
func (l *leaseTracker) observe(s Status, now time.Time) {
	if s.Leader == l.lease.Leader && s.Term == l.lease.Term {
		return
	}
	l.lease = Lease{Leader: s.Leader, Term: s.Term}
	if s.Leader == l.self {
		l.lease.From = now.Add(leaseDuration + leaseMargin)
	}
}

// confirm extends the lease: a majority confirmed, in a request sent at
// requestedAt, that this daemon leads in term.
func (l *leaseTracker) confirm(term uint64, requestedAt time.Time) {
	if l.lease.Leader == l.self && l.lease.Term == term {
		l.lease.Until = requestedAt.Add(leaseDuration)
	}
}
