// Package raft implements the Raft consensus algorithm for one replica of the
// registry's log: leader election, log replication, commitment, linearizable
// reads and membership changes. It follows "In Search of an Understandable
// Consensus Algorithm" (Ongaro, Ousterhout 2014) and Ongaro's thesis (2014),
// sections 3, 4, 6.4 and 9.6.
//
// The package is a deterministic state machine without I/O: its inputs are
// messages, ticks and a seed, its outputs are Actions. Package registry runs
// it in a task, and package storage persists its state.
package raft

import (
	"cmp"
	"errors"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Term is the number of an election. A term has at most one leader.
type Term uint64

// Index is a position in the log. The first entry has index 1.
type Index uint64

// Member is one replica of the log.
type Member struct {
	VM      core.VM
	Address string // host:port of its inner listener
	Learner bool   // receives the log but doesn't vote and counts in no majority
}

// Members is the set of replicas, sorted by VM.
type Members []Member

// Find returns the member on the given VM and whether there is one.
func (m Members) Find(vm core.VM) (Member, bool) {
	i := slices.IndexFunc(m, func(o Member) bool { return o.VM == vm })
	if i < 0 {
		return Member{}, false
	}
	return m[i], true
}

// Sorted returns a copy of the members, sorted by VM.
func (m Members) Sorted() Members {
	return slices.SortedFunc(slices.Values(m), func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
}

// IsVoter reports whether a VM is a voting member.
func (m Members) IsVoter(vm core.VM) bool {
	member, ok := m.Find(vm)
	return ok && !member.Learner
}

// Voters returns the VMs of the voting members, which majorities are computed from.
func (m Members) Voters() []core.VM {
	var voters []core.VM
	for _, o := range m {
		if !o.Learner {
			voters = append(voters, o.VM)
		}
	}
	return voters
}

// EntryKind is the type of a log entry's payload.
type EntryKind uint8

// The kinds of entries. The numbers are stored on disk: never reuse one.
const (
	EntryEmpty   EntryKind = 0 // first entry of a new leader, without a payload
	EntryCommand EntryKind = 1 // Data is a command for the state machine
	EntryMembers EntryKind = 2 // Members is the new set of replicas
)

// Entry is one entry of the log.
type Entry struct {
	Index   Index
	Term    Term
	Kind    EntryKind
	Data    []byte
	Members Members
}

// HardState is the state that must be durable before any message that depends
// on it is sent.
type HardState struct {
	Term Term
	Vote core.VM // the candidate voted for in Term; empty if none
}

// Snapshot is the state of the state machine after it applied the entry at
// Index.
type Snapshot struct {
	Index   Index
	Term    Term
	Members Members
	Data    []byte
}

// StoredState is the durable state that a replica starts from.
type StoredState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // after Snapshot.Index, without gaps
}

// MessageType is the type of a message. The numbers are sent between daemons:
// never reuse one.
type MessageType uint8

// The types of messages.
const (
	PreVote         MessageType = 1
	PreVoteReply    MessageType = 2
	Vote            MessageType = 3
	VoteReply       MessageType = 4
	Append          MessageType = 5
	AppendReply     MessageType = 6
	Heartbeat       MessageType = 7
	HeartbeatReply  MessageType = 8
	InstallSnapshot MessageType = 9
	TimeoutNow      MessageType = 10
	Read            MessageType = 11
	ReadReply       MessageType = 12
)

// Message is sent from one replica to another. Which fields are set depends on
// Type.
type Message struct {
	Type         MessageType
	From, To     core.VM
	Term         Term
	LogIndex     Index // Append: index before Entries; votes: candidate's last index; AppendReply: last matching or rejected index; ReadReply: read index
	LogTerm      Term
	Entries      []Entry
	Commit       Index
	Reject       bool
	ConflictHint Index  // AppendReply with Reject: the highest index that can still match
	Transfer     bool   // votes: the leader started this election to transfer its leadership
	Sequence     uint64 // heartbeats: newest read request covered; reads: id chosen by the requester
	Lazy         bool   // Read: may wait for the next periodic heartbeat
	Snapshot     *Snapshot
}

// ReadState confirms a read request: a state machine that has applied Index
// reflects every change that was acknowledged before the read was requested.
type ReadState struct {
	ID    uint64
	Index Index
}

// Actions are the side effects that the owner of a Core must carry out, in the
// order of the fields. HardState, Snapshot and Entries must be durable before
// any of Messages is sent and before Persisted is called. The exception is an
// Append, which may be sent earlier if HardState is nil.
type Actions struct {
	HardState *HardState
	Snapshot  *Snapshot // replaces the state machine and the log; Entries come after it
	Entries   []Entry   // replace the stored log from Entries[0].Index on
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Empty reports whether there is nothing to do.
func (a Actions) Empty() bool {
	return a.HardState == nil && len(a.Entries) == 0 && a.Snapshot == nil &&
		len(a.Messages) == 0 && len(a.Committed) == 0 && len(a.Reads) == 0
}

// Errors of rejected requests. A rejected request leaves the log unchanged.
var (
	ErrNotLeader          = errors.New("this replica is not the leader")
	ErrTransferring       = errors.New("a leadership transfer is in progress")
	ErrTooManyUncommitted = errors.New("too many uncommitted entries")
	ErrChangePending      = errors.New("another membership change is not committed yet")
	ErrNotCaughtUp        = errors.New("the learner has not caught up with the log")
	ErrInvalidChange      = errors.New("the membership change does not apply to the current members")
	ErrNotReady           = errors.New("the leader has not committed an entry of its own term yet")
)
