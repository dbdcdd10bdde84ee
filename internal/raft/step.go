package raft

// Step handles one message. It may come late, twice or in another order.
func (c *Core) Step(m Message) {
	if m.To != c.config.Self || m.From == c.config.Self {
		return
	}
	if !c.stepTerm(m) {
		return
	}
	switch m.Type {
	case PreVote, Vote:
		c.handleVote(m)
	case PreVoteReply, VoteReply:
		c.handleVoteReply(m)
	case Append, Heartbeat, InstallSnap:
		c.stepFromLeader(m)
	case AppendReply:
		c.handleAppendReply(m)
	case HeartbeatReply:
		c.handleHeartbeatReply(m)
	case TimeoutNow:
		if c.role == Follower && c.log.members().IsVoter(c.config.Self) {
			c.startElection(Vote, true)
		}
	case Read:
		if c.role == Leader {
			_ = c.addRead(m.From, m.Sequence, m.Lazy) // the asker asks again
		}
	case ReadReply:
		c.out.Reads = append(c.out.Reads, ReadState{ID: m.Sequence, Index: m.LogIndex})
	}
}

// stepTerm brings the term up to that of m and reports whether m counts.
func (c *Core) stepTerm(m Message) bool {
	switch {
	case m.Term > c.term:
		return c.stepNewerTerm(m)
	case m.Term < c.term:
		c.answerOlderTerm(m)
		return false
	default:
		return true
	}
}

func (c *Core) stepNewerTerm(m Message) bool {
	switch m.Type {
	case PreVote, Vote:
		if c.inLease() && !m.Transfer {
			return false
		}
	case PreVoteReply:
		if !m.Reject {
			return true // carries the term that the election would have
		}
	}
	if m.Type == PreVote {
		return true
	}
	if isFromLeader(m.Type) {
		c.becomeFollower(m.Term, m.From)
	} else {
		c.becomeFollower(m.Term, "")
	}
	return true
}

// answerOlderTerm tells a leader or candidate of an older term the present
// one, so that a leader that was paused or cut off steps down.
func (c *Core) answerOlderTerm(m Message) {
	switch {
	case isFromLeader(m.Type):
		c.send(Message{Type: AppendReply, To: m.From, Reject: true})
	case m.Type == PreVote:
		c.send(Message{Type: PreVoteReply, To: m.From, Reject: true})
	}
}

func isFromLeader(t MessageType) bool {
	return t == Append || t == Heartbeat || t == InstallSnap
}

func (c *Core) stepFromLeader(m Message) {
	if c.role == Leader {
		return // two leaders in a term cannot be; a forged message is dropped
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.elapsed = 0
	switch m.Type {
	case Append:
		c.handleAppend(m)
	case InstallSnap:
		c.handleSnapshot(m)
	default:
		c.advanceTo(min(m.Commit, c.log.last()))
		c.send(Message{Type: HeartbeatReply, To: m.From, Sequence: m.Sequence})
	}
}

func (c *Core) advanceTo(commit Index) { c.commit = max(c.commit, commit) }

func (c *Core) handleAppend(m Message) {
	reply := Message{Type: AppendReply, To: m.From}
	switch {
	case m.LogIndex < c.commit:
		reply.LogIndex = c.commit
	case c.log.matches(m.LogIndex, m.LogTerm):
		c.log.merge(m.Entries)
		reply.LogIndex = m.LogIndex + Index(len(m.Entries))
		c.advanceTo(min(m.Commit, reply.LogIndex))
	default:
		reply.Reject, reply.LogIndex = true, m.LogIndex
		reply.Hint = c.log.conflictHint(m.LogIndex-1, m.LogTerm)
	}
	c.send(reply)
}

func (c *Core) handleSnapshot(m Message) {
	s := *m.Snapshot
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.advanceTo(s.Index)
	default:
		c.log.install(s)
		c.commit, c.handed = s.Index, s.Index
		c.out.Snapshot = &s
	}
	c.send(Message{Type: AppendReply, To: m.From, LogIndex: c.commit})
}
