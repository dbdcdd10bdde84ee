package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

// pendingRead is a read request that waits until a majority has replied to a
// heartbeat sent after the request arrived. These replies prove that this replica
// was still the leader then, so that no other leader can have committed a newer
// entry before the request (Ongaro's thesis, section 6.4).
type pendingRead struct {
	from     core.VM
	id       uint64
	index    Index
	sequence uint64
}

// Read requests a ReadState with the given id. The request or its reply may be
// lost, and the caller must then retry. An id must not be reused, not even after
// a restart of the replica. A lazy read waits for the next periodic heartbeat
// instead of triggering one.
func (c *Core) Read(id uint64, lazy bool) error {
	switch {
	case c.role == Leader:
		return c.addRead(c.config.Self, id, lazy)
	case c.leader != "":
		c.send(Message{Type: Read, To: c.leader, Sequence: id, Lazy: lazy})
		return nil
	default:
		return ErrNotLeader
	}
}

func (c *Core) addRead(from core.VM, id uint64, lazy bool) error {
	if !c.log.matches(c.commit, c.term) {
		return ErrNotReady // earlier leaders may have committed more than this one knows
	}
	c.readSequence++
	c.reads = append(c.reads, pendingRead{from, id, c.commit, c.readSequence})
	c.heartbeatDue = c.heartbeatDue || !lazy
	c.answerConfirmedReads()
	return nil
}

// answerConfirmedReads replies to the pending reads that a majority confirmed.
func (c *Core) answerConfirmedReads() {
	confirmed := majority(c.log.members().Voters(), func(vm core.VM) uint64 {
		if vm == c.config.Self {
			return c.readSequence
		}
		if p := c.peers[vm]; p != nil {
			return p.ackedSequence
		}
		return 0
	})
	answered := 0
	for _, r := range c.reads {
		if r.sequence > confirmed {
			break
		}
		answered++
		if r.from == c.config.Self {
			c.out.Reads = append(c.out.Reads, ReadState{r.id, r.index})
		} else {
			c.send(Message{Type: ReadReply, To: r.from, Sequence: r.id, LogIndex: r.index})
		}
	}
	c.reads = c.reads[answered:]
}
