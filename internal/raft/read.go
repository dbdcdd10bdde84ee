package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

// pendingRead waits until a majority answered a heartbeat that left after the
// read was asked: no other leader can then have committed anything before it
// (Ongaro's thesis, section 6.4).
type pendingRead struct {
	from     core.VM
	id       uint64
	index    Index
	sequence uint64
}

// Read asks for a ReadState with the given id. It may never come; the asker
// asks again. ids must not repeat over restarts of the replica. A lazy read
// waits for the next heartbeat instead of causing one.
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
		return ErrNotReady // older leaders may have committed more than is known here
	}
	c.readSequence++
	c.reads = append(c.reads, pendingRead{from, id, c.commit, c.readSequence})
	c.heartbeatDue = c.heartbeatDue || !lazy
	c.releaseReads()
	return nil
}

func (c *Core) releaseReads() {
	confirmed := majority(c.log.members().Voters(), func(vm core.VM) uint64 {
		if vm == c.config.Self {
			return c.readSequence
		}
		if p := c.peers[vm]; p != nil {
			return p.sequence
		}
		return 0
	})
	done := 0
	for _, r := range c.reads {
		if r.sequence > confirmed {
			break
		}
		done++
		if r.from == c.config.Self {
			c.out.Reads = append(c.out.Reads, ReadState{r.id, r.index})
		} else {
			c.send(Message{Type: ReadReply, To: r.from, Sequence: r.id, LogIndex: r.index})
		}
	}
	c.reads = c.reads[done:]
}
