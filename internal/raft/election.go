package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

func (c *Core) becomeFollower(term Term, leader core.VM) {
	if term > c.term {
		c.term, c.vote = term, ""
	}
	c.role, c.leader = Follower, leader
	c.hasSeenLeader = c.hasSeenLeader || leader != ""
	c.peers, c.votes, c.reads, c.transferee = nil, nil, nil, ""
	c.resetTimeout()
}

// canCampaign reports whether this replica may become leader. A replica that is
// being removed may, as long as it doesn't know the removal to be committed: it
// can be the only one whose log holds the removal, and the others cannot win an
// election against its longer log (Ongaro's thesis, section 4.2.2).
func (c *Core) canCampaign() bool {
	if c.log.members().IsVoter(c.config.Self) {
		return true
	}
	return c.log.membersIndex() > c.commit && c.log.membersUpTo(c.commit).IsVoter(c.config.Self)
}

// campaign starts an election of the given kind. A PreVote increases no term,
// so that a replica that cannot win, because it is partitioned or its log is
// behind, does not disrupt the others.
func (c *Core) campaign(kind MessageType) {
	c.startElection(kind, false)
}

func (c *Core) startElection(kind MessageType, transfer bool) {
	c.becomeFollower(c.term, "")
	term := c.term + 1
	c.role = PreCandidate
	if kind == Vote {
		c.role = Candidate
		c.term, c.vote = term, c.config.Self
	}
	c.votes = map[core.VM]bool{c.config.Self: true}
	for _, vm := range c.log.members().Voters() {
		if vm != c.config.Self {
			c.send(Message{
				Type: kind, To: vm, Term: term, Transfer: transfer,
				LogIndex: c.log.last(), LogTerm: c.log.lastTerm(),
			})
		}
	}
	c.countVotes(transfer)
}

func (c *Core) countVotes(transfer bool) {
	voters := c.log.members().Voters()
	granted, refused := 0, 0
	for _, vm := range voters {
		if yes, answered := c.votes[vm]; yes {
			granted++
		} else if answered {
			refused++
		}
	}
	switch {
	case granted > len(voters)/2 && c.role == PreCandidate:
		c.startElection(Vote, transfer)
	case granted > len(voters)/2:
		c.becomeLeader()
	case refused > len(voters)/2:
		c.becomeFollower(c.term, "")
	}
}

// becomeLeader starts the leader's term with an empty entry. A leader commits
// only entries of its own term by counting replicas; older entries are committed
// along with them (Raft paper, section 5.4.2).
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.config.Self, nil
	c.hasSeenLeader = true
	c.electionElapsed, c.heartbeatElapsed = 0, 0
	c.peers = map[core.VM]*progress{}
	c.readSequence = 0
	c.syncPeers()
	c.appendAsLeader(Entry{Kind: EntryEmpty})
}

// inLease reports whether a leader was active within the minimum election
// timeout. The replica then ignores elections, so that a replica that was
// partitioned cannot depose a working leader.
func (c *Core) inLease() bool {
	return c.leader != "" && c.electionElapsed < c.config.ElectionTicks
}

func (c *Core) handleVote(m Message) {
	reply := Message{Type: VoteReply, To: m.From}
	canVote := c.vote == m.From || (c.vote == "" && c.leader == "")
	if m.Type == PreVote {
		reply.Type = PreVoteReply
		canVote = m.Term > c.term
	}
	upToDate := m.LogTerm > c.log.lastTerm() ||
		(m.LogTerm == c.log.lastTerm() && m.LogIndex >= c.log.last())
	if !canVote || !upToDate {
		reply.Reject = true
		c.send(reply)
		return
	}
	if m.Type == Vote {
		c.vote = m.From
		c.electionElapsed = 0
	}
	reply.Term = m.Term
	c.send(reply)
}

func (c *Core) handleVoteReply(m Message) {
	expectedType := map[Role]MessageType{PreCandidate: PreVoteReply, Candidate: VoteReply}[c.role]
	if m.Type != expectedType {
		return
	}
	if m.Type == PreVoteReply && !m.Reject && m.Term != c.term+1 {
		return // reply to an earlier election
	}
	if _, alreadyVoted := c.votes[m.From]; !alreadyVoted {
		c.votes[m.From] = !m.Reject
	}
	c.countVotes(false)
}

// TransferLeadership transfers the leadership to the voter with the most
// up-to-date log as soon as that voter holds the whole log. Proposals are
// rejected until then, or until the transfer times out after ElectionTicks.
func (c *Core) TransferLeadership() {
	if c.role != Leader {
		return
	}
	mostUpToDate := core.VM("")
	for _, vm := range c.log.members().Voters() {
		if p := c.peers[vm]; p != nil && (mostUpToDate == "" || p.match > c.peers[mostUpToDate].match) {
			mostUpToDate = vm
		}
	}
	if mostUpToDate == "" {
		return
	}
	c.transferee = mostUpToDate
	c.electionElapsed = 0
	c.tryTransfer()
}

func (c *Core) tryTransfer() {
	if p := c.peers[c.transferee]; p != nil && p.match == c.log.last() {
		c.send(Message{Type: TimeoutNow, To: c.transferee})
	}
}
