package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/balance"
	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// script is a fake balancer that chooses a new target for each attempt, and a
// fake sender that returns the scripted outcomes in order.
type script struct {
	steps  []AttemptResult // outcome of each attempt
	delays []time.Duration // time until the outcome of each attempt
	sent   int
	done   []balance.Outcome
	// addresses are those of the targets, all different if nil. earlier, if not nil,
	// receives the number of earlier attempts for each call of Send.
	addresses []string
	earlier   chan int
}

func (s *script) Choose(context.Context, balance.Request, time.Time) (balance.Choice, core.Service, *result.Error) {
	s.sent++
	if s.sent > len(s.steps) {
		return balance.Choice{}, "certdesk", result.New(result.NoTarget, "no more targets")
	}
	id := core.TargetID(fmt.Sprint("i-", s.sent))
	address := string(id)
	if s.addresses != nil {
		address = s.addresses[s.sent-1]
	}
	return balance.Choice{Target: core.Target{ID: id, Address: address}, Ticket: uint64(s.sent), HedgeDelay: 200 * time.Millisecond}, "certdesk", nil
}

func (s *script) Done(o balance.Outcome) { s.done = append(s.done, o) }

func (s *script) Send(ctx context.Context, t core.Target, _ *Call, earlier int) AttemptResult {
	if s.earlier != nil {
		s.earlier <- earlier
	}
	var attempt int
	_, _ = fmt.Sscanf(string(t.ID), "i-%d", &attempt)
	if attempt <= len(s.delays) {
		select {
		case <-time.After(s.delays[attempt-1]):
		case <-ctx.Done():
			return AttemptResult{Err: result.New(result.CallerGone, "cancelled")}
		}
	}
	return s.steps[attempt-1]
}

func answered(status int) AttemptResult {
	return AttemptResult{Answer: &exchange.Answer{Status: status}}
}

func failed(code result.Code, ran result.Ran) AttemptResult {
	e := result.New(code, "scripted")
	e.Ran = ran
	return AttemptResult{Err: e}
}

func call(retryable bool) *Call {
	return &Call{
		Request: &exchange.Request{ID: "r", Retryable: retryable, Deadline: clock.Now().Add(time.Second)},
		Route:   config.Route{Name: "route", Attempts: 2}, Authorize: func() *result.Error { return nil },
	}
}

func serve(s *script, c *Call) (*exchange.Answer, error) {
	r := &Relay{Balancer: s, Sender: s, Record: func(Event) {}}
	return r.Serve(context.Background(), c)
}

// TestUnretryableRunsOnce checks that a request which is not retryable is sent
// again only after an attempt that provably did not run.
func TestUnretryableRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first AttemptResult
		sends int
		ran   result.Ran
	}{
		"lost answer":      {failed(result.ConnectionLost, result.MayHaveRun), 1, result.MayHaveRun},
		"crossed answer":   {failed(result.AnswerMismatch, result.MayHaveRun), 1, result.MayHaveRun},
		"refused":          {failed(result.TargetRefused, result.NotRun), 2, 0},
		"not connected":    {failed(result.ConnectFailed, result.NotRun), 2, 0},
		"not the owner":    {failed(result.NotOwner, result.NotRun), 2, 0},
		"target's failure": {answered(500), 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &script{steps: []AttemptResult{c.first, answered(200)}}
				answer, err := serve(s, call(false))
				is.Equal(s.sent, c.sends)
				if c.ran != 0 {
					is.Equal(result.From(err).Ran, c.ran)
				} else {
					is.NoErr(err)
					is.True(answer != nil)
				}
			})
		})
	}
}

// TestNotRunIsTrue checks that the error of a request never states that it has
// not run if any of its attempts may have run.
func TestNotRunIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{steps: []AttemptResult{failed(result.ConnectionLost, result.MayHaveRun), failed(result.TargetRefused, result.NotRun)}}
		_, err := serve(s, call(true))
		is.Equal(result.From(err).Ran, result.MayHaveRun)
		s = &script{steps: []AttemptResult{failed(result.ConnectionLost, result.MayHaveRun)}}
		_, err = serve(s, call(true)) // there is no target for the second attempt
		is.Equal(result.From(err).Ran, result.MayHaveRun)
	})
}

// TestRetryableRunsOnFewTargets checks that a request runs on no more targets
// than its route allows.
func TestRetryableRunsOnFewTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := failed(result.ConnectionLost, result.MayHaveRun)
		s := &script{steps: []AttemptResult{lost, lost, lost, lost}}
		_, err := serve(s, call(true))
		is.True(err != nil)
		is.Equal(s.sent, 2)
	})
}

// TestSilentTargetIsHedged checks that a retryable request is answered by a
// second target while the first does not respond, and that the first attempt
// is then cancelled. A request that is not retryable waits for the first
// target.
func TestSilentTargetIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			steps:  []AttemptResult{answered(200), answered(200)},
			delays: []time.Duration{time.Hour, 50 * time.Millisecond},
		}
		begin := clock.Now()
		_, err := serve(s, call(true))
		is.NoErr(err)
		is.Equal(clock.Since(begin), 250*time.Millisecond)
		synctest.Wait()
		is.Equal(len(s.done), 2)
		s = &script{steps: []AttemptResult{answered(200), answered(200)}, delays: []time.Duration{500 * time.Millisecond}}
		_, err = serve(s, call(false))
		is.NoErr(err)
		is.Equal(s.sent, 1)
	})
}

// TestStaleKeyIsNotSent checks that a request whose caller key was not confirmed
// recently enough reaches no target.
func TestStaleKeyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{steps: []AttemptResult{answered(200)}, earlier: make(chan int, 4)}
		c := call(true)
		c.Authorize = func() *result.Error { return result.New(result.NoLease, "stale") }
		_, err := serve(s, c)
		is.Equal(result.From(err).Code, result.NoLease)
		is.Equal(result.From(err).Ran, result.NotRun)
		is.Equal(len(s.earlier), 0)
		is.Equal(len(s.done), 1) // the balancer no longer counts the request as in flight
	})
}

// TestUnauthorizedRequestIsNotSent checks that a request which may not be sent, since
// its caller key was withdrawn or not confirmed recently enough, reaches no target,
// and that this is checked after the wait for a target, before each attempt.
func TestUnauthorizedRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refused := failed(result.TargetRefused, result.NotRun)
		s := &script{steps: []AttemptResult{refused, answered(200)}, earlier: make(chan int, 4)}
		c := call(true)
		chosen := 0
		c.Authorize = func() *result.Error {
			is.True(s.sent > chosen) // a target was chosen for this attempt
			if chosen = s.sent; chosen == 1 {
				return nil
			}
			return result.New(result.UnknownCallerKey, "withdrawn")
		}
		_, err := serve(s, c)
		is.Equal(result.From(err).Code, result.UnknownCallerKey)
		is.Equal(result.From(err).Ran, result.NotRun)
		is.Equal(len(s.earlier), 1) // only the first attempt was sent
		is.Equal(len(s.done), 2)    // the balancer no longer counts the request as in flight
	})
}

// TestSenderLearnsOfEarlierAttempts guards against a repeated request that is sent
// over the connection of its first attempt: the sender is told how many attempts
// went to the same address before.
func TestSenderLearnsOfEarlierAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refused := failed(result.TargetRefused, result.NotRun)
		s := &script{
			steps:     []AttemptResult{refused, refused, refused, answered(200)},
			addresses: []string{"a:1", "b:1", "a:1", "a:1"}, earlier: make(chan int, 4),
		}
		_, err := serve(s, call(false))
		is.NoErr(err)
		for _, want := range []int{0, 0, 1, 2} {
			is.Equal(<-s.earlier, want)
		}
	})
}
