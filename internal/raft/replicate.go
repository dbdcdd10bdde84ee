package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

// progress is what a leader knows of one other member.
type progress struct {
	match    Index // newest entry known to be on its disk
	next     Index // first entry to send; match < next
	probing  bool  // next is a guess: one Append in a heartbeat period
	probed   bool
	told     Index  // commit index that it was sent
	snapshot int    // ticks left to wait for a snapshot's answer
	quiet    bool   // no answer to an Append since the last heartbeat period began
	active   bool   // heard since the last quorum check
	silent   int    // ticks since it was heard
	sequence uint64 // newest heartbeat round that it answered
}

// syncPeers gives each member its progress after the members changed.
func (c *Core) syncPeers() {
	members := c.log.members()
	for _, m := range members {
		if m.VM != c.config.Self && c.peers[m.VM] == nil {
			c.peers[m.VM] = &progress{next: c.log.last() + 1, probing: true, active: true}
		}
	}
	for vm := range c.peers {
		if _, ok := members.Find(vm); !ok {
			delete(c.peers, vm)
		}
	}
}

// Propose appends one command. It is committed once Actions hand out an entry
// with this index and term; an entry with this index and another term proves
// that the command never runs.
func (c *Core) Propose(data []byte) (Index, Term, error) {
	if err := c.mayAppend(); err != nil {
		return 0, 0, err
	}
	c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	return c.log.last(), c.term, nil
}

func (c *Core) mayAppend() error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferee != "":
		return ErrTransferring
	case c.log.last()-c.commit >= maxBacklog:
		return ErrBacklog
	}
	return nil
}

func (c *Core) appendOwn(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	if e.Kind == EntryMembers {
		c.syncPeers()
	}
	c.appendDue = true
}

// flush sends what the calls since the last Take owe to the other members.
func (c *Core) flush() {
	appendDue, heartbeatDue := c.appendDue, c.heartbeatDue
	c.appendDue, c.heartbeatDue = false, false
	for vm := range c.sortedPeers() {
		if appendDue && c.peers[vm].next <= c.log.last() {
			c.sendAppend(vm)
		}
		if heartbeatDue || c.commitFor(vm) > c.peers[vm].told {
			c.sendHeartbeat(vm)
		}
	}
}

// sortedPeers yields the other members in the order of their names, so that a
// run can be repeated.
func (c *Core) sortedPeers() func(yield func(core.VM) bool) {
	return func(yield func(core.VM) bool) {
		for _, m := range c.log.members() {
			if c.peers[m.VM] != nil && !yield(m.VM) {
				return
			}
		}
	}
}

func (c *Core) sendAppend(vm core.VM) {
	p := c.peers[vm]
	if p.snapshot > 0 || (p.probing && p.probed) {
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		p.snapshot = c.config.ElectionTicks
		s := c.log.snapshot
		c.send(Message{Type: InstallSnap, To: vm, Snapshot: &s})
		return
	}
	entries := c.log.slice(p.next, c.log.last(), c.config.MaxEntries)
	c.send(Message{
		Type: Append, To: vm, LogIndex: prev, LogTerm: prevTerm,
		Entries: entries, Commit: c.commit,
	})
	p.probed = true
	if !p.probing {
		p.next += Index(len(entries))
	}
}

func (c *Core) handleAppendReply(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.active, p.quiet, p.silent = true, false, 0
	p.snapshot = 0
	if m.Reject {
		if m.LogIndex > p.match {
			p.next = max(p.match+1, min(m.LogIndex, m.Hint+1))
			p.probing, p.probed = true, false
			c.sendAppend(m.From)
		}
		return
	}
	p.probing = false
	p.match = max(p.match, m.LogIndex)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if c.role != Leader {
		return
	}
	if p.next <= c.log.last() {
		c.sendAppend(m.From)
	}
	if m.From == c.transferee {
		c.tryTransfer()
	}
}

// advanceCommit commits what a majority holds on disk, if it is of this term.
func (c *Core) advanceCommit() {
	index := majority(c.log.members().Voters(), c.matchOf)
	if index <= c.commit || !c.log.matches(index, c.term) {
		return
	}
	c.commit = index
	if c.log.membersIndex() <= c.commit && !c.log.members().IsVoter(c.config.Self) {
		c.becomeFollower(c.term, "") // its removal is committed
	}
}

func (c *Core) matchOf(vm core.VM) Index {
	if vm == c.config.Self {
		return min(c.stable, c.log.unstable-1)
	}
	if p := c.peers[vm]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silent++
	}
	for _, p := range c.peers {
		p.snapshot = max(0, p.snapshot-1)
	}
	if c.elapsed >= c.config.ElectionTicks {
		c.elapsed = 0
		c.transferee = ""
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.beat++; c.beat >= c.config.HeartbeatTicks {
		c.beat = 0
		c.heartbeatDue = true
		for _, p := range c.peers {
			p.probed, p.quiet = false, true
		}
	}
}

// quorumActive reports whether a majority was heard since the last check: a
// leader that is cut off steps down instead of answering for a term that the
// others may have ended.
func (c *Core) quorumActive() bool {
	voters := c.log.members().Voters()
	heard := 0
	for _, vm := range voters {
		if vm == c.config.Self || (c.peers[vm] != nil && c.peers[vm].active) {
			heard++
		}
	}
	for _, p := range c.peers {
		p.active = false
	}
	return heard > len(voters)/2
}

func (c *Core) sendHeartbeat(vm core.VM) {
	c.peers[vm].told = c.commitFor(vm)
	c.send(Message{Type: Heartbeat, To: vm, Commit: c.peers[vm].told, Sequence: c.readSequence})
}

// commitFor is what a member may take as committed: it holds no other entry up
// to there.
func (c *Core) commitFor(vm core.VM) Index { return min(c.peers[vm].match, c.commit) }

func (c *Core) handleHeartbeatReply(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.active, p.silent = true, 0
	p.sequence = max(p.sequence, m.Sequence)
	if p.match < c.log.last() && p.quiet {
		// An Append or its answer may be lost: send again from what is known.
		p.next = p.match + 1
		p.probed, p.quiet = false, false
		c.sendAppend(m.From)
	}
	c.releaseReads()
}
