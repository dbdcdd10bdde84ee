package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Node is everything that one member decides. Its methods take the time and
// return the calls that follow; each call is delivered to another member's
// Answer, and what that returns to this member's Answered.
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

// NewNode returns the member of a process that started at now. Session is
// random and tells this run from others of the same VM; its ballots begin at
// the round floor.
func NewNode(self core.VM, session, floor uint64, cell core.Cell, t Timing, now time.Time) *Node {
	h := lease.Holder{VM: self, Session: session}
	return &Node{
		self: h, cell: cell, timing: t, state: config.NewState(),
		acceptor: lease.NewAcceptor(now, t.Election.TTL+t.Election.ClockMargin),
		elector:  lease.NewElector(h, t.Election, floor, now),
		member:   newMember(session, t.MemberTTL, cell),
	}
}

// Table is the newest table in force.
func (n *Node) Table() *Table { return n.member.inForce }

// Lease is this member's permission to dispatch. A coordinator's ends with its
// coordinator lease, so that its successor need not wait for it.
func (n *Node) Lease() Lease { return n.member.lease }

// Coordinator returns the member whose coordinator lease this one has voted for.
func (n *Node) Coordinator(now time.Time) (core.VM, bool) {
	h, live := n.acceptor.Holder(now)
	return h.VM, live
}

// Coordinating reports whether this member holds the cell's lease and has
// taken over its table.
func (n *Node) Coordinating(now time.Time) bool {
	_, held := n.elector.Held(now)
	return held && n.coordinator != nil && n.coordinator.table != nil
}

// Tenure is a member's coordination of its cell. Tenures of one cell never
// overlap.
type Tenure struct {
	Number lease.Number
	Until  time.Time // by this member's clock; zero: it does not coordinate
}

// Tenure is this member's coordination at now.
func (n *Node) Tenure(now time.Time) Tenure {
	number, held := n.elector.Held(now)
	if !held {
		return Tenure{}
	}
	return Tenure{Number: number, Until: n.elector.Until()}
}

// SetConfig takes the configuration in force.
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

// SetTargets takes the targets that announce themselves here.
func (n *Node) SetTargets(targets map[core.TargetID]core.Target, now time.Time) []Send {
	if !n.member.news.set(targets) {
		return nil
	}
	return n.report(now)
}

// SetFacts takes what this member has proved about what it dispatches.
func (n *Node) SetFacts(f Facts, now time.Time) []Send {
	if n.member.facts.Equal(f) {
		return nil
	}
	n.member.facts = f
	return n.report(now)
}

// Pin enters an operator's choice. Its version is in force once Table shows
// it; only the coordinator takes it.
func (n *Node) Pin(p Pin, now time.Time) ([]Send, error) {
	if n.coordinator == nil || n.coordinator.table == nil {
		return nil, result.New(result.NoLeader, "VM %s does not coordinate cell %s", n.self.VM, n.cell)
	}
	n.coordinator.pins = append(n.coordinator.pins, p)
	n.coordinator.dirty = true
	return n.Tick(now), nil
}

// Tick does what is due.
func (n *Node) Tick(now time.Time) []Send {
	h, live := n.acceptor.Holder(now)
	out := n.elect(n.elector.Tick(now, live && h != n.self), now)
	out = append(out, n.follow(now)...)
	n.outgrow()
	if c := n.coordinator; c != nil && c.plan(n.state, n.electorate.Members, now) {
		out = append(out, n.extend(now)...)
	}
	return out
}

// outgrow makes the coordinator choose a number above any that a target has
// seen, which can be newer after the whole cell lost its memory.
func (n *Node) outgrow() {
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

// follow begins and ends coordination with the lease.
func (n *Node) follow(now time.Time) []Send {
	number, held := n.elector.Held(now)
	switch {
	case !held:
		n.coordinator = nil
	case n.coordinator == nil || n.coordinator.number != number:
		n.coordinator = newCoordinator(n.self.VM, number, n.timing, now)
		// From here on the own member lease ends with the coordinator lease.
		n.member.lease.Until = earlier(n.member.lease.Until, n.elector.Until())
		return n.extend(now)
	default:
		n.leaseSelf()
	}
	return nil
}

// leaseSelf extends the coordinator's own member lease under a table in force.
func (n *Node) leaseSelf() {
	c := n.coordinator
	if c.table == nil || n.member.inForce.Fence.Less(c.first) {
		return
	}
	n.member.lease = Lease{Fence: c.first, Until: n.elector.Until()}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// extend sends heartbeats ahead of their time.
func (n *Node) extend(now time.Time) []Send { return n.elect(n.elector.Extend(now), now) }

// elect turns the elector's messages into calls, and delivers those to this
// member itself.
func (n *Node) elect(messages []lease.Send, now time.Time) []Send {
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
		if a, ok := n.Answer(n.self.VM, call, now); ok {
			out = append(out, n.Answered(n.self.VM, a, now)...)
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
	h.NewsSeen = c.peer(to).newsSeen
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
		n.coordinator.hear(n.self.VM, n.member.status(n.coordinator.peer(to).newsSeen, now), now)
		return n.Tick(now)
	}
	return []Send{{To: to, Call: Report{n.member.status(n.member.newsSeen, now)}}}
}
