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
	mailboxSize      = 8192
	reviewPeriod     = 25 * time.Millisecond // interval at which requests that wait for a key's owner are checked
	maxAwaitingOwner = 512                   // most requests that wait for a key's owner at a time
	reportPeriod     = 200 * time.Millisecond
	// drawTimeout bounds the wait for tokens from one counter: a few round trips
	// between data centres, and a small part of the time that callers wait.
	drawTimeout = 120 * time.Millisecond
	// counterPause is how long a counter that didn't answer is left out, about as long
	// as it takes to replace a control VM that is lost.
	counterPause = time.Second
)

// Options are the settings and dependencies of a Task.
type Options struct {
	Self   core.VM
	Home   core.DataCentre
	Bounds Bounds
	Seed   uint64 // of the random numbers that break ties between targets
	// CounterOf returns the addresses of the control VM that counts a workspace's
	// requests and of its backup; empty if unknown.
	CounterOf func(w core.Workspace) (counter, backup string)
	// Draw requests tokens of workspaces from their counter or its backup.
	Draw func(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error)
}

// Task owns the Pool of an entry VM and serves requests to it by messages.
type Task struct {
	options Options
	mailbox task.Mailbox[message]
	report  task.Snapshot[fleet.Report]
	// config is the configuration in force. It is kept outside the mailbox so
	// that a full mailbox loses no change.
	config task.Snapshot[config.State]
}

type message interface{ isMessage() }

type (
	choose struct {
		Request
		first bool      // the request's first attempt, which is charged to its workspace
		until time.Time // latest time to wait for the owner of a key
		reply task.Reply[chosen]
	}
	chosen struct {
		choice  Choice
		service core.Service
		err     *result.Error
	}
	finished      struct{ Outcome }
	fleetUpdate   struct{ fleet.Update }
	configChanged struct{}
	cancelled     struct{ reply task.Reply[chosen] }
	drawResult    struct {
		wants         []quota.Want
		supplies      []quota.Supply
		counter       string
		counterFailed bool
		err           error
	}
)

func (choose) isMessage()        {}
func (finished) isMessage()      {}
func (fleetUpdate) isMessage()   {}
func (configChanged) isMessage() {}
func (cancelled) isMessage()     {}
func (drawResult) isMessage()    {}

// NewTask returns a task that is not running yet.
func NewTask(o Options) *Task {
	return &Task{
		options: o,
		mailbox: task.NewMailbox[message]("balance", mailboxSize),
		report:  task.NewSnapshot(&fleet.Report{VM: o.Self}),
		config:  task.NewSnapshot(config.NewState()),
	}
}

// Report returns this VM's newest report to the leader of the control VMs.
func (t *Task) Report() fleet.Report { return *t.report.Load() }

// ConfigChanged publishes the configuration in force. It must not be called
// concurrently.
func (t *Task) ConfigChanged(s *config.State) {
	t.config.Publish(s)
	_ = t.mailbox.Post(configChanged{}) // if the mailbox is full, the next periodic review applies the change
}

// FleetUpdated delivers an update from the leader of the control VMs.
func (t *Task) FleetUpdated(ctx context.Context, n fleet.Update) {
	_ = t.mailbox.Send(ctx, fleetUpdate{n})
}

// Done delivers the outcome of an attempt. It waits while the mailbox is full,
// since a lost outcome would leave the request counted as in flight.
func (t *Task) Done(o Outcome) { _ = t.mailbox.Send(context.Background(), finished{o}) }

// Choose chooses the target of r. On the first attempt, which is one without a
// service, it also charges r to its workspace's rate. It waits until the given
// time for a key's owner to become ready. Every error states that the request has
// not run.
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
		return Choice{}, r.Service, result.New(result.CallerGone, "the caller disconnected while its request waited for a target")
	}
}

// run is the state of one run of the task; a restarted task begins with a new
// one.
type run struct {
	*Task
	pool           *Pool
	state          *config.State           // configuration that the pool uses
	ticket         uint64                  // newest ticket
	awaitingOwner  []choose                // requests that wait for a key's owner
	awaitingTokens []choose                // requests that wait for tokens from a counter
	drawing        map[core.Workspace]bool // workspaces for which a draw is in flight
	counterPauses  map[string]time.Time    // counters that failed, and until when they are left out
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	o := t.options
	r := &run{Task: t, drawing: map[core.Workspace]bool{}, counterPauses: map[string]time.Time{}, pool: NewPool(o.Home, o.Bounds, rand.New(rand.NewPCG(o.Seed, 0)).Float64)}
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
	case finished:
		r.pool.Done(m.Outcome)
	case fleetUpdate:
		r.pool.ApplyUpdate(m.Update, clock.Now())
		r.review()
	case configChanged:
		r.review()
	case cancelled:
		r.cancel(m.reply)
	case drawResult:
		r.finishDraw(m)
	}
}

func (r *run) choose(m choose) {
	now := clock.Now()
	if m.first {
		m.Service = r.pool.Split(m.Route)
		r.pool.CountDemand(m.Request, now)
		draw, err := r.pool.Admit(m.Request, now)
		switch {
		case err != nil:
			m.reply.Answer(chosen{service: m.Service, err: err})
			return
		case draw:
			r.awaitingTokens = append(r.awaitingTokens, m)
			return
		}
	}
	r.answerOrQueue(m, now)
}

// answerOrQueue answers m with a target or an error, or queues it until its
// key's owner is ready.
func (r *run) answerOrQueue(m choose, now time.Time) {
	if !r.tryAnswer(m, now) {
		r.awaitingOwner = append(r.awaitingOwner, m)
	}
}

// tryAnswer answers m and returns true, or returns false if m has to wait for its
// key's owner.
//
// A retry is charged to the budget when it is sent, not while it waits.
func (r *run) tryAnswer(m choose, now time.Time) bool {
	retry := len(m.Tried) > 0
	if retry && !r.pool.retryAllowed(m.Service, now) {
		m.reply.Answer(chosen{service: m.Service, err: r.pool.retryBudgetSpent(m.Service)})
		return true
	}
	r.ticket++
	choice, wait, err := r.pool.Choose(m.Request, r.ticket, now)
	if err == nil && retry {
		r.pool.chargeRetry(m.Service, now)
	}
	if err != nil && wait && now.Before(m.until) && len(r.awaitingOwner) < maxAwaitingOwner {
		return false
	}
	m.reply.Answer(chosen{choice, m.Service, err})
	return true
}

// review applies a changed configuration and checks again the requests that wait
// for a key's owner.
func (r *run) review() {
	now := clock.Now()
	if state := r.config.Load(); state != r.state {
		r.state = state
		r.pool.ConfigChanged(state, now)
	}
	if len(r.awaitingOwner) == 0 {
		return
	}
	waiting := r.awaitingOwner
	r.awaitingOwner = nil
	for _, m := range waiting {
		r.answerOrQueue(m, now)
	}
}

// cancel drops a request whose caller disconnected. If a target was already
// chosen, the request is no longer counted as in flight there.
func (r *run) cancel(reply task.Reply[chosen]) {
	matches := func(m choose) bool { return m.reply == reply }
	before := len(r.awaitingOwner) + len(r.awaitingTokens)
	r.awaitingOwner = slices.DeleteFunc(r.awaitingOwner, matches)
	r.awaitingTokens = slices.DeleteFunc(r.awaitingTokens, matches)
	if len(r.awaitingOwner)+len(r.awaitingTokens) < before {
		return
	}
	select {
	case c := <-reply:
		if c.err == nil {
			r.pool.Done(Outcome{Ticket: c.choice.Ticket, Target: c.choice.Target.ID, Incarnation: c.choice.Target.Incarnation, At: clock.Now()})
		}
	default:
	}
}
