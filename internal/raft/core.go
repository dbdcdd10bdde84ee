package raft

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Role is what a replica does in its term.
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

// maxBacklog bounds the entries that a leader holds uncommitted.
const maxBacklog = 16384

// Config holds what stays the same while a replica runs.
type Config struct {
	Self           core.VM
	ElectionTicks  int    // a follower waits this to twice this many ticks for a leader
	HeartbeatTicks int    // between a leader's heartbeats; well below ElectionTicks
	MaxEntries     int    // in one Append
	Seed           uint64 // of the election timeouts; different on each replica
}

// Core is one replica. Its owner alone calls it.
//
// Invariants: term and commit never decrease; a replica votes once a term; a
// leader only appends to its log; entries up to commit are on the disks of a
// majority and never change.
type Core struct {
	config Config
	random uint64

	term Term
	vote core.VM
	sent HardState // newest that Actions carried
	log  *entryLog

	role   Role
	leader core.VM
	// metLeader: some replica led while this one ran.
	metLeader bool
	commit    Index
	handed    Index // newest entry that Actions carried as committed

	elapsed int // ticks since the leader was heard, or since a leader's quorum check
	beat    int // ticks since a leader's heartbeat
	timeout int // ticks of this election timeout
	votes   map[core.VM]bool
	peers   map[core.VM]*progress // leader only; every other member
	stable  Index                 // newest own entry on disk

	transferee   core.VM
	reads        []pendingRead
	readSequence uint64

	// Both are paid by the next Take, once for all that was asked before it.
	appendDue    bool
	heartbeatDue bool

	out Actions
}

// New returns a follower with what storage held.
func New(config Config, stored Stored) *Core {
	c := &Core{
		config: config, random: config.Seed | 1,
		term: stored.HardState.Term, vote: stored.HardState.Vote, sent: stored.HardState,
		log:    newLog(stored),
		commit: stored.Snapshot.Index, handed: stored.Snapshot.Index,
	}
	c.stable = c.log.last()
	c.resetTimeout()
	return c
}

// Status is what a replica shows of itself.
type Status struct {
	Self    core.VM
	Role    Role
	Term    Term
	Leader  core.VM // empty: unknown
	Commit  Index
	Last    Index
	Members Members
	Match   map[core.VM]Index // leader only: newest entry known on each peer's disk
	Silent  map[core.VM]int   // leader only: ticks since each peer was heard
}

// Status returns the present status.
func (c *Core) Status() Status {
	s := Status{
		Self: c.config.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Commit: c.commit, Last: c.log.last(), Members: c.log.members(),
	}
	if c.role == Leader {
		s.Match = map[core.VM]Index{c.config.Self: c.stable}
		s.Silent = map[core.VM]int{}
		for vm, p := range c.peers {
			s.Match[vm], s.Silent[vm] = p.match, p.silent
		}
	}
	return s
}

// Leader returns the leader of the present term, empty if unknown.
func (c *Core) Leader() core.VM { return c.leader }

// IsLeader reports whether this replica leads. Only a read proves that it
// still does.
func (c *Core) IsLeader() bool { return c.role == Leader }

// Members is the newest set of replicas in the log.
func (c *Core) Members() Members { return c.log.members() }

// SnapshotIndex is the index of the newest snapshot.
func (c *Core) SnapshotIndex() Index { return c.log.snapshot.Index }

// Term is the present term.
func (c *Core) Term() Term { return c.term }

// Tick tells that one tick of time passed.
func (c *Core) Tick() {
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.mayCampaign() {
		c.campaign(PreVote)
	}
}

// Campaign starts an election at once; a sole voter wins it.
func (c *Core) Campaign() {
	if c.role != Leader && c.mayCampaign() {
		c.campaign(PreVote)
	}
}

// Take returns what is owed since the last call. The caller makes the durable
// parts durable and calls Persisted before it steps the Core again.
func (c *Core) Take() Actions {
	c.flush()
	a := c.out
	c.out = Actions{}
	if now := (HardState{c.term, c.vote}); now != c.sent {
		c.sent = now
		a.HardState = &now
	}
	a.Entries = c.log.slice(c.log.unstable, c.log.last(), len(c.log.entries))
	c.log.unstable = c.log.last() + 1
	a.Committed = c.log.slice(c.handed+1, c.commit, len(c.log.entries))
	c.handed = c.commit
	return a
}

// Persisted tells that the durable parts of the last Actions are on disk.
func (c *Core) Persisted() {
	c.stable = c.log.last()
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Compact tells that the state machine saved data after the entry at index,
// which must have been handed out. Entries well before it are dropped.
func (c *Core) Compact(index Index, data []byte, keep Index) Snapshot {
	t, _ := c.log.term(index)
	s := Snapshot{Index: index, Term: t, Members: c.log.membersUpTo(index), Data: data}
	c.log.compact(s, keep)
	return s
}

// EntriesAfter returns the entries after index, for a log file that is
// written anew.
func (c *Core) EntriesAfter(index Index) []Entry {
	return c.log.slice(index+1, c.log.last(), len(c.log.entries))
}

func (c *Core) resetTimeout() {
	c.elapsed = 0
	// xorshift64 (Marsaglia 2003): enough to keep replicas apart.
	c.random ^= c.random << 13
	c.random ^= c.random >> 7
	c.random ^= c.random << 17
	c.timeout = c.config.ElectionTicks + int(c.random%uint64(c.config.ElectionTicks))
	if !c.metLeader {
		// Nobody is known to lead: after a loss of all replicas at once a vote
		// that was split is repeated soon. A live leader is not disturbed, since
		// its followers refuse the pre-vote.
		c.timeout = 1 + int(c.random%uint64(c.config.ElectionTicks/2+1))
	}
}

func (c *Core) send(m Message) {
	m.From = c.config.Self
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out.Messages = append(c.out.Messages, m)
}

// majority returns the value that a majority of voters has reached.
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
