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
	maxBatch    = 1024 // messages handled before their parts are made durable together
	stopTimeout = 300 * time.Millisecond

	// keptDivisor: this part of the entries before a snapshot stays in memory for
	// members that are a little behind.
	keptDivisor = 4
)

// replica is the state of one run of the task. A run starts from the disk.
type replica struct {
	options    Options
	state      task.Snapshot[config.State]
	mailbox    task.Mailbox[message]
	store      *storage.Store
	core       *raft.Core
	machine    machine
	pending    map[raft.Index]pending
	reads      map[uint64]*read
	readID     uint64
	waiters    []*reachWaiter
	peers      map[core.VM]*peer
	deliveries []*delivery
	contact    raft.Member // newest sender: one that joins must answer before it knows the members

	confirmedAt time.Time // the state was the newest then
	refresh     uint64    // id of the read that proves it again; 0: none
	ticks       int
	leader      core.VM
	members     string
	proposedIn  raft.Term // term in which the bootstrap was proposed
}

type pending struct {
	term  raft.Term
	reply task.Reply[answer]
}

// Serve runs the replica until ctx ends, then hands its lead over.
func (t *Task) Serve(ctx context.Context) error {
	from := t.opened
	t.opened = nil
	if from == nil {
		var err error
		if from, err = openStorage(t.options); err != nil {
			return err
		}
	}
	defer func() { _ = from.store.Close() }()
	r, err := t.newReplica(from)
	if err != nil {
		return err
	}
	peersContext, stopPeers := context.WithCancel(context.WithoutCancel(ctx))
	defer r.stopPeers(stopPeers)
	r.refresh = r.ask(nil)
	r.core.Campaign()
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		if err := r.process(peersContext); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			r.handOver(peersContext)
			r.refuseRest(t.mailbox)
			return ctx.Err()
		case <-ticker.C:
			r.tick()
		case m := <-t.mailbox.C():
			r.handleBatch(m, t.mailbox)
		}
	}
}

func (t *Task) newReplica(from *opened) (*replica, error) {
	seed := t.options.Seed ^ uint64(time.Now().UnixNano())
	r := &replica{
		options: t.options, state: t.state, mailbox: t.mailbox, store: from.store,
		core: raft.New(raft.Config{
			Self: t.options.Self, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks,
			MaxEntries: maxEntries, Seed: seed,
		}, from.stored),
		machine: machine{codec: t.options.Codec},
		pending: map[raft.Index]pending{}, reads: map[uint64]*read{}, readID: seed,
		peers: map[core.VM]*peer{},
	}
	return r, r.machine.load(from.stored.Snapshot)
}

// handleBatch handles m and what waits behind it, so that one sync covers all.
func (r *replica) handleBatch(m message, more task.Mailbox[message]) {
	for range maxBatch {
		r.handle(m)
		select {
		case m = <-more.C():
		default:
			return
		}
	}
	r.handle(m)
}

func (r *replica) handle(m message) {
	switch m := m.(type) {
	case inbound:
		r.contact = m.from
		if m.reply != nil {
			r.deliveries = append(r.deliveries, &delivery{from: m.from.VM, reply: m.reply})
		}
		for _, raftMessage := range m.messages {
			r.core.Step(raftMessage)
		}
	case proposal:
		index, term, err := r.core.Propose(m.command)
		r.wait(index, term, err, m.reply)
	case memberProposal:
		index, term, err := m.change.propose(r.core)
		r.wait(index, term, err, m.reply)
	case reachQuestion:
		r.waiters = append(r.waiters, &reachWaiter{question: m})
		r.answerWaiters()
	case readQuestion:
		r.ask(m.reply)
	case statusQuestion:
		m.reply.Answer(r.core.Status())
	}
}

// wait answers a refused proposal at once and any other when its index is
// committed.
func (r *replica) wait(index raft.Index, term raft.Term, err error, reply task.Reply[answer]) {
	if err != nil {
		a := answer{err: refusal(err)}
		if !r.core.IsLeader() {
			a.leader, _ = r.core.Members().Find(r.core.Leader())
		}
		reply.Answer(a)
		return
	}
	r.abandon(index)
	r.pending[index] = pending{term, reply}
}

// abandon answers a proposal whose outcome this replica will not learn.
func (r *replica) abandon(index raft.Index) {
	if p, ok := r.pending[index]; ok {
		delete(r.pending, index)
		p.reply.Answer(answer{err: result.New(result.CommitUnknown, "the lead was lost before index %d was committed", index)})
	}
}

// process does what the core owes until it owes nothing.
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
			// The followers write while this replica does; it counts itself once
			// its own write is synced (Ongaro's thesis, section 10.2.1).
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
		r.confirm(a.Reads)
	}
}

func (r *replica) install(s raft.Snapshot) error {
	if err := r.machine.load(s); err != nil {
		return err
	}
	for index := range r.pending {
		if index <= s.Index {
			r.abandon(index)
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
			a, err := settle(p.term, o)
			a.err = err
			p.reply.Answer(a)
		}
	}
	return r.compact()
}

// publish hands out the state, once it was proved to be the newest at some time
// of this run. Without a new state it hands out the newer proof.
func (r *replica) publish(accepted []configsync.AcceptedCommand, changed bool) {
	if r.confirmedAt.IsZero() {
		return
	}
	if changed && r.machine.state.Version >= r.state.Load().Version {
		r.state.Publish(r.machine.state)
		r.answerWaiters()
	}
	r.options.Changed(configsync.Update{
		State: r.machine.state, Commands: accepted, ConfirmedAt: r.confirmedAt, Confirmed: true,
	})
}

// compact saves a snapshot when enough entries were applied since the last.
func (r *replica) compact() error {
	if r.machine.index < r.core.SnapshotIndex()+raft.Index(r.options.Snapshots) {
		return nil
	}
	data, err := r.options.Codec.EncodeState(r.machine.state)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", r.machine.index, err)
	}
	s := r.core.Compact(r.machine.index, data, raft.Index(r.options.Snapshots/keptDivisor))
	return r.store.Replace(s, r.core.EntriesAfter(s.Index))
}

// bootstrap proposes the first change, once a term, while there is none.
func (r *replica) bootstrap() {
	o := r.options.Bootstrap
	if o == nil || !r.core.IsLeader() || r.machine.state.Version != 0 || r.proposedIn == r.core.Term() {
		return
	}
	r.proposedIn = r.core.Term()
	data, err := r.options.Codec.EncodeCommand(config.Command{RequestID: "bootstrap", Change: *o})
	if err != nil {
		r.options.Report("bootstrap", err.Error())
		return
	}
	_, _, _ = r.core.Propose(data) // refused: the next term tries again
}

// reportChanges reports a new leader and new members.
func (r *replica) reportChanges() {
	if leader := r.core.Leader(); leader != r.leader {
		r.leader = leader
		r.options.Report("leader", fmt.Sprintf("%q leads the registry in term %d", leader, r.core.Term()))
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
		r.options.Report("members", members)
	}
}

// handOver lets another voter lead before this one stops.
func (r *replica) handOver(ctx context.Context) {
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

// refuseRest answers what still waits when the replica stops.
func (r *replica) refuseRest(mailbox task.Mailbox[message]) {
	for index := range r.pending {
		r.abandon(index)
	}
	for id, q := range r.reads {
		r.finishRead(id, q, result.New(result.Stopping, "registry"))
	}
	for _, w := range r.waiters {
		w.question.reply.Answer(answer{err: result.New(result.CommitUnknown, "the registry stops here")})
	}
	for mailbox.Len() > 0 {
		switch m := (<-mailbox.C()).(type) {
		case proposal:
			m.reply.Answer(answer{err: result.New(result.Stopping, "registry")})
		case memberProposal:
			m.reply.Answer(answer{err: result.New(result.Stopping, "registry")})
		case readQuestion:
			m.reply.Answer(answer{err: result.New(result.Stopping, "registry")})
		case reachQuestion:
			m.reply.Answer(answer{err: result.New(result.CommitUnknown, "the registry stops here")})
		}
	}
}
