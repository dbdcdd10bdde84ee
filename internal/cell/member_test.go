package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

// version returns a copy of base with the given counter in its fence, and the
// heartbeat that delivers it.
func version(base *Table, counter uint64) (*Table, Heartbeat) {
	next := base.clone()
	next.Fence = core.Fence{Epoch: 1, Ballot: 1, Counter: counter}
	return next, Heartbeat{Delta: Diff(base, next)}
}

// TestMemberActsOnTablesInForceOnly checks that a version is not used before a
// majority is known to hold it: a later coordinator might never learn of it.
func TestMemberActsOnTablesInForceOnly(t *testing.T) {
	is := is.New(t)
	m := newMember(1, time.Second, "c")
	first, h := version(m.held, 1)
	m.receive(h)
	is.Equal(m.held.Fence, first.Fence)
	is.True(m.inForce.Fence.IsZero())
	second, h := version(first, 2)
	h.InForce = first.Fence
	m.receive(h)
	is.Equal(m.held.Fence, second.Fence)
	is.Equal(m.inForce.Fence, first.Fence)
}

// TestLeaseNeedsANewEnoughTable checks that a member that becomes reachable again
// with a table from before its targets were moved gets no lease under that table.
func TestLeaseNeedsANewEnoughTable(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	m := newMember(1, time.Second, "c")
	first, h := version(m.held, 1)
	h.InForce = first.Fence
	m.receive(h)
	s := m.status(0, now)
	moved := core.Fence{Epoch: 1, Ballot: 1, Counter: 2}
	m.receive(Heartbeat{InForce: moved, Echo: Echo{Session: 1, Seq: s.Seq, Fence: moved}})
	is.True(!m.lease.Live(now))
	m.receive(Heartbeat{Echo: Echo{Session: 2, Seq: s.Seq, Fence: first.Fence}})
	is.True(!m.lease.Live(now)) // granted to another run of this VM
	m.receive(Heartbeat{Echo: Echo{Session: 1, Seq: s.Seq, Fence: first.Fence}})
	is.Equal(m.lease.Until, now.Add(time.Second)) // counted from when the status was sent
}

// TestUnreportedMemberMayStillHoldALease checks that a new coordinator assumes that a
// member which has not reported yet holds a lease, granted by the previous
// coordinator just before its own lease ended.
func TestUnreportedMemberMayStillHoldALease(t *testing.T) {
	is := is.New(t)
	timing, elected := DefaultTiming(), time.Unix(0, 0)
	c := newCoordinator("x", lease.Number{Epoch: 1, Ballot: 1}, timing, elected)
	is.True(!c.leaseExpired("y", elected.Add(timing.MemberTTL)))
	is.True(c.leaseExpired("y", elected.Add(timing.MemberTTL+timing.Margin)))
}
