// Package raft decides for one replica of the registry's log: elections,
// replication, commitment, reads and membership, after "In Search of an
// Understandable Consensus Algorithm" (Ongaro, Ousterhout 2014) and Ongaro's
// thesis (2014), sections 3, 4, 6.4 and 9.6. It is a decisions layer only:
// messages, ticks and a seed come in, Actions go out. Package registry holds
// the task, package storage the disk.
package raft

import (
	"cmp"
	"errors"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Term counts elections. At most one replica leads in each term.
type Term uint64

// Index is a position in the log, from 1.
type Index uint64

// Member is one replica of the log.
type Member struct {
	VM      core.VM
	Address string // host:port of its inner listener
	Learner bool   // receives the log, counts in no majority
}

// Members is the set of replicas, sorted by VM.
type Members []Member

// Find returns the member of a VM.
func (m Members) Find(vm core.VM) (Member, bool) {
	i := slices.IndexFunc(m, func(o Member) bool { return o.VM == vm })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Sorted returns the members in the order of their VMs.
func (m Members) Sorted() Members {
	return slices.SortedFunc(slices.Values(m), func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
}

// IsVoter reports whether a VM counts in majorities.
func (m Members) IsVoter(vm core.VM) bool {
	member, ok := m.Find(vm)
	return ok && !member.Learner
}

// Voters returns the members that count in majorities.
func (m Members) Voters() []core.VM {
	var voters []core.VM
	for _, o := range m {
		if !o.Learner {
			voters = append(voters, o.VM)
		}
	}
	return voters
}

// EntryKind says what an entry carries.
type EntryKind uint8

// The kinds of entries. Numbers are stored on disk and never reused.
const (
	EntryEmpty   EntryKind = 0 // a new leader's first entry
	EntryCommand EntryKind = 1 // Data is one command of the state machine
	EntryMembers EntryKind = 2 // Members replaces the set of replicas
)

// Entry is one position of the log.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte
	Members Members
}

// HardState must be durable before a message that depends on it leaves.
type HardState struct {
	Term Term
	Vote core.VM // empty: no vote in Term
}

// Snapshot is the state machine after the entry at Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Members
	Data    []byte
}

// Stored is what storage holds when a replica starts.
type Stored struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // after Snapshot.Index, without gaps
}

// MessageType says what a message asks or answers. Numbers travel between
// daemons and are never reused.
type MessageType uint8

// The types of messages.
const (
	PreVote        MessageType = 1
	PreVoteReply   MessageType = 2
	Vote           MessageType = 3
	VoteReply      MessageType = 4
	Append         MessageType = 5
	AppendReply    MessageType = 6
	Heartbeat      MessageType = 7
	HeartbeatReply MessageType = 8
	InstallSnap    MessageType = 9
	TimeoutNow     MessageType = 10
	Read           MessageType = 11
	ReadReply      MessageType = 12
)

// Message goes from one replica to another. A type uses the fields it needs.
type Message struct {
	Type     MessageType
	From, To core.VM
	Term     Term
	LogIndex Index // Append: entry before Entries; votes: candidate's last; replies: last matching, or rejected
	LogTerm  Term
	Entries  []Entry
	Commit   Index
	Reject   bool
	Hint     Index  // AppendReply with Reject: where to try next
	Transfer bool   // votes: the leader asked for this election
	Sequence uint64 // heartbeats: round of reads; reads: the asker's id
	Lazy     bool   // Read: it may wait for the next heartbeat
	Snapshot *Snapshot
}

// ReadState confirms a read: a state machine that applied Index is at least as
// new as every change answered before the read was asked.
type ReadState struct {
	ID    uint64
	Index Index
}

// Actions are what the owner of a Core must do, in the order of the fields.
// HardState, Entries and Snapshot must be durable before any Message leaves
// and before Persisted is called; an Append may leave earlier if HardState is
// nil.
type Actions struct {
	HardState *HardState
	Snapshot  *Snapshot // replaces state machine and log; Entries follow it
	Entries   []Entry   // replace the stored log from Entries[0].Index
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Empty reports whether nothing is owed.
func (a Actions) Empty() bool {
	return a.HardState == nil && len(a.Entries) == 0 && a.Snapshot == nil &&
		len(a.Messages) == 0 && len(a.Committed) == 0 && len(a.Reads) == 0
}

// Refusals. After each of them the log is as it was before.
var (
	ErrNotLeader     = errors.New("this replica does not lead")
	ErrTransferring  = errors.New("leadership is being handed over")
	ErrBacklog       = errors.New("too many uncommitted entries")
	ErrChangePending = errors.New("another change of membership is not committed yet")
	ErrNotCaughtUp   = errors.New("the learner has not caught up with the log")
	ErrInvalidChange = errors.New("the change of membership does not apply")
	ErrNotReady      = errors.New("the leader has committed nothing in its term yet")
)
