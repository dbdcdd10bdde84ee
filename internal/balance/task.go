package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize  = 8192
	reviewPeriod = 25 * time.Millisecond // between looks at requests that wait for an owner
	maxWaiting   = 512                   // requests that wait for an owner
	reportPeriod = 200 * time.Millisecond
	// drawTimeout bounds the wait for the leader's tokens: some round trips
	// between data centres, and a small part of what a caller waits for.
	drawTimeout = 150 * time.Millisecond
)

// Options are the parts of a Task.
type Options struct {
	Self   core.VM
	Home   core.DataCentre
	Bounds Bounds
	Seed   uint64 // of choices among equals
	// Draw asks the leader for tokens of workspaces.
	Draw func(ctx context.Context, wants []quota.Want) ([]quota.Supply, error)
}

// Task owns the pool of an entry VM.
type Task struct {
	options Options
	mailbox task.Mailbox[message]
	report  task.Snapshot[fleet.Report]
	// config is the configuration in force; a full mailbox loses none.
	config task.Snapshot[config.State]
}

type message interface{ isMessage() }

type (
	choose struct {
		Request
		first bool // the request's first choice: it is charged to its workspace
		until time.Time
		reply task.Reply[chosen]
	}
	chosen struct {
		choice  Choice
		service core.Service
		err     *result.Error
	}
	done          struct{ Outcome }
	told          struct{ fleet.Update }
	configChanged struct{}
	cancelled     struct{ reply task.Reply[chosen] }
	drawn         struct {
		wants    []quota.Want
		supplies []quota.Supply
		err      error
	}
)

func (choose) isMessage()        {}
func (done) isMessage()          {}
func (told) isMessage()          {}
func (configChanged) isMessage() {}
func (cancelled) isMessage()     {}
func (drawn) isMessage()         {}

// NewTask returns a task that is not running yet.
func NewTask(o Options) *Task {
	return &Task{
		options: o,
		mailbox: task.NewMailbox[message]("balance", mailboxSize),
		report:  task.NewSnapshot(&fleet.Report{VM: o.Self}),
		config:  task.NewSnapshot(config.NewState()),
	}
}

// Report is what this VM tells the leader of the control VMs.
func (t *Task) Report() fleet.Report { return *t.report.Load() }

// ConfigChanged delivers the configuration in force. Only one goroutine calls
// it.
func (t *Task) ConfigChanged(s *config.State) {
	t.config.Publish(s)
	_ = t.mailbox.Post(configChanged{}) // where it is full, the next review sees the change
}

// Told delivers news of the fleet.
func (t *Task) Told(ctx context.Context, n fleet.Update) { _ = t.mailbox.Send(ctx, told{n}) }

// Done delivers the outcome of a sending; it must not be lost.
func (t *Task) Done(o Outcome) { _ = t.mailbox.Send(context.Background(), done{o}) }

// Choose admits r, if it was not sent before, and chooses its target. It waits
// until the given time for the owner of a key. The error has not run.
func (t *Task) Choose(ctx context.Context, r Request, until time.Time) (Choice, core.Service, *result.Error) {
	reply := task.NewReply[chosen]()
	if err := t.mailbox.Post(choose{r, r.Service == "", until, reply}); err != nil {
		return Choice{}, r.Service, result.From(err)
	}
	select {
	case c := <-reply:
		return c.choice, c.service, c.err
	case <-ctx.Done():
		_ = t.mailbox.Send(context.Background(), cancelled{reply})
		return Choice{}, r.Service, result.New(result.CallerGone, "the caller left while its request waited")
	}
}

// run is the state of one run of the task.
type run struct {
	*Task
	pool    *Pool
	state   *config.State // that the pool has
	ticket  uint64
	waiting []choose // for the owner of a key
	// tokenless are the requests that wait for tokens from the leader.
	tokenless []choose
	drawing   bool
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	o := t.options
	r := &run{Task: t, pool: NewPool(o.Home, o.Bounds, rand.New(rand.NewPCG(o.Seed, 0)).Float64)}
	review := time.NewTicker(reviewPeriod)
	defer review.Stop()
	ticks := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-review.C:
			r.review()
			if ticks++; ticks%int(reportPeriod/reviewPeriod) == 0 {
				report := r.pool.Report(o.Self, clock.Now())
				t.report.Publish(&report)
			}
		case m := <-t.mailbox.C():
			r.handle(m)
			r.draw(ctx)
		}
	}
}

func (r *run) handle(m message) {
	switch m := m.(type) {
	case choose:
		r.choose(m)
	case done:
		r.pool.Done(m.Outcome)
	case told:
		r.pool.Told(m.Update, clock.Now())
		r.review()
	case configChanged:
		r.review()
	case cancelled:
		r.cancel(m.reply)
	case drawn:
		r.supplied(m)
	}
}

func (r *run) choose(m choose) {
	now := clock.Now()
	if m.first {
		m.Service = r.pool.Split(m.Route)
		draw, err := r.pool.Admit(m.Request, now)
		switch {
		case err != nil:
			m.reply.Answer(chosen{service: m.Service, err: err})
			return
		case draw:
			r.tokenless = append(r.tokenless, m)
			return
		}
	} else if len(m.Tried) > 0 && !r.pool.Repeat(m.Service, now) {
		m.reply.Answer(chosen{service: m.Service, err: result.New(result.RetryBudgetSpent, "service %s", m.Service)})
		return
	}
	r.place(m, now)
}

// place chooses a target for m, or lets it wait for one.
func (r *run) place(m choose, now time.Time) {
	if !r.decide(m, now) {
		r.waiting = append(r.waiting, m)
	}
}

// decide answers m unless it goes on waiting.
func (r *run) decide(m choose, now time.Time) bool {
	r.ticket++
	choice, wait, err := r.pool.Choose(m.Request, r.ticket, now)
	if err != nil && wait && now.Before(m.until) && len(r.waiting) < maxWaiting {
		return false
	}
	m.reply.Answer(chosen{choice, m.Service, err})
	return true
}

// review takes a changed configuration and looks again at the requests that
// wait.
func (r *run) review() {
	now := clock.Now()
	if state := r.config.Load(); state != r.state {
		r.state = state
		r.pool.ConfigChanged(state, now)
	}
	if len(r.waiting) == 0 {
		return
	}
	waiting := r.waiting
	r.waiting = nil
	for _, m := range waiting {
		r.place(m, now)
	}
}

// cancel ends a question whose asker left. If it was answered already, its
// request counts at a target and is taken back.
func (r *run) cancel(reply task.Reply[chosen]) {
	asked := func(m choose) bool { return m.reply == reply }
	before := len(r.waiting) + len(r.tokenless)
	r.waiting = slices.DeleteFunc(r.waiting, asked)
	r.tokenless = slices.DeleteFunc(r.tokenless, asked)
	if len(r.waiting)+len(r.tokenless) < before {
		return
	}
	select {
	case c := <-reply:
		if c.err == nil {
			r.pool.Done(Outcome{Ticket: c.choice.Ticket, Target: c.choice.Target.ID, Life: c.choice.Target.Incarnation, At: clock.Now()})
		}
	default:
	}
}
