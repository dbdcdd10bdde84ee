// Package relay takes one request on an entry VM from its admission to its
// answer: it asks for a target, sends, and decides what follows a failure. It
// knows no encoding. Decisions:
// decide.go. Task: task.go, which is the request's own goroutine.
package relay

import (
	"context"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/balance"
	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Call is one request with what its route and workspace say of it.
type Call struct {
	*exchange.Request
	Host     string
	Route    config.Route
	HasKey   bool
	ShardKey uint32
	Priority int
	// Fresh reports whether the request may still be sent: its caller key was
	// valid as lately as the deployment demands.
	Fresh func() bool
}

// Sent is the outcome of one sending.
type Sent struct {
	Answer *exchange.Answer // nil with Err
	Err    *result.Error
	Load   *balance.Load // nil: not told
	Cold   time.Duration // how much longer the target says it is cold
}

// Sender sends to one target, once.
type Sender interface {
	Send(ctx context.Context, t core.Target, c *Call) Sent
}

// Balancer chooses targets.
type Balancer interface {
	Choose(ctx context.Context, r balance.Request, until time.Time) (balance.Choice, core.Service, *result.Error)
	Done(o balance.Outcome)
}

// Event is one decision about a request, for the log.
type Event struct {
	Call    *Call
	What    string // chosen, refused, failed, repeated, hedged
	Choice  balance.Choice
	Service core.Service
	Sends   int
	Err     *result.Error
}

// Relay serves requests.
type Relay struct {
	Balancer Balancer
	Sender   Sender
	Record   func(Event) // must not wait
}

// sending is one sending under way.
type sending struct {
	choice balance.Choice
	cancel context.CancelFunc
}

type finished struct {
	sending
	sent Sent
}

// attempt is the state of one request while it is served.
type attempt struct {
	*Relay
	*Call
	service  core.Service
	history  history
	tried    []core.TargetID
	results  chan finished
	inFlight []sending
	last     Sent // newest failure
}

// Serve returns the answer of a target, or an error that says whether the
// request may have run.
func (r *Relay) Serve(ctx context.Context, c *Call) (*exchange.Answer, error) {
	a := &attempt{
		Relay: r, Call: c, results: make(chan finished, max(c.Route.Attempts, 1)+maxUnrunSends),
		history: history{attempts: max(c.Route.Attempts, 1), repeatable: c.Retryable},
	}
	defer a.cancelAll()
	for {
		if err := a.send(ctx); err != nil {
			return a.refused(err)
		}
		if done := a.await(ctx); done {
			return a.outcome()
		}
	}
}

// send chooses a target and sends to it in a goroutine that ends with the
// outcome.
func (a *attempt) send(ctx context.Context) *result.Error {
	now := clock.Now()
	request := balance.Request{
		Route: a.Route, Workspace: a.Workspace, Service: a.service, HasKey: a.HasKey, Key: a.ShardKey,
		Priority: a.Priority, Deadline: a.Deadline, Tried: a.tried,
	}
	choice, service, err := a.Balancer.Choose(ctx, request, now.Add(ownerWait(a.Deadline.Sub(now))))
	a.service = service
	a.history.sends++
	if err != nil {
		a.Record(Event{Call: a.Call, What: "refused", Service: service, Sends: a.history.sends, Err: err})
		return err
	}
	if !a.Fresh() {
		a.Balancer.Done(balance.Outcome{Ticket: choice.Ticket, Target: choice.Target.ID, Life: choice.Target.Incarnation, At: clock.Now()})
		err := result.New(result.NoLease, "the configuration here was not confirmed lately")
		a.Record(Event{Call: a.Call, What: "refused", Service: service, Sends: a.history.sends, Err: err})
		return err
	}
	a.Record(Event{Call: a.Call, What: "chosen", Choice: choice, Service: service, Sends: a.history.sends})
	a.tried = append(a.tried, choice.Target.ID)
	sendContext, cancel := context.WithDeadline(ctx, a.Deadline)
	f := sending{choice, cancel}
	a.inFlight = append(a.inFlight, f)
	go func() {
		start := clock.Now()
		sent := a.Sender.Send(sendContext, choice.Target, a.Call)
		a.Balancer.Done(a.outcomeOf(ctx, f, sent, start))
		a.results <- finished{f, sent}
	}()
	return nil
}

// outcomeOf tells the balancer what a sending showed of its target.
func (a *attempt) outcomeOf(ctx context.Context, f sending, sent Sent, start time.Time) balance.Outcome {
	now := clock.Now()
	o := balance.Outcome{
		Ticket: f.choice.Ticket, Target: f.choice.Target.ID, Life: f.choice.Target.Incarnation, Route: a.Route,
		Key: a.ShardKey, Latency: now.Sub(start), Load: sent.Load, ColdFor: sent.Cold, At: now,
	}
	if sent.Err == nil {
		o.Answered, o.Failed = true, sent.Answer.Status >= failureStatus
		return o
	}
	switch sent.Err.Code {
	case result.TargetRefused:
		o.Answered, o.Refused = true, true
	case result.NotOwner:
		o.Answered, o.NotOwner = true, true
	case result.CallerGone, result.BadRequest:
	case result.TargetTimeout:
		// The deadline passed: that is the target's failure only if it had the
		// time that it was expected to need.
		o.Failed = ctx.Err() == nil && o.Latency > 2*f.choice.Expected
	default:
		o.Failed = true
	}
	return o
}

// await waits for an outcome and reports whether the request ends with it. A
// repeatable request is sent to another target when the first stays silent.
func (a *attempt) await(ctx context.Context) bool {
	hedge := time.NewTimer(a.inFlight[len(a.inFlight)-1].choice.Patience)
	defer hedge.Stop()
	for {
		select {
		case l := <-a.results:
			a.inFlight = slices.DeleteFunc(a.inFlight, func(f sending) bool { return f.choice.Ticket == l.choice.Ticket })
			l.cancel()
			a.last = l.sent
			if a.history.ended(l.sent) {
				return true
			}
			if len(a.inFlight) > 0 {
				continue
			}
			if !a.history.again(l.sent, a.Deadline.Sub(clock.Now())) || ctx.Err() != nil {
				return true
			}
			a.Record(Event{Call: a.Call, What: "repeated", Choice: l.choice, Service: a.service, Sends: a.history.sends, Err: l.sent.Err})
			return false
		case <-hedge.C:
			if a.HasKey || !a.history.mayHedge(a.Deadline.Sub(clock.Now())) {
				continue
			}
			a.history.hedged = true
			if a.send(ctx) == nil {
				a.history.mayHaveRun = true
			}
		}
	}
}

func (a *attempt) cancelAll() {
	for _, f := range a.inFlight {
		f.cancel()
	}
}

// refused ends a request that could not be sent (again).
func (a *attempt) refused(err *result.Error) (*exchange.Answer, error) {
	if a.history.sends <= 1 || !a.history.mayHaveRun {
		return nil, err
	}
	return a.outcome()
}

// outcome is the newest outcome, as one that holds for all sendings.
func (a *attempt) outcome() (*exchange.Answer, error) {
	if a.last.Err == nil && a.last.Answer != nil {
		return a.last.Answer, nil
	}
	err := a.last.Err
	if a.history.mayHaveRun && err.Ran == result.NotRun {
		err = result.Wrap(result.ConnectionLost, err, "an earlier sending may have run")
	}
	a.Record(Event{Call: a.Call, What: "failed", Service: a.service, Sends: a.history.sends, Err: err})
	return nil, err
}
