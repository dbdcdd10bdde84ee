package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

// progress is a leader's view of the replication to one other member.
type progress struct {
	match             Index // newest entry known to be durable on the member
	next              Index // first entry to send; match < next
	probing           bool  // next is unconfirmed: send only one Append per heartbeat interval
	probeSent         bool
	sentCommit        Index  // newest commit index sent to the member
	snapshotWait      int    // ticks left to wait for the reply to a snapshot
	unanswered        bool   // no reply to an Append in the current heartbeat interval
	recentlyActive    bool   // replied since the last quorum check
	ticksSinceContact int    // ticks since the last reply
	ackedSequence     uint64 // newest read sequence that a heartbeat reply confirmed
}

// syncPeers adds and removes progress entries to match the current members.
func (c *Core) syncPeers() {
	members := c.log.members()
	for _, m := range members {
		if m.VM != c.config.Self && c.peers[m.VM] == nil {
			c.peers[m.VM] = &progress{next: c.log.last() + 1, probing: true, recentlyActive: true}
		}
	}
	for vm := range c.peers {
		if _, ok := members.Find(vm); !ok {
			delete(c.peers, vm)
		}
	}
}

// Propose appends one command and returns its index and term. The command is
// committed once Take returns a committed entry with this index and term. A
// committed entry with this index and another term proves that the command never
// runs.
func (c *Core) Propose(data []byte) (Index, Term, error) {
	if err := c.checkCanAppend(); err != nil {
		return 0, 0, err
	}
	c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	return c.log.last(), c.term, nil
}

// checkCanAppend returns the reason why no entry can be appended now, if any.
func (c *Core) checkCanAppend() error {
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferee != "":
		return ErrTransferring
	case c.log.last()-c.commit >= maxUncommitted:
		return ErrTooManyUncommitted
	}
	return nil
}

// appendAsLeader appends e as the next entry of the current term.
func (c *Core) appendAsLeader(e Entry) {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	if e.Kind == EntryMembers {
		c.syncPeers()
	}
	c.appendDue = true
}

// flush sends the appends and heartbeats that became due since the last Take.
func (c *Core) flush() {
	appendDue, heartbeatDue := c.appendDue, c.heartbeatDue
	c.appendDue, c.heartbeatDue = false, false
	for vm := range c.sortedPeers() {
		if appendDue && c.peers[vm].next <= c.log.last() {
			c.sendAppend(vm)
		}
		if heartbeatDue || c.commitToSend(vm) > c.peers[vm].sentCommit {
			c.sendHeartbeat(vm)
		}
	}
}

// sortedPeers yields the other members sorted by VM, which keeps runs
// deterministic.
func (c *Core) sortedPeers() func(yield func(core.VM) bool) {
	return func(yield func(core.VM) bool) {
		for _, m := range c.log.members() {
			if c.peers[m.VM] != nil && !yield(m.VM) {
				return
			}
		}
	}
}

// sendAppend sends the next entries to a member, or the snapshot if the log no
// longer holds the entry before them.
func (c *Core) sendAppend(vm core.VM) {
	p := c.peers[vm]
	if p.snapshotWait > 0 || (p.probing && p.probeSent) {
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.log.term(prev)
	if !ok {
		p.snapshotWait = c.config.ElectionTicks
		s := c.log.snapshot
		c.send(Message{Type: InstallSnapshot, To: vm, Snapshot: &s})
		return
	}
	entries := limitBytes(c.log.slice(p.next, c.log.last(), c.config.MaxEntries), c.config.MaxBytes)
	c.send(Message{
		Type: Append, To: vm, LogIndex: prev, LogTerm: prevTerm,
		Entries: entries, Commit: c.commit,
	})
	p.probeSent = true
	if !p.probing {
		p.next += Index(len(entries))
	}
}

// limitBytes returns the first entries whose data is at most limit bytes, and at least
// one.
func limitBytes(entries []Entry, limit int) []Entry {
	total := 0
	for i, e := range entries {
		total += len(e.Data)
		if limit > 0 && i > 0 && total > limit {
			return entries[:i:i]
		}
	}
	return entries
}

func (c *Core) handleAppendReply(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive, p.unanswered, p.ticksSinceContact = true, false, 0
	p.snapshotWait = 0
	if m.Reject {
		if m.LogIndex > p.match {
			p.next = max(p.match+1, min(m.LogIndex, m.ConflictHint+1))
			p.probing, p.probeSent = true, false
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

// advanceCommit commits the newest entry that is durable on a majority, if it is
// of the current term.
func (c *Core) advanceCommit() {
	index := majority(c.log.members().Voters(), c.matchOf)
	if index <= c.commit || !c.log.matches(index, c.term) {
		return
	}
	c.commit = index
	if c.log.membersIndex() <= c.commit && !c.log.members().IsVoter(c.config.Self) {
		c.becomeFollower(c.term, "") // the removal of this replica is committed
	}
}

// matchOf returns the newest entry known to be durable on a member.
func (c *Core) matchOf(vm core.VM) Index {
	if vm == c.config.Self {
		return min(c.stableIndex, c.log.unstable-1)
	}
	if p := c.peers[vm]; p != nil {
		return p.match
	}
	return 0
}

func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.ticksSinceContact++
	}
	for _, p := range c.peers {
		p.snapshotWait = max(0, p.snapshotWait-1)
	}
	if c.electionElapsed >= c.config.ElectionTicks {
		c.electionElapsed = 0
		c.transferee = ""
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	if c.heartbeatElapsed++; c.heartbeatElapsed >= c.config.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.heartbeatDue = true
		for _, p := range c.peers {
			p.probeSent, p.unanswered = false, true
		}
	}
}

// quorumActive reports whether a majority replied since the last check. If not,
// the leader is partitioned and steps down instead of serving requests in a term
// that the other replicas may have ended.
func (c *Core) quorumActive() bool {
	voters := c.log.members().Voters()
	activeVoters := 0
	for _, vm := range voters {
		if vm == c.config.Self || (c.peers[vm] != nil && c.peers[vm].recentlyActive) {
			activeVoters++
		}
	}
	for _, p := range c.peers {
		p.recentlyActive = false
	}
	return activeVoters > len(voters)/2
}

func (c *Core) sendHeartbeat(vm core.VM) {
	c.peers[vm].sentCommit = c.commitToSend(vm)
	c.send(Message{Type: Heartbeat, To: vm, Commit: c.peers[vm].sentCommit, Sequence: c.readSequence})
}

// commitToSend returns the commit index that is safe to send to a member. It is
// limited to the member's matching entries, since later entries of the member's
// log may conflict with the leader's.
func (c *Core) commitToSend(vm core.VM) Index { return min(c.peers[vm].match, c.commit) }

func (c *Core) handleHeartbeatReply(m Message) {
	p := c.peers[m.From]
	if c.role != Leader || p == nil {
		return
	}
	p.recentlyActive, p.ticksSinceContact = true, 0
	p.ackedSequence = max(p.ackedSequence, m.Sequence)
	if p.match < c.log.last() && p.unanswered {
		// An Append or its reply may be lost: resend from the last matching entry.
		p.next = p.match + 1
		p.probeSent, p.unanswered = false, false
		c.sendAppend(m.From)
	}
	c.answerConfirmedReads()
}
