package raft

// Step handles one message. Messages may be delayed, duplicated or reordered.
func (c *Core) Step(m Message) {
	if m.To != c.config.Self || m.From == c.config.Self {
		return
	}
	if !c.reconcileTerm(m) {
		return
	}
	switch m.Type {
	case PreVote, Vote:
		c.handleVote(m)
	case PreVoteReply, VoteReply:
		c.handleVoteReply(m)
	case Append, Heartbeat, InstallSnapshot:
		c.handleLeaderMessage(m)
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
			_ = c.addRead(m.From, m.Sequence, m.Lazy) // the requester retries
		}
	case ReadReply:
		c.out.Reads = append(c.out.Reads, ReadState{ID: m.Sequence, Index: m.LogIndex})
	}
}

// reconcileTerm adopts a newer term of m if necessary, and reports whether m is
// to be processed.
func (c *Core) reconcileTerm(m Message) bool {
	switch {
	case m.Term > c.term:
		return c.handleNewerTerm(m)
	case m.Term < c.term:
		c.replyToOlderTerm(m)
		return false
	default:
		return true
	}
}

// handleNewerTerm handles a term newer than this replica's and reports whether
// m is to be processed. Vote requests are ignored while a leader is active.
func (c *Core) handleNewerTerm(m Message) bool {
	switch m.Type {
	case PreVote, Vote:
		if c.inLease() && !m.Transfer {
			return false
		}
	case PreVoteReply:
		if !m.Reject {
			return true // carries the term of the prospective election
		}
	}
	if m.Type == PreVote {
		return true
	}
	if isLeaderMessage(m.Type) {
		c.becomeFollower(m.Term, m.From)
	} else {
		c.becomeFollower(m.Term, "")
	}
	return true
}

// replyToOlderTerm sends the current term to a leader or pre-candidate of an
// older term, so that a leader that was paused or partitioned steps down.
func (c *Core) replyToOlderTerm(m Message) {
	switch {
	case isLeaderMessage(m.Type):
		c.send(Message{Type: AppendReply, To: m.From, Reject: true})
	case m.Type == PreVote:
		c.send(Message{Type: PreVoteReply, To: m.From, Reject: true})
	}
}

func isLeaderMessage(t MessageType) bool {
	return t == Append || t == Heartbeat || t == InstallSnapshot
}

func (c *Core) handleLeaderMessage(m Message) {
	if c.role == Leader {
		return // a term has one leader only: drop the forged message
	}
	if c.role != Follower || c.leader != m.From {
		c.becomeFollower(m.Term, m.From)
	}
	c.electionElapsed = 0
	switch m.Type {
	case Append:
		c.handleAppend(m)
	case InstallSnapshot:
		c.handleSnapshot(m)
	default:
		c.advanceCommitTo(min(m.Commit, c.log.last()))
		c.send(Message{Type: HeartbeatReply, To: m.From, Sequence: m.Sequence})
	}
}

func (c *Core) advanceCommitTo(commit Index) { c.commit = max(c.commit, commit) }

func (c *Core) handleAppend(m Message) {
	reply := Message{Type: AppendReply, To: m.From}
	switch {
	case m.LogIndex < c.commit:
		reply.LogIndex = c.commit
	case c.log.matches(m.LogIndex, m.LogTerm):
		c.log.merge(m.Entries)
		reply.LogIndex = m.LogIndex + Index(len(m.Entries))
		c.advanceCommitTo(min(m.Commit, reply.LogIndex))
	default:
		reply.Reject, reply.LogIndex = true, m.LogIndex
		reply.ConflictHint = c.log.conflictHint(m.LogIndex-1, m.LogTerm)
	}
	c.send(reply)
}

func (c *Core) handleSnapshot(m Message) {
	s := *m.Snapshot
	switch {
	case s.Index <= c.commit:
	case c.log.matches(s.Index, s.Term):
		c.advanceCommitTo(s.Index)
	default:
		c.log.install(s)
		c.commit, c.emittedCommit = s.Index, s.Index
		c.out.Snapshot = &s
	}
	c.send(Message{Type: AppendReply, To: m.From, LogIndex: c.commit})
}
