package registry

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/storage"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	maxBatch    = 1024 // one less than the maximum number of messages whose results are synced to disk together
	stopTimeout = 300 * time.Millisecond

	// A snapshot keeps Options.SnapshotEntries/retainedDivisor of the entries before it
	// in the log, for members that are slightly behind.
	retainedDivisor = 4

	// storageRetryPeriod is the time between two attempts to open a storage that
	// failed, such as one on a full disk.
	storageRetryPeriod = 250 * time.Millisecond
)

// replica is the state of one run of the task. Each run starts from the stored
// state.
type replica struct {
	options        Options
	state          task.Snapshot[config.State]
	mailbox        task.Mailbox[message]
	store          *storage.Store
	core           *raft.Core
	machine        machine
	pending        map[raft.Index]pending
	reads          map[uint64]*read
	readID         uint64
	versionWaiters []*versionWaiter
	peers          map[core.VM]*peer
	deliveries     []*delivery
	lastSender     raft.Member // sender of the newest message: a joining VM replies to it before it knows the members

	confirmedAt   time.Time // latest time at which the state was confirmed to be up to date
	refreshReadID uint64    // id of the task's own read that renews confirmedAt; 0: none
	ticks         int
	leader        core.VM
	members       string
	bootstrapTerm raft.Term // term in which Options.Bootstrap was last proposed
}

// pending is a proposal that waits until its index is committed.
type pending struct {
	term  raft.Term
	reply task.Reply[answer]
}

// Serve runs the replica until ctx ends, then transfers the leadership if it is
// the leader. While the storage fails, it rejects all messages at once and opens
// the storage again from time to time: after a failed write only reading it again
// shows what it holds.
func (t *Task) Serve(ctx context.Context) error {
	for failed := false; ; failed = true {
		err := t.run(ctx, failed)
		if result.CodeOf(err) != result.StorageFailed || ctx.Err() != nil {
			return err
		}
		if !failed {
			t.options.OnEvent("storage", err.Error())
		}
		rejectFor(ctx, t.mailbox, storageRetryPeriod, unavailable(err))
	}
}

// run runs the replica until ctx ends or the storage fails.
func (t *Task) run(ctx context.Context, storageFailed bool) error {
	opened := t.openedStorage
	t.openedStorage = nil
	if opened == nil {
		var err error
		if opened, err = openStorage(t.options); err != nil {
			return err
		}
	}
	defer func() { _ = opened.store.Close() }()
	if storageFailed {
		t.options.OnEvent("storage", "opened again after a failure")
	}
	r, err := t.newReplica(opened)
	if err != nil {
		return err
	}
	peersCtx, stopPeers := context.WithCancel(context.WithoutCancel(ctx))
	defer r.stopPeers(stopPeers)
	r.refreshReadID = r.startRead(nil)
	r.core.Campaign()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		if err := r.process(peersCtx); err != nil {
			r.rejectOutstanding(t.mailbox, unavailable(err))
			return err
		}
		select {
		case <-ctx.Done():
			r.transferLeadership(peersCtx)
			r.rejectOutstanding(t.mailbox, result.New(result.Stopping, "the registry replica on this VM is stopping"))
			return ctx.Err()
		case <-ticker.C:
			r.tick()
		case m := <-t.mailbox.C():
			r.handleBatch(m, t.mailbox)
		}
	}
}

func (t *Task) newReplica(opened *openedStorage) (*replica, error) {
	seed := t.options.Seed ^ uint64(time.Now().UnixNano())
	r := &replica{
		options: t.options, state: t.state, mailbox: t.mailbox, store: opened.store,
		core: raft.New(raft.Config{
			Self: t.options.Self, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxEntries: maxAppendEntries, MaxBytes: maxAppendBytes, Seed: seed,
		}, opened.stored),
		machine: machine{codec: t.options.Codec},
		pending: map[raft.Index]pending{}, reads: map[uint64]*read{}, readID: seed,
		peers: map[core.VM]*peer{},
	}
	return r, r.machine.load(opened.stored.Snapshot)
}

// handleBatch handles m and the messages queued behind it, so that one disk sync
// covers all of them.
func (r *replica) handleBatch(m message, mailbox task.Mailbox[message]) {
	for range maxBatch {
		r.handle(m)
		select {
		case m = <-mailbox.C():
		default:
			return
		}
	}
	r.handle(m)
}

func (r *replica) handle(m message) {
	switch m := m.(type) {
	case inbound:
		r.lastSender = m.from
		if m.reply != nil {
			r.deliveries = append(r.deliveries, &delivery{from: m.from.VM, reply: m.reply})
		}
		for _, raftMessage := range m.messages {
			r.core.Step(raftMessage)
		}
	case proposal:
		index, term, err := r.core.Propose(m.command)
		r.trackProposal(index, term, err, m.reply)
	case memberProposal:
		index, term, err := m.change.propose(r.core)
		r.trackProposal(index, term, err, m.reply)
	case versionWaitRequest:
		r.versionWaiters = append(r.versionWaiters, &versionWaiter{request: m})
		r.answerVersionWaiters()
	case readRequest:
		r.startRead(m.reply)
	case statusRequest:
		m.reply.Answer(statusAnswer{status: r.core.Status()})
	}
}

// trackProposal answers a rejected proposal at once. Any other is answered when
// its index is committed.
func (r *replica) trackProposal(index raft.Index, term raft.Term, err error, reply task.Reply[answer]) {
	if err != nil {
		a := answer{err: proposalError(err)}
		if !r.core.IsLeader() {
			a.leader, _ = r.core.Members().Find(r.core.Leader())
		}
		reply.Answer(a)
		return
	}
	r.answerUnknown(index) // a proposal of an earlier term at this index, whose entry was overwritten
	r.pending[index] = pending{term, reply}
}

// answerUnknown answers a proposal whose outcome this replica will not learn.
func (r *replica) answerUnknown(index raft.Index) {
	if p, ok := r.pending[index]; ok {
		delete(r.pending, index)
		p.reply.Answer(answer{err: result.New(result.CommitUnknown, "leadership was lost before index %d was committed", index)})
	}
}

// process carries out the core's actions until there are none left.
func (r *replica) process(ctx context.Context) error {
	for {
		r.bootstrap()
		a := r.core.Take()
		if a.Empty() {
			r.answerDeliveries()
			r.reportChanges()
			return nil
		}
		if a.HardState == nil {
			// Send appends first, so that the followers write to disk in parallel
			// with this replica. The leader counts itself towards the majority only
			// after its own write is synced (Ongaro's thesis, section 10.2.1).
			a.Messages = r.sendAppends(a.Messages)
		}
		if err := r.store.Save(a); err != nil {
			return err
		}
		r.core.Persisted()
		if a.Snapshot != nil {
			if err := r.install(*a.Snapshot); err != nil {
				return err
			}
		}
		r.syncPeers(ctx)
		r.send(a.Messages)
		if err := r.apply(a.Committed); err != nil {
			return err
		}
		r.completeReads(a.Reads)
	}
}

func (r *replica) install(s raft.Snapshot) error {
	if err := r.machine.load(s); err != nil {
		return err
	}
	for index := range r.pending {
		if index <= s.Index {
			r.answerUnknown(index)
		}
	}
	r.publish(nil, true)
	return nil
}

func (r *replica) apply(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	outcomes, accepted, err := r.machine.apply(entries)
	if err != nil {
		return err
	}
	if len(accepted) > 0 {
		r.publish(accepted, true)
	}
	for _, o := range outcomes {
		if p, ok := r.pending[o.index]; ok {
			delete(r.pending, o.index)
			a, err := proposalAnswer(p.term, o)
			a.err = err
			p.reply.Answer(a)
		}
	}
	return r.compact()
}

// publish publishes the state if it changed, and passes it to Options.OnUpdate
// together with the newest confirmation time. It does nothing before the first
// confirmed read of a run.
func (r *replica) publish(accepted []configsync.AcceptedCommand, changed bool) {
	if r.confirmedAt.IsZero() {
		return
	}
	if changed && r.machine.state.Version >= r.state.Load().Version {
		r.state.Publish(r.machine.state)
		r.answerVersionWaiters()
	}
	r.options.OnUpdate(configsync.Update{
		State: r.machine.state, Commands: accepted, ConfirmedAt: r.confirmedAt, Confirmed: true,
	})
}

// compact saves a snapshot if enough entries were applied since the last one.
func (r *replica) compact() error {
	if r.machine.index < r.core.SnapshotIndex()+raft.Index(r.options.SnapshotEntries) {
		return nil
	}
	data, err := r.options.Codec.EncodeState(r.machine.state)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", r.machine.index, err)
	}
	s := r.core.Compact(r.machine.index, data, raft.Index(r.options.SnapshotEntries/retainedDivisor))
	return r.store.ReplaceSnapshot(s, r.core.EntriesAfter(s.Index))
}

// bootstrap proposes the initial change, once per term, while the configuration
// is empty.
func (r *replica) bootstrap() {
	initial := r.options.Bootstrap
	if initial == nil || !r.core.IsLeader() || r.machine.state.Version != 0 || r.bootstrapTerm == r.core.Term() {
		return
	}
	r.bootstrapTerm = r.core.Term()
	data, err := r.options.Codec.EncodeCommand(config.Command{RequestID: "bootstrap", Change: *initial})
	if err != nil {
		r.options.OnEvent("bootstrap", err.Error())
		return
	}
	_, _, _ = r.core.Propose(data) // if rejected, it is proposed again in the next term
}

// reportChanges reports a new leader and new members. Package daemon matches the
// start of the leader's text.
func (r *replica) reportChanges() {
	if leader := r.core.Leader(); leader != r.leader {
		r.leader = leader
		r.options.OnEvent("leader", fmt.Sprintf("%q leads the registry in term %d", leader, r.core.Term()))
	}
	var names []string
	for _, m := range r.core.Members() {
		name := string(m.VM)
		if m.Learner {
			name += " (learner)"
		}
		names = append(names, name)
	}
	if members := strings.Join(names, ", "); members != r.members {
		r.members = members
		r.options.OnEvent("members", members)
	}
}

// transferLeadership passes the leadership to another voter before this replica
// stops, if it is the leader.
func (r *replica) transferLeadership(ctx context.Context) {
	r.core.TransferLeadership()
	a := r.core.Take()
	if r.store.Save(a) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for _, m := range a.Messages {
		if to, ok := r.core.Members().Find(m.To); ok && m.Type == raft.TimeoutNow {
			_, _ = r.options.Transport.Send(ctx, to, []raft.Message{m})
		}
	}
}
