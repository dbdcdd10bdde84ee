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

// script is a balancer that names target after target, and targets that do
// what their step says.
type script struct {
	steps  []Sent
	delays []time.Duration
	sent   int
	done   []balance.Outcome
}

func (s *script) Choose(context.Context, balance.Request, time.Time) (balance.Choice, core.Service, *result.Error) {
	s.sent++
	if s.sent > len(s.steps) {
		return balance.Choice{}, "certdesk", result.New(result.NoTarget, "no more targets")
	}
	id := core.TargetID(fmt.Sprint("i-", s.sent))
	return balance.Choice{Target: core.Target{ID: id}, Ticket: uint64(s.sent), Patience: 200 * time.Millisecond}, "certdesk", nil
}

func (s *script) Done(o balance.Outcome) { s.done = append(s.done, o) }

func (s *script) Send(ctx context.Context, t core.Target, _ *Call) Sent {
	var n int
	_, _ = fmt.Sscanf(string(t.ID), "i-%d", &n)
	if n <= len(s.delays) {
		select {
		case <-time.After(s.delays[n-1]):
		case <-ctx.Done():
			return Sent{Err: result.New(result.CallerGone, "cancelled")}
		}
	}
	return s.steps[n-1]
}

func answered(status int) Sent { return Sent{Answer: &exchange.Answer{Status: status}} }

func failed(code result.Code, ran result.Ran) Sent {
	e := result.New(code, "scripted")
	e.Ran = ran
	return Sent{Err: e}
}

func call(repeatable bool) *Call {
	return &Call{
		Request: &exchange.Request{ID: "r", Retryable: repeatable, Deadline: clock.Now().Add(time.Second)},
		Route:   config.Route{Name: "route", Attempts: 2}, Fresh: func() bool { return true },
	}
}

func serve(s *script, c *Call) (*exchange.Answer, error) {
	r := &Relay{Balancer: s, Sender: s, Record: func(Event) {}}
	return r.Serve(context.Background(), c)
}

// TestUnrepeatableRunsOnce holds that a request which may not be repeated is
// sent again only after a sending that provably did not run.
func TestUnrepeatableRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first Sent
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
				s := &script{steps: []Sent{c.first, answered(200)}}
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

// TestNotRunIsTrue holds that a request of which any sending may have run is
// never answered as one that has not.
func TestNotRunIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{steps: []Sent{failed(result.ConnectionLost, result.MayHaveRun), failed(result.TargetRefused, result.NotRun)}}
		_, err := serve(s, call(true))
		is.Equal(result.From(err).Ran, result.MayHaveRun)
		s = &script{steps: []Sent{failed(result.ConnectionLost, result.MayHaveRun)}}
		_, err = serve(s, call(true)) // the second has no target
		is.Equal(result.From(err).Ran, result.MayHaveRun)
	})
}

// TestRepeatableRunsOnFewTargets holds that a request runs on no more targets
// than its route allows.
func TestRepeatableRunsOnFewTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := failed(result.ConnectionLost, result.MayHaveRun)
		s := &script{steps: []Sent{lost, lost, lost, lost}}
		_, err := serve(s, call(true))
		is.True(err != nil)
		is.Equal(s.sent, 2)
	})
}

// TestSilentTargetIsHedged holds that a repeatable request is answered by a
// second target while the first is silent, and that the first is cancelled.
func TestSilentTargetIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{
			steps:  []Sent{answered(200), answered(200)},
			delays: []time.Duration{time.Hour, 50 * time.Millisecond},
		}
		begin := clock.Now()
		_, err := serve(s, call(true))
		is.NoErr(err)
		is.Equal(clock.Since(begin), 250*time.Millisecond)
		synctest.Wait()
		is.Equal(len(s.done), 2)
		s = &script{steps: []Sent{answered(200), answered(200)}, delays: []time.Duration{500 * time.Millisecond}}
		_, err = serve(s, call(false))
		is.NoErr(err)
		is.Equal(s.sent, 1)
	})
}

// TestStaleKeyIsNotSent holds that a request whose caller key was not confirmed
// lately reaches no target.
func TestStaleKeyIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &script{steps: []Sent{answered(200)}}
		c := call(true)
		c.Fresh = func() bool { return false }
		_, err := serve(s, c)
		is.Equal(result.From(err).Code, result.NoLease)
		is.Equal(result.From(err).Ran, result.NotRun)
		is.Equal(len(s.done), 1) // the balancer counts it no longer
	})
}
