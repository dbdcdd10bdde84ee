package raft

import "github.com/comfreynotch/comfreynotch/internal/core"

func (c *Core) becomeFollower(term Term, leader core.VM) {
	if term > c.term {
		c.term, c.vote = term, ""
	}
	c.role, c.leader = Follower, leader
	c.metLeader = c.metLeader || leader != ""
	c.peers, c.votes, c.reads, c.transferee = nil, nil, nil, ""
	c.resetTimeout()
}

// mayCampaign reports whether this replica may lead. One whose removal is not
// known to be committed may: it can be the only one that holds the removal, and
// the others cannot win against its longer log (Ongaro's thesis, 4.2.2).
func (c *Core) mayCampaign() bool {
	if c.log.members().IsVoter(c.config.Self) {
		return true
	}
	return c.log.membersIndex() > c.commit && c.log.membersUpTo(c.commit).IsVoter(c.config.Self)
}

// campaign asks for votes. A PreVote raises no term, so that a replica that
// cannot win, being cut off or behind, leaves the others undisturbed.
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

// becomeLeader starts a term with an empty entry: by counting replicas a
// leader commits only entries of its own term, and earlier ones with them
// (Raft, section 5.4.2).
func (c *Core) becomeLeader() {
	c.role, c.leader, c.votes = Leader, c.config.Self, nil
	c.metLeader = true
	c.elapsed, c.beat = 0, 0
	c.peers = map[core.VM]*progress{}
	c.readSequence = 0
	c.syncPeers()
	c.appendOwn(Entry{Kind: EntryEmpty})
}

// inLease reports whether a live leader is known: the replica then takes no
// part in elections, so that one that was cut off cannot end a working term.
func (c *Core) inLease() bool {
	return c.leader != "" && c.elapsed < c.config.ElectionTicks
}

func (c *Core) handleVote(m Message) {
	reply := Message{Type: VoteReply, To: m.From}
	free := c.vote == m.From || (c.vote == "" && c.leader == "")
	if m.Type == PreVote {
		reply.Type = PreVoteReply
		free = m.Term > c.term
	}
	upToDate := m.LogTerm > c.log.lastTerm() ||
		(m.LogTerm == c.log.lastTerm() && m.LogIndex >= c.log.last())
	if !free || !upToDate {
		reply.Reject = true
		c.send(reply)
		return
	}
	if m.Type == Vote {
		c.vote = m.From
		c.elapsed = 0
	}
	reply.Term = m.Term
	c.send(reply)
}

func (c *Core) handleVoteReply(m Message) {
	wanted := map[Role]MessageType{PreCandidate: PreVoteReply, Candidate: VoteReply}[c.role]
	if m.Type != wanted {
		return
	}
	if m.Type == PreVoteReply && !m.Reject && m.Term != c.term+1 {
		return // an answer to an earlier election
	}
	if _, again := c.votes[m.From]; !again {
		c.votes[m.From] = !m.Reject
	}
	c.countVotes(false)
}

// TransferLeadership hands the lead to a voter that holds the whole log, as
// soon as one does; meanwhile proposals are refused.
func (c *Core) TransferLeadership() {
	if c.role != Leader {
		return
	}
	best := core.VM("")
	for _, vm := range c.log.members().Voters() {
		if p := c.peers[vm]; p != nil && (best == "" || p.match > c.peers[best].match) {
			best = vm
		}
	}
	if best == "" {
		return
	}
	c.transferee = best
	c.elapsed = 0
	c.tryTransfer()
}

func (c *Core) tryTransfer() {
	if p := c.peers[c.transferee]; p != nil && p.match == c.log.last() {
		c.send(Message{Type: TimeoutNow, To: c.transferee})
	}
}
