// Package relay serves a request on an entry VM from its admission to its
// answer: it obtains a target from the balancer, sends the request, and
// retries or hedges it when needed. It is independent of the encoding of
// messages. The decisions are in decide.go; task.go runs on the request's own
// goroutine.
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

// Call is one request with the properties that its route and workspace determine.
type Call struct {
	*exchange.Request
	Host     string
	Route    config.Route
	HasKey   bool
	ShardKey uint32
	Priority int
	// Authorize checks before each attempt whether the request may be sent: its caller
	// key is valid by the configuration in force, which was confirmed within the time
	// that the deployment demands. It returns the reason if not.
	Authorize func() *result.Error
}

// AttemptResult is the outcome of one attempt.
type AttemptResult struct {
	Answer *exchange.Answer // nil if Err is set
	Err    *result.Error
	Load   *balance.Load // reported by the target, or nil
	Cold   time.Duration // remaining time that the target reports to be cold
	// Leaving reports that the target said in its answer that it is about to stop.
	Leaving bool
	// Reset reports that the target reset the connection instead of answering.
	Reset bool
	// IdleTimeout is how long the target said it keeps an idle connection open.
	IdleTimeout time.Duration
	// Rest is how long a target that refused asked to get nothing from this VM.
	Rest time.Duration
}

// Sender sends a request to one target, once.
type Sender interface {
	// Send sends the request over a connection that carried none of the earlier
	// attempts of it. earlier is the number of those that went to t's address.
	Send(ctx context.Context, t core.Target, c *Call, earlier int) AttemptResult
}

// Balancer chooses targets.
type Balancer interface {
	Choose(ctx context.Context, r balance.Request, until time.Time) (balance.Choice, core.Service, *result.Error)
	Done(o balance.Outcome)
}

// Event is one decision about a request, which is logged.
type Event struct {
	Call     *Call
	Kind     string // chosen, refused, repeated or failed
	Choice   balance.Choice
	Service  core.Service
	Attempts int
	Err      *result.Error
}

// Relay serves requests.
type Relay struct {
	Balancer Balancer
	Sender   Sender
	Record   func(Event) // must not block
}

// attempt is one send of the request to a target, in flight.
type attempt struct {
	choice balance.Choice
	cancel context.CancelFunc
}

// finishedAttempt is an attempt with its outcome.
type finishedAttempt struct {
	attempt
	result AttemptResult
}

// requestState is the state of one request while it is served.
type requestState struct {
	*Relay
	*Call
	service  core.Service
	history  history
	tried    []core.TargetID
	sentTo   []string // address of each attempt's target
	results  chan finishedAttempt
	inFlight []attempt
	last     AttemptResult // newest outcome
}

// Serve returns the answer of a target, or an error that states whether the
// request may have run.
func (r *Relay) Serve(ctx context.Context, c *Call) (*exchange.Answer, error) {
	a := &requestState{
		Relay: r, Call: c, results: make(chan finishedAttempt, max(c.Route.Attempts, 1)+maxNotRunRetries),
		history: history{maxAttempts: max(c.Route.Attempts, 1), retryable: c.Retryable},
	}
	defer a.cancelAll()
	for {
		if err := a.send(ctx); err != nil {
			return a.finishUnsent(err)
		}
		if done := a.await(ctx); done {
			return a.outcome()
		}
	}
}

// send chooses a target and starts an attempt in a goroutine that ends with its
// outcome.
func (a *requestState) send(ctx context.Context) *result.Error {
	now := clock.Now()
	request := balance.Request{
		Route: a.Route, Workspace: a.Workspace, Service: a.service, HasKey: a.HasKey, Key: a.ShardKey,
		Priority: a.Priority, Deadline: a.Deadline, Tried: a.tried,
	}
	choice, service, err := a.Balancer.Choose(ctx, request, now.Add(ownerWait(a.Deadline.Sub(now))))
	a.service = service
	a.history.attempts++
	if err != nil {
		a.Record(Event{Call: a.Call, Kind: "refused", Service: service, Attempts: a.history.attempts, Err: err})
		return err
	}
	if err := a.Authorize(); err != nil { // after the wait for a target, in which a key may be withdrawn
		a.Balancer.Done(balance.Outcome{Ticket: choice.Ticket, Target: choice.Target.ID, Incarnation: choice.Target.Incarnation, At: clock.Now()})
		a.Record(Event{Call: a.Call, Kind: "refused", Service: service, Attempts: a.history.attempts, Err: err})
		return err
	}
	a.Record(Event{Call: a.Call, Kind: "chosen", Choice: choice, Service: service, Attempts: a.history.attempts})
	earlier := a.earlierAttempts(choice.Target.Address)
	a.tried, a.sentTo = append(a.tried, choice.Target.ID), append(a.sentTo, choice.Target.Address)
	sendContext, cancel := context.WithDeadline(ctx, a.Deadline)
	current := attempt{choice, cancel}
	a.inFlight = append(a.inFlight, current)
	go func() {
		start := clock.Now()
		sent := a.Sender.Send(sendContext, choice.Target, a.Call, earlier)
		a.Balancer.Done(a.outcomeOf(ctx, current, sent, start))
		a.results <- finishedAttempt{current, sent}
	}()
	return nil
}

// earlierAttempts returns the number of attempts that were sent to an address.
func (a *requestState) earlierAttempts(address string) int {
	n := 0
	for _, sentTo := range a.sentTo {
		if sentTo == address {
			n++
		}
	}
	return n
}

// outcomeOf returns the outcome of an attempt as the balancer counts it.
func (a *requestState) outcomeOf(ctx context.Context, f attempt, sent AttemptResult, start time.Time) balance.Outcome {
	now := clock.Now()
	o := balance.Outcome{
		Ticket: f.choice.Ticket, Target: f.choice.Target.ID, Incarnation: f.choice.Target.Incarnation, Route: a.Route,
		Key: a.ShardKey, Latency: now.Sub(start), Load: sent.Load, ColdFor: sent.Cold,
		Leaving: sent.Leaving, RestFor: sent.Rest, Reset: sent.Reset, IdleTimeout: sent.IdleTimeout, At: now,
	}
	if sent.Err == nil {
		o.Answered, o.Failed = true, sent.Answer.Status >= minFailureStatus
		return o
	}
	switch sent.Err.Code {
	case result.TargetRefused:
		o.Answered, o.Refused = true, true
	case result.NotOwner:
		o.Answered, o.NotOwner = true, true
	case result.CallerGone, result.BadRequest:
	case result.TargetTimeout:
		// A missed deadline counts as the target's failure only if the target had
		// twice the time that it was expected to need.
		o.Failed = ctx.Err() == nil && o.Latency > 2*f.choice.Expected
	default:
		o.Failed = true
	}
	return o
}

// await waits for an outcome and reports whether the request ends with it. If no
// outcome arrives within the hedge delay, a retryable request without a key is
// also sent to a second target.
func (a *requestState) await(ctx context.Context) bool {
	hedge := time.NewTimer(a.inFlight[len(a.inFlight)-1].choice.HedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case ended := <-a.results:
			a.inFlight = slices.DeleteFunc(a.inFlight, func(f attempt) bool { return f.choice.Ticket == ended.choice.Ticket })
			ended.cancel()
			a.last = ended.result
			if a.history.record(ended.result) {
				return true
			}
			if len(a.inFlight) > 0 {
				continue
			}
			if !a.history.shouldRetry(ended.result, a.Deadline.Sub(clock.Now())) || ctx.Err() != nil {
				return true
			}
			a.Record(Event{Call: a.Call, Kind: "repeated", Choice: ended.choice, Service: a.service, Attempts: a.history.attempts, Err: ended.result.Err})
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

func (a *requestState) cancelAll() {
	for _, f := range a.inFlight {
		f.cancel()
	}
}

// finishUnsent ends a request for which no further attempt could be started.
func (a *requestState) finishUnsent(err *result.Error) (*exchange.Answer, error) {
	if a.history.attempts <= 1 || !a.history.mayHaveRun {
		return nil, err
	}
	return a.outcome()
}

// outcome returns the newest outcome as that of the whole request: an error
// states that the request has not run only if this holds for every attempt.
func (a *requestState) outcome() (*exchange.Answer, error) {
	if a.last.Err == nil && a.last.Answer != nil {
		return a.last.Answer, nil
	}
	err := a.last.Err
	if a.history.mayHaveRun && err.Ran == result.NotRun {
		err = result.Wrap(result.ConnectionLost, err, "an earlier attempt may have run")
	}
	a.Record(Event{Call: a.Call, Kind: "failed", Service: a.service, Attempts: a.history.attempts, Err: err})
	return nil, err
}
