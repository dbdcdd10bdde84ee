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
	// minPushDelay gathers changes of targets before entry VMs are told.
	minPushDelay = 10 * time.Millisecond
	// pushPace is the time between two pushes for each entry VM: all report anew
	// after each, which costs the leader a tenth of this.
	pushPace = 2 * time.Millisecond
	// MaxHold is the longest time that the answer to a report waits for news.
	MaxHold = 500 * time.Millisecond
)

// News is the answer to a report: what changed since the news before.
type News struct {
	Term     uint64
	Sequence uint64
	Leader   core.VM // another VM leads; nothing else is set
	Targets  []TargetState
	Shares   []Share
	Entries  int       // entry VMs that report
	Place    int       // of the asker among them
	Control  []core.VM // control VMs
}

// Question is a report and what its sender knows already.
type Question struct {
	Report
	Term, Sequence uint64
	Hold           time.Duration
}

// Options are the parts of a Task.
type Options struct {
	Terms   Terms
	State   func() *config.State     // newest proved state of this replica
	Tenure  func() leadership.Tenure // of the registry's lead
	Propose func(ctx context.Context, c config.Command) (*config.State, error)
	// ProposeOnce must never be accepted in the term of a later leader.
	ProposeOnce func(ctx context.Context, c config.Command) (*config.State, error)
	Control     func(ctx context.Context) []core.VM // members of the registry
	Record      func(event string, fields ...any)   // one line of the log; must not wait
}

// Task owns the book on a control VM. Only the leader's answers.
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
	farewell struct {
		id    core.TargetID
		life  core.Incarnation
		reply task.Reply[farewellAnswer]
	}
	farewellAnswer struct {
		life core.Incarnation // that ends
		err  error
	}
	question struct {
		Question
		reply task.Reply[News]
	}
	draw struct {
		wants []quota.Want
		reply task.Reply[drawAnswer]
	}
	drawAnswer struct {
		supplies []quota.Supply
		err      error
	}
	settled struct {
		term   uint64
		change config.Change
		err    error
	}
)

func (heartbeat) isMessage() {}
func (farewell) isMessage()  {}
func (question) isMessage()  {}
func (draw) isMessage()      {}
func (settled) isMessage()   {}

// NotLeading says that another control VM leads, or that none does for certain.
type NotLeading struct{ Leader core.VM }

// Error implements error.
func (e NotLeading) Error() string { return "VM " + string(e.Leader) + " leads" }

// NewTask returns a task that is not running yet.
func NewTask(o Options) *Task {
	return &Task{options: o, mailbox: task.NewMailbox[message]("fleet", mailboxSize)}
}

// Ask returns news for an entry VM, at once or when there is some.
func (t *Task) Ask(ctx context.Context, q Question) (News, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[News]) message { return question{q, r} })
}

// Draw hands out tokens of workspaces to an entry VM. The error is NotLeading
// where another VM must be asked.
func (t *Task) Draw(ctx context.Context, wants []quota.Want) ([]quota.Supply, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[drawAnswer]) message { return draw{wants, r} })
	if err != nil {
		return nil, err
	}
	return a.supplies, a.err
}

// run is the state of one run of the task.
type run struct {
	*Task
	book    *Book
	waiters []waiter
	push    *time.Timer
	pushing bool
	pushed  uint64
	// pushedAt is when all who waited were answered last.
	pushedAt time.Time
	control  []core.VM
	held     []held
	// counting: a proposal of the number of entry VMs is under way.
	counting bool
}

type waiter struct {
	question
	until time.Time
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	r := &run{Task: t, book: NewBook(t.options.Terms), push: time.NewTimer(time.Hour)}
	defer r.push.Stop()
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.answer(func(waiter) bool { return true })
			return ctx.Err()
		case <-ticker.C:
			r.tick(ctx)
		case <-r.push.C:
			r.pushing, r.pushedAt = false, clock.Now()
			r.answer(func(waiter) bool { return true })
		case m := <-t.mailbox.C():
			r.handle(m)
			r.schedulePush()
		}
	}
}

// leads reports whether this VM leads for certain, and begins its tenure.
func (r *run) leads() bool {
	tenure := r.options.Tenure()
	now := clock.Now()
	if !tenure.Live(now) {
		return false
	}
	if r.book.Term() != tenure.Term {
		r.book.Begin(tenure.Term, now)
		r.pushed = r.book.Sequence()
		r.options.Record("tenure began", "term", tenure.Term)
	}
	return true
}

func (r *run) tick(ctx context.Context) {
	now := clock.Now()
	r.answerHeld(now)
	if r.leads() {
		r.book.Expire(now)
		for _, change := range r.book.Plan(r.options.State(), now) {
			r.propose(ctx, change)
		}
		if count, ok := r.book.CountDue(r.options.State(), now); ok && !r.counting {
			r.counting = true
			r.propose(ctx, count)
		}
		r.control = r.options.Control(ctx)
		r.schedulePush()
	}
	r.answer(func(w waiter) bool { return now.After(w.until) })
}

// propose asks the registry for a change of owners, in a goroutine that ends
// with the answer.
func (r *run) propose(ctx context.Context, change config.Change) {
	term := r.book.Term()
	switch c := change.(type) {
	case config.AssignKeys:
		r.options.Record("keys get owners", "service", c.Service, "ranges", len(c.Ranges), "term", term)
	case config.SplitKeys:
		r.options.Record("busy ranges are split", "service", c.Service, "at", len(c.At), "term", term)
	}
	go func() {
		_, err := r.options.ProposeOnce(ctx, config.Command{Change: change, At: time.Now()})
		_ = r.mailbox.Send(ctx, settled{term, change, err}) // fails only when the task ends
	}()
}

func (r *run) handle(m message) {
	switch m := m.(type) {
	case heartbeat:
		if r.mayLeadSoon() && len(r.held) < maxHeld {
			r.held = append(r.held, held{m, clock.Now().Add(maxHeldTime)})
			return
		}
		m.reply.Answer(r.heard(m.Heartbeat))
	case farewell:
		if !r.leads() {
			m.reply.Answer(farewellAnswer{err: NotLeading{r.options.Tenure().Leader}})
			return
		}
		life := r.book.Left(m.id, m.life)
		r.options.Record("target left", "target", m.id, "life", life)
		m.reply.Answer(farewellAnswer{life: life})
	case question:
		r.ask(m)
	case draw:
		m.reply.Answer(r.supply(m.wants))
	case settled:
		r.settle(m)
	}
}

// settle takes the outcome of a proposal. One that may have been accepted
// stays pending: its keys are granted to nobody before the next tenure.
func (r *run) settle(m settled) {
	if m.err != nil {
		r.options.Record("change of owners failed", "err", m.err)
	}
	if _, ok := m.change.(config.CountEntryVMs); ok {
		r.counting = false
	}
	assigned, ok := m.change.(config.AssignKeys)
	if ok && m.term == r.book.Term() && (m.err == nil || result.From(m.err).Ran == result.NotRun) {
		r.book.Settled(assigned)
	}
}

func (r *run) supply(wants []quota.Want) drawAnswer {
	if !r.leads() {
		return drawAnswer{err: NotLeading{r.options.Tenure().Leader}}
	}
	return drawAnswer{supplies: r.book.Draw(wants, r.options.State(), clock.Now())}
}

func (r *run) ask(q question) {
	if !r.leads() {
		q.reply.Answer(News{Leader: r.options.Tenure().Leader})
		return
	}
	if q.Term != r.book.Term() || q.Sequence < r.pushed || q.Hold <= 0 {
		q.reply.Answer(r.news(q.Question))
		return
	}
	r.waiters = append(r.waiters, waiter{q, clock.Now().Add(min(q.Hold, MaxHold))})
}

// pushDelay is when the next push is due. Load pattern: hundreds of targets
// change one after the other while a hundred entry VMs wait for news.
func (r *run) pushDelay() time.Duration {
	next := r.pushedAt.Add(time.Duration(len(r.waiters)) * pushPace)
	return max(next.Sub(clock.Now()), minPushDelay)
}

func (r *run) schedulePush() {
	if r.book.Sequence() != r.pushed && !r.pushing {
		r.pushing = true
		r.push.Reset(r.pushDelay())
	}
}

// answer answers the waiting reports that are due.
func (r *run) answer(due func(waiter) bool) {
	if !r.leads() {
		for _, w := range r.waiters {
			w.reply.Answer(News{Leader: r.options.Tenure().Leader})
		}
		r.waiters = nil
		return
	}
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if due(w) {
			w.reply.Answer(r.news(w.Question))
		} else {
			kept = append(kept, w)
		}
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

func (r *run) news(q Question) News {
	now := clock.Now()
	shares, entries, place := r.book.Reported(q.Report, r.options.State(), now)
	r.pushed = r.book.Sequence()
	return News{
		Term: r.book.Term(), Sequence: r.book.Sequence(), Targets: r.book.Changed(q.VM, q.Term, q.Sequence, now),
		Shares: shares, Entries: entries, Place: place, Control: r.control,
	}
}
