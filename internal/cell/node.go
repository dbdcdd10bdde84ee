package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Node is the protocol state machine of one member; it does no I/O and reads no
// clock. Its methods take the current time and return the calls to send. The
// caller passes each call to the other member's HandleCall, and the answer to this
// member's HandleAnswer.
type Node struct {
	self       lease.Holder
	cell       core.Cell
	timing     Timing
	state      *config.State
	electorate lease.Electorate

	acceptor    *lease.Acceptor
	elector     *lease.Elector
	member      *member
	coordinator *coordinator // nil unless this member holds the cell's lease
}

// NewNode returns the node of a process that started at now. session is a random
// number that distinguishes this run from other runs of the same VM. floor is the
// round at which its ballots begin.
func NewNode(self core.VM, session, floor uint64, cell core.Cell, t Timing, now time.Time) *Node {
	h := lease.Holder{VM: self, Session: session}
	return &Node{
		self: h, cell: cell, timing: t, state: config.NewState(),
		acceptor: lease.NewAcceptor(now, t.Election.TTL+t.Election.ClockMargin),
		elector:  lease.NewElector(h, t.Election, floor, now),
		member:   newMember(session, t.MemberTTL, cell),
	}
}

// Table returns the newest table in force.
func (n *Node) Table() *Table { return n.member.inForce }

// Lease returns this member's lease, its permission to dispatch. The member lease
// of a coordinator ends with its coordinator lease, so that its successor need
// not wait for it.
func (n *Node) Lease() Lease { return n.member.lease }

// Coordinator returns the member that holds the coordinator lease by this
// member's vote, and whether that lease is live.
func (n *Node) Coordinator(now time.Time) (core.VM, bool) {
	h, live := n.acceptor.Holder(now)
	return h.VM, live
}

// IsCoordinator reports whether this member holds the coordinator lease and has
// recovered the cell's table.
func (n *Node) IsCoordinator(now time.Time) bool {
	_, held := n.elector.Held(now)
	return held && n.coordinator != nil && n.coordinator.table != nil
}

// CoordinatorLease is the coordinator lease of a member. At most one member of a
// cell holds it at any time.
type CoordinatorLease struct {
	Number lease.Number
	Until  time.Time // by this member's clock; zero: this member does not hold the lease
}

// CoordinatorLease returns this member's coordinator lease at now.
func (n *Node) CoordinatorLease(now time.Time) CoordinatorLease {
	number, held := n.elector.Held(now)
	if !held {
		return CoordinatorLease{}
	}
	return CoordinatorLease{Number: number, Until: n.elector.Until()}
}

// SetConfig sets the configuration in force.
func (n *Node) SetConfig(s *config.State, now time.Time) []Send {
	n.state = s
	c := s.Cells[n.cell]
	n.electorate = lease.Electorate{Epoch: c.Epoch, Members: c.Members, Previous: c.Previous}
	n.elector.SetElectorate(n.electorate)
	if n.coordinator != nil {
		n.coordinator.dirty = true
	}
	return n.Tick(now)
}

// SetTargets sets the targets that announce themselves to this member.
func (n *Node) SetTargets(targets map[core.TargetID]core.Target, now time.Time) []Send {
	if !n.member.targetLog.set(targets) {
		return nil
	}
	return n.report(now)
}

// SetFacts sets what this member has proved about the shards and targets that it
// dispatches.
func (n *Node) SetFacts(f Facts, now time.Time) []Send {
	if n.member.facts.Equal(f) {
		return nil
	}
	n.member.facts = f
	return n.report(now)
}

// Pin enters a pin in the next version of the table. It is in force once Table
// contains it. Only the coordinator accepts pins.
func (n *Node) Pin(p Pin, now time.Time) ([]Send, error) {
	if n.coordinator == nil || n.coordinator.table == nil {
		return nil, result.New(result.NoLeader, "VM %s does not coordinate cell %s", n.self.VM, n.cell)
	}
	n.coordinator.pins = append(n.coordinator.pins, p)
	n.coordinator.dirty = true
	return n.Tick(now), nil
}

// Tick does the work that is due at now: elections, heartbeats and the next
// version of the table.
func (n *Node) Tick(now time.Time) []Send {
	h, live := n.acceptor.Holder(now)
	out := n.deliverElection(n.elector.Tick(now, live && h != n.self), now)
	out = append(out, n.updateRole(now)...)
	n.observeTargetFences()
	if c := n.coordinator; c != nil && c.plan(n.state, n.electorate.Members, now) {
		out = append(out, n.sendHeartbeats(now)...)
	}
	return out
}

// observeTargetFences makes the coordinator choose a lease number above that of
// any fence that a target has seen. Targets can have seen a newer one if all
// members of the cell restarted and lost their ballots.
func (n *Node) observeTargetFences() {
	if n.coordinator == nil {
		return
	}
	for _, p := range n.coordinator.peers {
		f := p.facts.FenceSeen
		seen := lease.Number{Epoch: f.Epoch, Ballot: f.Ballot}
		if n.coordinator.number.Less(seen) {
			n.elector.Observe(seen)
		}
	}
}

// updateRole starts or ends this member's coordination when it gains or loses the
// coordinator lease, and otherwise renews its own member lease.
func (n *Node) updateRole(now time.Time) []Send {
	number, held := n.elector.Held(now)
	switch {
	case !held:
		n.coordinator = nil
	case n.coordinator == nil || n.coordinator.number != number:
		n.coordinator = newCoordinator(n.self.VM, number, n.timing, now)
		// From now on this member's own lease ends with the coordinator lease.
		n.member.lease.Until = earlier(n.member.lease.Until, n.elector.Until())
		return n.sendHeartbeats(now)
	default:
		n.renewOwnLease()
	}
	return nil
}

// renewOwnLease extends the coordinator's own member lease once a table of its
// own is in force.
func (n *Node) renewOwnLease() {
	c := n.coordinator
	if c.table == nil || n.member.inForce.Fence.Less(c.firstFence) {
		return
	}
	n.member.lease = Lease{Fence: c.firstFence, Until: n.elector.Until()}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sendHeartbeats sends heartbeats now instead of at the next interval.
func (n *Node) sendHeartbeats(now time.Time) []Send {
	return n.deliverElection(n.elector.Extend(now), now)
}

// deliverElection turns the elector's messages into calls. It handles those to
// this member itself at once and returns the others.
func (n *Node) deliverElection(messages []lease.Send, now time.Time) []Send {
	var out []Send
	for _, m := range messages {
		var call Call
		if m.Prepare != nil {
			call = Prepare{*m.Prepare}
		} else {
			call = n.heartbeat(m.To, *m.Propose)
		}
		if m.To != n.self.VM {
			out = append(out, Send{To: m.To, Call: call})
			continue
		}
		if a, ok := n.HandleCall(n.self.VM, call, now); ok {
			out = append(out, n.HandleAnswer(n.self.VM, a, now)...)
		}
	}
	return out
}

func (n *Node) heartbeat(to core.VM, p lease.Propose) Heartbeat {
	h := Heartbeat{Propose: p}
	c := n.coordinator
	if c == nil || c.number != p.Number {
		return h
	}
	h.AckedVersion = c.peer(to).ackedVersion
	if c.table != nil {
		h.Echo, h.InForce, h.Delta = c.echo(to), c.inForce, c.delta(to)
	}
	return h
}

// report sends this member's status to its coordinator ahead of the next
// heartbeat.
func (n *Node) report(now time.Time) []Send {
	to, live := n.Coordinator(now)
	if !live {
		return nil
	}
	if to == n.self.VM {
		if n.coordinator == nil {
			return nil
		}
		n.coordinator.receiveStatus(n.self.VM, n.member.status(n.coordinator.peer(to).ackedVersion, now), now)
		return n.Tick(now)
	}
	return []Send{{To: to, Call: Report{n.member.status(n.member.ackedVersion, now)}}}
}
