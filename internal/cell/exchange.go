package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Answer takes a call of another member. It reports false when there is no
// answer to give.
func (n *Node) Answer(from core.VM, call Call, now time.Time) (Answer, bool) {
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

// answerHeartbeat votes, and takes the table and the lease unless the vote was
// refused: a refused sender may be a coordinator whose lease has ended.
func (n *Node) answerHeartbeat(h Heartbeat, now time.Time) HeartbeatAnswer {
	accept, voted := n.acceptor.Propose(h.Propose, now)
	if !voted {
		accept.Number, accept.Seq = h.Number, h.Seq
	}
	if voted && !accept.OK {
		return HeartbeatAnswer{Accept: accept, Status: n.member.status(h.NewsSeen, now)}
	}
	n.member.newsSeen = h.NewsSeen
	if h.Holder == n.self {
		h.Echo = Echo{}
	}
	n.member.receive(h)
	return HeartbeatAnswer{Accept: accept, Status: n.member.status(h.NewsSeen, now)}
}

func (n *Node) answerReport(from core.VM, r Report, now time.Time) (Answer, bool) {
	c := n.coordinator
	if _, held := n.elector.Held(now); c == nil || !held {
		return nil, false
	}
	c.hear(from, r.Status, now)
	return ReportAnswer{NewsSeen: c.peer(from).newsSeen}, true
}

// Answered takes the answer to one of this member's calls.
func (n *Node) Answered(from core.VM, a Answer, now time.Time) []Send {
	switch a := a.(type) {
	case Promise:
		return n.elect(n.elector.HandlePromise(from, a.Promise, now), now)
	case HeartbeatAnswer:
		return n.heartbeatAnswered(from, a, now)
	case ReportAnswer:
		n.member.newsSeen = a.NewsSeen
	case FetchAnswer:
		return n.fetched(a, now)
	}
	return nil
}

func (n *Node) heartbeatAnswered(from core.VM, a HeartbeatAnswer, now time.Time) []Send {
	n.elector.HandleAccept(from, a.Accept)
	out := n.follow(now)
	c := n.coordinator
	if c == nil || c.number != a.Number {
		return out
	}
	c.hear(from, a.Status, now)
	if a.OK {
		c.peer(from).voted = true
	}
	if c.table == nil {
		return append(out, n.recover(now)...)
	}
	if c.commit(n.electorate) {
		out = append(out, n.extend(now)...)
	}
	return out
}

// recover reads the table from a majority: the newest version that any of it
// holds is at least the newest one in force.
func (n *Node) recover(now time.Time) []Send {
	c := n.coordinator
	holder, fence, warm, read := c.newest(n.electorate)
	if !read || !warm && now.Before(c.elected.Add(n.timing.Election.RoundTimeout)) {
		return nil
	}
	if fence == n.member.held.Fence {
		c.adopt(n.member.held, warm)
		return n.extend(now)
	}
	return []Send{{To: holder, Call: Fetch{}}}
}

func (n *Node) fetched(a FetchAnswer, now time.Time) []Send {
	c := n.coordinator
	if c == nil || c.table != nil || a.Table == nil {
		return nil
	}
	_, fence, warm, read := c.newest(n.electorate)
	t, ok := NewTable(n.cell).Apply(a.Table)
	if !ok || !read || t.Fence.Less(fence) {
		return nil
	}
	c.adopt(t, warm)
	return n.extend(now)
}
