package raft

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Role is the role of a replica in its current term.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// maxUncommitted is the number of uncommitted entries at which a leader rejects
// new proposals.
const maxUncommitted = 16384

// Config holds the constant parameters of a replica.
type Config struct {
	Self           core.VM
	ElectionTicks  int    // minimum election timeout; each timeout is drawn between this and twice this
	HeartbeatTicks int    // interval between a leader's heartbeats; must be well below ElectionTicks
	MaxEntries     int    // maximum number of entries in one Append message
	MaxBytes       int    // maximum size of their data, unless one entry alone is larger; 0: no limit
	Seed           uint64 // seed of the random election timeouts; must differ between replicas
}

// Core is the state of one replica. It is not safe for concurrent use.
//
// Invariants: term and commit never decrease; a replica votes at most once in
// a term; a leader only appends to its log; entries up to commit are durable on
// a majority of voters and never change.
type Core struct {
	config Config
	random uint64

	term         Term
	vote         core.VM
	emittedState HardState // newest hard state returned by Take
	log          *entryLog

	role   Role
	leader core.VM
	// hasSeenLeader is set once this replica, since its start, knew a leader.
	hasSeenLeader bool
	commit        Index
	emittedCommit Index // newest committed entry returned by Take

	electionElapsed  int // follower: ticks since the last message of the leader; leader: ticks since its quorum check
	heartbeatElapsed int // leader only: ticks since the last heartbeat
	electionTimeout  int // randomized, in ticks
	votes            map[core.VM]bool
	peers            map[core.VM]*progress // leader only: progress of every other member
	stableIndex      Index                 // newest entry that is durable on this replica

	transferee   core.VM
	reads        []pendingRead
	readSequence uint64

	// appendDue and heartbeatDue request messages to all members. The next Take
	// sends them, once for all proposals and reads before it.
	appendDue    bool
	heartbeatDue bool

	out Actions
}

// New returns a follower that starts from its stored state.
func New(config Config, stored StoredState) *Core {
	c := &Core{
		config: config, random: config.Seed | 1,
		term: stored.HardState.Term, vote: stored.HardState.Vote, emittedState: stored.HardState,
		log:    newLog(stored),
		commit: stored.Snapshot.Index, emittedCommit: stored.Snapshot.Index,
	}
	c.stableIndex = c.log.last()
	c.resetTimeout()
	return c
}

// Status is a replica's state as shown to operators and other packages.
type Status struct {
	Self              core.VM
	Role              Role
	Term              Term
	Leader            core.VM // empty: unknown
	Commit            Index
	Last              Index
	Members           Members
	Match             map[core.VM]Index // leader only: newest entry known to be durable on each member
	TicksSinceContact map[core.VM]int   // leader only: ticks since the last reply of each other member
}

// Status returns the current status.
func (c *Core) Status() Status {
	s := Status{
		Self: c.config.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last(), Members: c.log.members(),
	}
	if c.role == Leader {
		s.Match = map[core.VM]Index{c.config.Self: c.stableIndex}
		s.TicksSinceContact = map[core.VM]int{}
		for vm, p := range c.peers {
			s.Match[vm], s.TicksSinceContact[vm] = p.match, p.ticksSinceContact
		}
	}
	return s
}

// Leader returns the leader of the current term, empty if unknown.
func (c *Core) Leader() core.VM { return c.leader }

// IsLeader reports whether this replica believes that it is the leader. Another
// replica may have won a newer term meanwhile: only a confirmed read proves that
// the leadership still holds.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Members returns the newest set of replicas in the log, committed or not.
func (c *Core) Members() Members { return c.log.members() }

// SnapshotIndex returns the index of the newest snapshot.
func (c *Core) SnapshotIndex() Index { return c.log.snapshot.Index }

// Term returns the current term.
func (c *Core) Term() Term { return c.term }

// Tick advances the replica's clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.electionTimeout && c.canCampaign() {
		c.campaign(PreVote)
	}
}

// Campaign starts an election immediately. A sole voter wins it at once.
func (c *Core) Campaign() {
	if c.role != Leader && c.canCampaign() {
		c.campaign(PreVote)
	}
}

// Take returns the actions that arose since the last call. The caller must
// persist HardState, Snapshot and Entries and call Persisted before it calls
// Step again.
func (c *Core) Take() Actions {
	c.flush()
	a := c.out
	c.out = Actions{}
	if now := (HardState{c.term, c.vote}); now != c.emittedState {
		c.emittedState = now
		a.HardState = &now
	}
	a.Entries = c.log.slice(c.log.unstable, c.log.last(), len(c.log.entries))
	c.log.unstable = c.log.last() + 1
	a.Committed = c.log.slice(c.emittedCommit+1, c.commit, len(c.log.entries))
	c.emittedCommit = c.commit
	return a
}

// Persisted reports that the durable parts of the last Actions are on disk.
func (c *Core) Persisted() {
	c.stableIndex = c.log.last()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact records data, the state of the state machine after the entry at
// index, as the newest snapshot. Take must have returned that entry as
// committed. Compact drops older entries except for the last keep before the
// snapshot.
func (c *Core) Compact(index Index, data []byte, keep Index) Snapshot {
	t, _ := c.log.term(index)
	s := Snapshot{Index: index, Term: t, Members: c.log.membersUpTo(index), Data: data}
	c.log.compact(s, keep)
	return s
}

// EntriesAfter returns the entries after index, for rewriting the log file.
func (c *Core) EntriesAfter(index Index) []Entry {
	return c.log.slice(index+1, c.log.last(), len(c.log.entries))
}

func (c *Core) resetTimeout() {
	c.electionElapsed = 0
	// xorshift64 (Marsaglia 2003) is random enough to spread the replicas'
	// timeouts.
	c.random ^= c.random << 13
	c.random ^= c.random >> 7
	c.random ^= c.random << 17
	c.electionTimeout = c.config.ElectionTicks + int(c.random%uint64(c.config.ElectionTicks))
	if !c.hasSeenLeader {
		// No leader has been seen since the start, for example after all replicas
		// lost power at once. A short timeout soon repeats an election whose votes
		// were split. It doesn't disturb an active leader, since the leader's
		// followers reject the pre-vote.
		c.electionTimeout = 1 + int(c.random%uint64(c.config.ElectionTicks/2+1))
	}
}

func (c *Core) send(m Message) {
	m.From = c.config.Self
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// majority returns the highest value that a majority of voters has reached, 0
// without voters.
func majority[T ~uint64](voters []core.VM, value func(core.VM) T) T {
	if len(voters) == 0 {
		return 0
	}
	values := make([]T, 0, len(voters))
	for _, vm := range voters {
		values = append(values, value(vm))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
