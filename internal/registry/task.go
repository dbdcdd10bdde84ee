// Package registry replicates the accepted configuration over a few voters and
// orders its changes. Decisions: machine.go and pending.go, and package raft.
// Tasks: task.go is the interface of the task that owns raft core, storage and
// state machine, task_replica.go its loop, task_read.go its reads, task_peer.go
// a task for each other member, task_propose.go what runs on a caller's goroutine.
package registry

import (
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

	electionTicks  = 6 // 0.6 s to 1.2 s without a leader start an election
	heartbeatTicks = 2
	refreshTicks   = 10 // between proofs that this replica is up to date
	maxEntries     = 512
	deliverTimeout = 400 * time.Millisecond

	snapshotEvery = 8192 // entries, by default
)

// Transport carries messages and questions to other members.
type Transport interface {
	// Send delivers raft messages in order, or loses them, and returns what the
	// other member answers at once.
	Send(ctx context.Context, to raft.Member, messages []raft.Message) ([]raft.Message, error)
	// Propose asks the leader at a member for one command.
	Propose(ctx context.Context, to raft.Member, command []byte) (core.Version, error)
	// ChangeMember asks the leader at a member for one change.
	ChangeMember(ctx context.Context, to raft.Member, change MemberChange) error
}

// Options are the parts of a Task.
type Options struct {
	Self      core.VM
	Members   raft.Members      // first members, used while the storage is empty; empty on one that joins
	Bootstrap *config.Bootstrap // first change, proposed while there is none; may be nil
	Files     storage.Files
	Codec     configsync.Codec
	Transport Transport
	Snapshots int                      // entries between two snapshots; 0: 8192
	Seed      uint64                   // of the election timeouts, different on each voter
	Changed   func(configsync.Update)  // called from the task's goroutine; must not wait
	Report    func(event, text string) // of leaders and members, for the log; must not wait
}

// Task owns one replica of the registry.
type Task struct {
	options Options
	mailbox task.Mailbox[message]
	state   task.Snapshot[config.State]
	opened  *opened // by NewTask, for the first run
}

type opened struct {
	store  *storage.Store
	stored raft.Stored
}

// NewTask opens the storage and returns a task that is not running yet.
// Damaged storage is result.StorageCorrupt.
func NewTask(o Options) (*Task, error) {
	if o.Snapshots == 0 {
		o.Snapshots = snapshotEvery
	}
	first, err := openStorage(o)
	if err != nil {
		return nil, err
	}
	return &Task{
		options: o,
		mailbox: task.NewMailbox[message]("registry", mailboxSize),
		state:   task.NewSnapshot(config.NewState()),
		opened:  first,
	}, nil
}

// openStorage opens the storage. An empty one is given the first members: from
// then on the settings' list of voters has no effect.
func openStorage(o Options) (*opened, error) {
	store, stored, err := storage.Open(o.Files)
	if err != nil {
		return nil, err
	}
	empty := stored.HardState == (raft.HardState{}) && len(stored.Entries) == 0 &&
		stored.Snapshot.Index == 0 && len(stored.Snapshot.Members) == 0
	if empty && len(o.Members) > 0 {
		stored.Snapshot.Members = o.Members
		if err := store.Replace(stored.Snapshot, nil); err != nil {
			return nil, fmt.Errorf("store the first members: %w", err)
		}
	}
	return &opened{store, stored}, nil
}

// State publishes the newest state that was once proved to be the newest.
func (t *Task) State() task.Snapshot[config.State] { return t.state }

// Current returns the state that State publishes.
func (t *Task) Current() *config.State { return t.state.Load() }

// Deliver hands over messages from another member and returns the messages to
// it that they cause at once, which saves a call back. What does not fit into
// the mailbox is lost, as on the network.
func (t *Task) Deliver(ctx context.Context, from raft.Member, messages []raft.Message) []raft.Message {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	answers, _ := task.Ask(ctx, t.mailbox, func(r task.Reply[[]raft.Message]) message {
		return inbound{from, messages, r}
	})
	return answers
}

// Status returns what this replica knows of the registry.
func (t *Task) Status(ctx context.Context) (raft.Status, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[raft.Status]) message { return statusQuestion{r} })
}

// message is one of the messages to the task.
type message interface{ isMessage() }

type (
	inbound struct {
		from     raft.Member
		messages []raft.Message
		reply    task.Reply[[]raft.Message] // nil: the sender does not wait
	}
	proposal struct {
		command []byte
		reply   task.Reply[answer]
	}
	memberProposal struct {
		change MemberChange
		reply  task.Reply[answer]
	}
	reachQuestion struct {
		version core.Version
		reply   task.Reply[answer]
	}
	readQuestion   struct{ reply task.Reply[answer] }
	statusQuestion struct{ reply task.Reply[raft.Status] }
)

func (inbound) isMessage()        {}
func (proposal) isMessage()       {}
func (memberProposal) isMessage() {}
func (reachQuestion) isMessage()  {}
func (readQuestion) isMessage()   {}
func (statusQuestion) isMessage() {}

// answer is the answer to a proposal or a read.
type answer struct {
	version core.Version
	err     error
	leader  raft.Member // set with err, if another member leads: ask there
}
