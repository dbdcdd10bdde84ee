package balance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

var errNoLeader = errors.New("no leader in this test")

// testTask returns a task whose workspaces are counted by "counter" and its "backup".
func testTask(draw func(address string, wants []quota.Want) ([]quota.Supply, error)) *Task {
	if draw == nil {
		draw = func(string, []quota.Want) ([]quota.Supply, error) { return nil, errNoLeader }
	}
	return NewTask(Options{
		Self: "entry-1", Home: "a", Bounds: Bounds{BudgetWindow: 10 * time.Second, Quota: testQuota}, Seed: 1,
		CounterOf: func(core.Workspace) (string, string) { return "counter", "backup" },
		Draw: func(_ context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error) {
			if backup != (address == "backup") {
				return nil, errNoLeader
			}
			return draw(address, wants)
		},
	})
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
// no token is admitted with one drawn from the workspace's counter, and refused
// when the counter has none. Until the retry time that the counter sent, requests
// are refused at once.
func TestRequestWaitsForADrawnToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tokens := 1
		b := testTask(func(_ string, wants []quota.Want) ([]quota.Supply, error) {
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
		is.True(clock.Since(begin) < time.Millisecond) // no draw before the counter's RetryAfter has passed
		cancel()
		synctest.Wait()
	})
}

// TestLostCounterHasABackup checks that requests of a workspace whose counter doesn't
// answer are admitted by its backup, without waiting for the counter each time, and
// that a slow draw of one workspace doesn't delay another's.
func TestLostCounterHasABackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		asked := make(chan string, 64)
		b := testTask(func(address string, wants []quota.Want) ([]quota.Supply, error) {
			asked <- address
			if address == "counter" && wants[0].Workspace == "lab" {
				time.Sleep(drawTimeout)
				return nil, errNoLeader
			}
			return []quota.Supply{{Workspace: wants[0].Workspace, Tokens: wants[0].Tokens}}, nil
		})
		go func() { _ = b.Serve(ctx) }()
		b.ConfigChanged(testState(t, config.PatchCatalog{Tenants: []config.Tenancy{{Item: config.Item{Revision: 1}, Name: "desk", Rate: 10, Burst: 10}}}))
		b.FleetUpdated(ctx, fleet.Update{Term: 1, EntryVMs: 10, Targets: []fleet.TargetState{stateOf("i-1", open)}})
		synctest.Wait()
		ask := func(w core.Workspace) (time.Duration, *result.Error) {
			begin := clock.Now()
			r := request("", clock.Now())
			r.Workspace, r.Route = w, testRoute(open)
			_, _, err := b.Choose(ctx, r, clock.Now())
			return clock.Since(begin), err
		}
		done := make(chan time.Duration, 1)
		go func() {
			took, _ := ask("lab")
			done <- took
		}()
		time.Sleep(time.Millisecond)
		took, err := ask("desk")
		is.True(err == nil)
		is.Equal(took, time.Duration(0))
		is.Equal(<-done, drawTimeout)
		took, err = ask("lab")
		is.True(err == nil)
		is.Equal(took, time.Duration(0)) // the counter is left out for a while
		cancel()
		synctest.Wait()
	})
}
