// Package registry replicates the accepted configuration over a few voters and
// puts its changes into one order.
//
// The decisions are in machine.go, pending.go and package raft. One task owns the
// raft core, the storage and the state machine: task.go is its interface,
// task_replica.go its main loop, task_read.go its handling of reads, and
// task_reject.go its answers while it can't serve. task_peer.go is the task that
// sends to one other member, and task_propose.go has the client functions, which run
// on the caller's goroutine.
package registry

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/storage"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 4096
	tickPeriod  = 100 * time.Millisecond

	electionTicks    = 6         // a follower starts an election after 0.6 s to 1.2 s without a leader
	heartbeatTicks   = 2         // the leader sends a heartbeat every 0.2 s
	refreshTicks     = 7         // ticks between two reads that confirm that this replica is up to date
	maxAppendEntries = 512       // in one Append message
	maxAppendBytes   = 512 << 10 // in one Append message and in one call; a small part of sendTimeout on the link of a control VM
	deliverTimeout   = 400 * time.Millisecond

	defaultSnapshotEntries = 8192 // default number of entries between two snapshots
)

// Transport sends raft messages and requests to other members.
type Transport interface {
	// Send delivers raft messages in order, or loses them. It returns the messages
	// that the other member sends in immediate reply.
	Send(ctx context.Context, to raft.Member, messages []raft.Message) ([]raft.Message, error)
	// Propose makes one attempt to propose a command at a member, the leader.
	Propose(ctx context.Context, to raft.Member, command []byte) (core.Version, error)
	// ChangeMember makes one attempt to change the members at a member, the leader.
	ChangeMember(ctx context.Context, to raft.Member, change MemberChange) error
}

// Options configures a Task.
type Options struct {
	Self            core.VM
	Members         raft.Members      // initial members, used only while the storage is empty; empty on a VM that joins later
	Bootstrap       *config.Bootstrap // initial change, proposed while the configuration is empty; may be nil
	Files           storage.FileSystem
	Codec           configsync.Codec
	Transport       Transport
	SnapshotEntries int                      // number of entries between two snapshots; 0 means 8192
	Seed            uint64                   // seed of the random election timeouts; must differ between voters
	OnUpdate        func(configsync.Update)  // called on the task's goroutine; must not block
	OnEvent         func(event, text string) // called for a new leader, new members, a failed bootstrap and a failed storage; must not block
}

// Task owns one replica of the registry.
type Task struct {
	options       Options
	mailbox       task.Mailbox[message]
	state         task.Snapshot[config.State]
	openedStorage *openedStorage // storage opened by NewTask, used by the first run of Serve
}

type openedStorage struct {
	store  *storage.Store
	stored raft.StoredState
}

// NewTask opens the storage and returns a task that is not running yet. The error
// for damaged storage is result.StorageCorrupt.
func NewTask(o Options) (*Task, error) {
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	opened, err := openStorage(o)
	if err != nil {
		return nil, err
	}
	return &Task{
		options:       o,
		mailbox:       task.NewMailbox[message]("registry", mailboxSize),
		state:         task.NewSnapshot(config.NewState()),
		openedStorage: opened,
	}, nil
}

// openStorage opens the storage. It stores the initial members in an empty
// storage. After that the list of voters in the settings has no effect.
func openStorage(o Options) (*openedStorage, error) {
	store, stored, err := storage.Open(o.Files)
	if err != nil {
		return nil, err
	}
	empty := stored.HardState == (raft.HardState{}) && len(stored.Entries) == 0 &&
		stored.Snapshot.Index == 0 && len(stored.Snapshot.Members) == 0
	if empty && len(o.Members) > 0 {
		stored.Snapshot.Members = o.Members
		if err := store.ReplaceSnapshot(stored.Snapshot, nil); err != nil {
			return nil, fmt.Errorf("store the initial members: %w", err)
		}
	}
	return &openedStorage{store, stored}, nil
}

// State returns the published configuration state. A run publishes a state only
// after a confirmed read has shown that this replica is up to date.
func (t *Task) State() task.Snapshot[config.State] { return t.state }

// Current returns the state that is currently published.
func (t *Task) Current() *config.State { return t.state.Load() }

// Deliver passes messages from another member to the replica. It returns the
// messages that the replica sends in immediate reply, which saves a call in the
// other direction. Messages are lost if the mailbox is full.
func (t *Task) Deliver(ctx context.Context, from raft.Member, messages []raft.Message) []raft.Message {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	answers, _ := task.Ask(ctx, t.mailbox, func(r task.Reply[[]raft.Message]) message {
		return inbound{from, messages, r}
	})
	return answers
}

// Status returns this replica's view of the registry.
func (t *Task) Status(ctx context.Context) (raft.Status, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[statusAnswer]) message { return statusRequest{r} })
	return a.status, cmp.Or(err, a.err)
}

// message is a message to the task.
type message interface{ isMessage() }

type (
	inbound struct {
		from     raft.Member
		messages []raft.Message
		reply    task.Reply[[]raft.Message] // nil: the sender does not wait for replies
	}
	proposal struct {
		command []byte
		reply   task.Reply[answer]
	}
	memberProposal struct {
		change MemberChange
		reply  task.Reply[answer]
	}
	versionWaitRequest struct {
		version core.Version
		reply   task.Reply[answer]
	}
	readRequest   struct{ reply task.Reply[answer] }
	statusRequest struct{ reply task.Reply[statusAnswer] }
)

func (inbound) isMessage()            {}
func (proposal) isMessage()           {}
func (memberProposal) isMessage()     {}
func (versionWaitRequest) isMessage() {}
func (readRequest) isMessage()        {}
func (statusRequest) isMessage()      {}

// answer is the reply to a proposal, a read or a wait for a version.
type answer struct {
	version core.Version
	err     error
	leader  raft.Member // set along with err if another member is the leader, which the caller should ask
}

type statusAnswer struct {
	status raft.Status
	err    error
}
