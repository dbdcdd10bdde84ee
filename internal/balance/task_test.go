package balance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

var errNoLeader = errors.New("no leader in this test")

func testTask(draw func(context.Context, []quota.Want) ([]quota.Supply, error)) *Task {
	if draw == nil {
		draw = func(context.Context, []quota.Want) ([]quota.Supply, error) { return nil, errNoLeader }
	}
	return NewTask(Options{Self: "entry-1", Home: "a", Bounds: Bounds{BudgetWindow: 10 * time.Second}, Seed: 1, Draw: draw})
}

// TestConfigurationIsNotLostWhenTheMailboxIsFull checks that a configuration
// change which arrives while the mailbox is full is applied soon after.
func TestConfigurationIsNotLostWhenTheMailboxIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		b := testTask(nil)
		update := fleet.Update{Term: 1, EntryVMs: 1, Targets: []fleet.TargetState{stateOf("i-1", open)}}
		for range mailboxSize {
			b.FleetUpdated(ctx, update)
		}
		b.ConfigChanged(testState(t))
		go func() { _ = b.Serve(ctx) }()
		time.Sleep(2 * reviewPeriod)
		r := request("", clock.Now())
		r.Workspace, r.Route = "lab", testRoute(open)
		_, _, err := b.Choose(ctx, r, clock.Now())
		is.Equal(result.CodeOf(errorOf(err)), result.RateExceeded) // the workspace's rate is known
		cancel()
		synctest.Wait()
	})
}

func errorOf(e *result.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// TestRequestWaitsForADrawnToken checks that a request for which this VM has
// no token is admitted with one drawn from the leader, and refused when the
// leader has none. Until the retry time that the leader sent, requests are
// refused at once.
func TestRequestWaitsForADrawnToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tokens := 1
		b := testTask(func(ctx context.Context, wants []quota.Want) ([]quota.Supply, error) {
			wait := time.NewTimer(3 * time.Millisecond)
			<-wait.C
			s := quota.Supply{Workspace: wants[0].Workspace, Tokens: min(tokens, wants[0].Tokens), RetryAfter: time.Second}
			tokens -= s.Tokens
			return []quota.Supply{s}, nil
		})
		go func() { _ = b.Serve(ctx) }()
		b.ConfigChanged(testState(t))
		b.FleetUpdated(ctx, fleet.Update{Term: 1, EntryVMs: 10, Targets: []fleet.TargetState{stateOf("i-1", open)}})
		synctest.Wait()
		ask := func() *result.Error {
			r := request("", clock.Now())
			r.Workspace, r.Route = "lab", testRoute(open)
			_, _, err := b.Choose(ctx, r, clock.Now())
			return err
		}
		is.True(ask() == nil)
		is.Equal(result.CodeOf(errorOf(ask())), result.RateExceeded)
		begin := clock.Now()
		is.Equal(result.CodeOf(errorOf(ask())), result.RateExceeded)
		is.True(clock.Since(begin) < time.Millisecond) // no draw before the leader's RetryAfter has passed
		cancel()
		synctest.Wait()
	})
}
