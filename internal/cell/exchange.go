package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// HandleCall handles a call of another member and returns the answer. It reports
// false when this member cannot answer the call.
func (n *Node) HandleCall(from core.VM, call Call, now time.Time) (Answer, bool) {
	switch call := call.(type) {
	case Prepare:
		if call.Number.Epoch < n.electorate.Epoch {
			return nil, false
		}
		p, ok := n.acceptor.Prepare(call.Prepare, now)
		return Promise{p}, ok
	case Heartbeat:
		return n.answerHeartbeat(call, now), true
	case Report:
		return n.answerReport(from, call, now)
	case Fetch:
		return FetchAnswer{Table: Diff(nil, n.member.held)}, true
	default:
		return nil, false
	}
}

// answerHeartbeat votes on the sender's coordinator lease and accepts the table
// and the member lease in the heartbeat, unless the vote was refused: a refused
// sender may be a coordinator whose lease has ended.
func (n *Node) answerHeartbeat(h Heartbeat, now time.Time) HeartbeatAnswer {
	accept, voted := n.acceptor.Propose(h.Propose, now)
	if !voted {
		accept.Number, accept.Seq = h.Number, h.Seq
	}
	if voted && !accept.OK {
		return HeartbeatAnswer{Accept: accept, Status: n.member.status(h.AckedVersion, now)}
	}
	n.member.ackedVersion = h.AckedVersion
	if h.Holder == n.self {
		h.Echo = Echo{}
	}
	n.member.receive(h)
	return HeartbeatAnswer{Accept: accept, Status: n.member.status(h.AckedVersion, now)}
}

func (n *Node) answerReport(from core.VM, r Report, now time.Time) (Answer, bool) {
	c := n.coordinator
	if _, held := n.elector.Held(now); c == nil || !held {
		return nil, false
	}
	c.receiveStatus(from, r.Status, now)
	return ReportAnswer{AckedVersion: c.peer(from).ackedVersion}, true
}

// HandleAnswer handles the answer to one of this member's calls.
func (n *Node) HandleAnswer(from core.VM, a Answer, now time.Time) []Send {
	switch a := a.(type) {
	case Promise:
		return n.deliverElection(n.elector.HandlePromise(from, a.Promise, now), now)
	case HeartbeatAnswer:
		return n.handleHeartbeatAnswer(from, a, now)
	case ReportAnswer:
		n.member.ackedVersion = a.AckedVersion
	case FetchAnswer:
		return n.handleFetchAnswer(a, now)
	}
	return nil
}

func (n *Node) handleHeartbeatAnswer(from core.VM, a HeartbeatAnswer, now time.Time) []Send {
	n.elector.HandleAccept(from, a.Accept)
	out := n.updateRole(now)
	c := n.coordinator
	if c == nil || c.number != a.Number {
		return out
	}
	c.receiveStatus(from, a.Status, now)
	if a.OK {
		c.peer(from).voted = true
	}
	if c.table == nil {
		return append(out, n.recoverTable(now)...)
	}
	if c.commit(n.electorate) {
		out = append(out, n.sendHeartbeats(now)...)
	}
	return out
}

// recoverTable recovers the table from a majority. The newest version that any
// of its members holds is at least as new as the version in force.
func (n *Node) recoverTable(now time.Time) []Send {
	c := n.coordinator
	holder, fence, intact, quorum := c.newest(n.electorate)
	if !quorum || !intact && now.Before(c.elected.Add(n.timing.Election.RoundTimeout)) {
		return nil
	}
	if fence == n.member.held.Fence {
		c.adopt(n.member.held, intact)
		return n.sendHeartbeats(now)
	}
	return []Send{{To: holder, Call: Fetch{}}}
}

func (n *Node) handleFetchAnswer(a FetchAnswer, now time.Time) []Send {
	c := n.coordinator
	if c == nil || c.table != nil || a.Table == nil {
		return nil
	}
	_, fence, intact, quorum := c.newest(n.electorate)
	t, ok := NewTable(n.cell).Apply(a.Table)
	if !ok || !quorum || t.Fence.Less(fence) {
		return nil
	}
	c.adopt(t, intact)
	return n.sendHeartbeats(now)
}
