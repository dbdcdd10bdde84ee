package fleet

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/leadership"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 4096
	planPeriod  = 50 * time.Millisecond
	// minPushDelay is how long changes of targets are collected before they are
	// pushed to entry VMs.
	minPushDelay = 10 * time.Millisecond
	// pushIntervalPerVM is the minimum time between two pushes, multiplied by the
	// number of waiting entry VMs. Each of them sends a new report after a push,
	// which costs the leader about a tenth of this time.
	pushIntervalPerVM = 2 * time.Millisecond
	// MaxPollWait is the maximum time that a long poll waits for changes, whatever
	// PollRequest.Hold asks for.
	MaxPollWait = 500 * time.Millisecond
)

// Update is the answer to a long poll: what changed since the previous answer.
type Update struct {
	Term       uint64
	Sequence   uint64
	Leader     core.VM // set if another VM leads; the other fields are then empty
	Targets    []TargetState
	Shares     []Share
	EntryVMs   int       // number of entry VMs that report
	Index      int       // index of the receiver among them
	ControlVMs []core.VM // all control VMs
	// RequestedAt is when the receiver sent the poll, on its own clock; zero: just before
	// the answer arrived.
	RequestedAt time.Time
}

// PollRequest is a long poll: a report, and the term and sequence number of the last
// update that its sender received.
type PollRequest struct {
	Report
	Term, Sequence uint64
	Hold           time.Duration // how long the answer may wait for changes
	AnswerTimeout  time.Duration // after Hold, until the answer must begin; not sent to the leader
}

// Options configures a Task.
type Options struct {
	Parameters Parameters
	State      func() *config.State    // newest confirmed state of this replica
	Lease      func() leadership.Lease // the registry's leader, and its lease
	Propose    func(ctx context.Context, c config.Command) (*config.State, error)
	// ProposeOnce proposes a change. It must ensure that the change is never
	// accepted in the term of a later leader.
	ProposeOnce func(ctx context.Context, c config.Command) (*config.State, error)
	ControlVMs  func(ctx context.Context) []core.VM // members of the registry
	Record      func(event string, fields ...any)   // writes one line to the log; must not block
}

// Task owns the LeaderState and the Counter on a control VM. It serves draws always,
// other requests only while the VM leads.
type Task struct {
	options Options
	mailbox task.Mailbox[message]
}

type message interface{ isMessage() }

type (
	heartbeat struct {
		Heartbeat
		reply task.Reply[heartbeatAnswer]
	}
	heartbeatAnswer struct {
		grant Grant
		err   error
	}
	deregistration struct {
		id          core.TargetID
		incarnation core.Incarnation
		reply       task.Reply[deregistrationAnswer]
	}
	deregistrationAnswer struct {
		incarnation core.Incarnation // the one that ends
		err         error
	}
	poll struct {
		PollRequest
		reply task.Reply[Update]
	}
	draw struct {
		wants  []quota.Want
		backup bool
		reply  task.Reply[drawAnswer]
	}
	drawAnswer struct {
		supplies []quota.Supply
		err      error
	}
	proposalOutcome struct {
		term   uint64
		change config.Change
		err    error
	}
)

func (heartbeat) isMessage()       {}
func (deregistration) isMessage()  {}
func (poll) isMessage()            {}
func (draw) isMessage()            {}
func (proposalOutcome) isMessage() {}

// NotLeading is the error of a control VM that doesn't hold the leader lease. Leader
// is the leading VM if it is known; it may be the VM itself before its lease begins.
type NotLeading struct{ Leader core.VM }

// Error implements error.
func (e NotLeading) Error() string { return "not the leader (leader: '" + string(e.Leader) + "')" }

// NewTask returns a task that is not running yet.
func NewTask(o Options) *Task {
	return &Task{options: o, mailbox: task.NewMailbox[message]("fleet", mailboxSize)}
}

// Poll returns what changed since the update that q names. If nothing has, it waits
// for a change for up to q.Hold.
func (t *Task) Poll(ctx context.Context, q PollRequest) (Update, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[Update]) message { return poll{q, r} })
}

// Draw returns tokens of workspaces that this VM counts, or for which it is the
// backup. The error is NotLeading if this VM knows no leader: it may have been cut
// off and replaced.
func (t *Task) Draw(ctx context.Context, wants []quota.Want, backup bool) ([]quota.Supply, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[drawAnswer]) message { return draw{wants, backup, r} })
	if err != nil {
		return nil, err
	}
	return a.supplies, a.err
}

// run is the state of one run of the task.
type run struct {
	*Task
	state         *LeaderState
	counter       *Counter
	waiters       []waiter
	pushTimer     *time.Timer
	pushScheduled bool
	// answeredSequence is the state's sequence number at the newest answer to any
	// poll. Later changes have not been sent to any entry VM, so a push is due when
	// the state has them. A poll with a lower number is answered at once.
	answeredSequence uint64
	pushedAt         time.Time // last push to all waiting entry VMs
	controlVMs       []core.VM
	delayed          []delayedHeartbeat
	countProposed    bool // a proposal of the number of entry VMs is pending
}

// waiter is a long poll that waits for changes.
type waiter struct {
	poll
	until time.Time
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	r := &run{Task: t, state: NewLeaderState(t.options.Parameters), counter: NewCounter(t.options.Parameters.Quota), pushTimer: time.NewTimer(time.Hour)}
	defer r.pushTimer.Stop()
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.answerWaiters(func(waiter) bool { return true })
			return ctx.Err()
		case <-ticker.C:
			r.tick(ctx)
		case <-r.pushTimer.C:
			r.pushScheduled, r.pushedAt = false, clock.Now()
			r.answerWaiters(func(waiter) bool { return true })
		case m := <-t.mailbox.C():
			r.handle(m)
			r.schedulePush()
		}
	}
}

// holdsLease reports whether this VM holds the leader lease. It resets the state
// when the term is new.
func (r *run) holdsLease() bool {
	lease := r.options.Lease()
	now := clock.Now()
	if !lease.Live(now) {
		return false
	}
	if r.state.Term() != lease.Term {
		r.state.BeginTerm(lease.Term, now)
		r.answeredSequence = r.state.Sequence()
		r.options.Record("leader lease acquired", "term", lease.Term)
	}
	return true
}

func (r *run) tick(ctx context.Context) {
	now := clock.Now()
	r.answerDelayed(now)
	if r.holdsLease() {
		r.state.Expire(now)
		for _, change := range r.state.Plan(r.options.State(), now) {
			r.propose(ctx, change)
		}
		if count, ok := r.state.CountDue(r.options.State(), now); ok && !r.countProposed {
			r.countProposed = true
			r.propose(ctx, count)
		}
		r.controlVMs = r.options.ControlVMs(ctx)
		r.schedulePush()
	}
	r.answerWaiters(func(w waiter) bool { return now.After(w.until) })
}

// propose submits a change to the registry, in a goroutine that ends with the
// answer.
func (r *run) propose(ctx context.Context, change config.Change) {
	term := r.state.Term()
	switch c := change.(type) {
	case config.AssignKeys:
		r.options.Record("keys get owners", "service", c.Service, "ranges", len(c.Ranges), "term", term)
	case config.SplitKeys:
		r.options.Record("splitting busy key ranges", "service", c.Service, "at", len(c.At), "term", term)
	}
	go func() {
		_, err := r.options.ProposeOnce(ctx, config.Command{Change: change, At: time.Now()})
		_ = r.mailbox.Send(ctx, proposalOutcome{term, change, err}) // fails only when the task has ended
	}()
}

func (r *run) handle(m message) {
	switch m := m.(type) {
	case heartbeat:
		if r.awaitsLease() && len(r.delayed) < maxDelayedHeartbeats {
			r.delayed = append(r.delayed, delayedHeartbeat{m, clock.Now().Add(maxHeartbeatDelay)})
			return
		}
		m.reply.Answer(r.handleHeartbeat(m.Heartbeat))
	case deregistration:
		if !r.holdsLease() {
			m.reply.Answer(deregistrationAnswer{err: NotLeading{r.options.Lease().Leader}})
			return
		}
		incarnation := r.state.Deregister(m.id, m.incarnation)
		r.options.Record("target deregistered", "target", m.id, "life", incarnation)
		m.reply.Answer(deregistrationAnswer{incarnation: incarnation})
	case poll:
		r.handlePoll(m)
	case draw:
		m.reply.Answer(r.handleDraw(m))
	case proposalOutcome:
		r.handleOutcome(m)
	}
}

// handleOutcome processes the outcome of a proposal. A proposal that may have been
// accepted stays pending, so that its keys are granted to no target in this term.
func (r *run) handleOutcome(m proposalOutcome) {
	if m.err != nil {
		r.options.Record("proposed change of the fleet was refused or its outcome is unknown", "err", m.err)
	}
	if _, ok := m.change.(config.CountEntryVMs); ok {
		r.countProposed = false
	}
	assigned, ok := m.change.(config.AssignKeys)
	if ok && m.term == r.state.Term() && (m.err == nil || result.From(m.err).Ran == result.NotRun) {
		r.state.ProposalDecided(assigned)
	}
}

func (r *run) handleDraw(m draw) drawAnswer {
	if r.options.Lease().Leader == "" {
		return drawAnswer{err: NotLeading{}}
	}
	return drawAnswer{supplies: r.counter.Supply(m.wants, m.backup, r.options.State(), clock.Now())}
}

func (r *run) handlePoll(q poll) {
	if !r.holdsLease() {
		q.reply.Answer(Update{Leader: r.options.Lease().Leader})
		return
	}
	if q.Term != r.state.Term() || q.Sequence < r.answeredSequence || q.Hold <= 0 {
		q.reply.Answer(r.buildUpdate(q.PollRequest))
		return
	}
	r.waiters = append(r.waiters, waiter{q, clock.Now().Add(min(q.Hold, MaxPollWait))})
}

// pushDelay returns the time until the next push. Load pattern: hundreds of targets
// change one after the other while a hundred entry VMs wait for changes.
func (r *run) pushDelay() time.Duration {
	next := r.pushedAt.Add(time.Duration(len(r.waiters)) * pushIntervalPerVM)
	return max(next.Sub(clock.Now()), minPushDelay)
}

func (r *run) schedulePush() {
	if r.state.Sequence() != r.answeredSequence && !r.pushScheduled {
		r.pushScheduled = true
		r.pushTimer.Reset(r.pushDelay())
	}
}

// answerWaiters answers the waiting polls for which due returns true, or all of them
// if this VM doesn't hold the leader lease.
func (r *run) answerWaiters(due func(waiter) bool) {
	if !r.holdsLease() {
		for _, w := range r.waiters {
			w.reply.Answer(Update{Leader: r.options.Lease().Leader})
		}
		r.waiters = nil
		return
	}
	remaining := r.waiters[:0]
	for _, w := range r.waiters {
		if due(w) {
			w.reply.Answer(r.buildUpdate(w.PollRequest))
		} else {
			remaining = append(remaining, w)
		}
	}
	clear(r.waiters[len(remaining):])
	r.waiters = remaining
}

// buildUpdate processes the report in q and returns the changes for its sender.
func (r *run) buildUpdate(q PollRequest) Update {
	now := clock.Now()
	shares, entryVMs, index := r.state.ApplyReport(q.Report, r.options.State(), now)
	r.answeredSequence = r.state.Sequence()
	return Update{
		Term: r.state.Term(), Sequence: r.state.Sequence(), Targets: r.state.ChangesSince(q.VM, q.Term, q.Sequence, now),
		Shares: shares, EntryVMs: entryVMs, Index: index, ControlVMs: r.controlVMs,
	}
}
