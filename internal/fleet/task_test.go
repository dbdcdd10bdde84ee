package fleet

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
	"github.com/comfreynotch/comfreynotch/internal/leadership"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// startTask runs a leader's task whose tenure the test publishes.
func startTask(ctx context.Context, tenure task.Snapshot[leadership.Tenure]) *Task {
	state := config.NewState()
	fail := func(context.Context, config.Command) (*config.State, error) {
		return nil, errors.New("not in this test")
	}
	t := NewTask(Options{
		Terms: testTerms, State: func() *config.State { return state },
		Tenure:  func() leadership.Tenure { return *tenure.Load() },
		Propose: fail, ProposeOnce: fail,
		Control: func(context.Context) []core.VM { return nil }, Record: func(string, ...any) {},
	})
	go func() { _ = t.Serve(ctx) }()
	return t
}

func beatOf(id core.TargetID, sequence uint64) Heartbeat {
	return Heartbeat{Target: core.Target{ID: id, Service: "s", Address: string(id), Slots: 4, Incarnation: 1}, Sequence: sequence}
}

// TestHeartbeatWaitsForTheTenure holds that a heartbeat which meets the leader
// just before its tenure is confirmed is answered after the confirmation, and
// that it waits no longer than its sender does.
func TestHeartbeatWaitsForTheTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := clock.Now()
		late := leadership.Tenure{Leader: "a", Term: 3, From: start.Add(300 * time.Millisecond)}
		tenure := task.NewSnapshot(&late)
		leader := startTask(ctx, tenure)
		time.AfterFunc(400*time.Millisecond, func() {
			live := late
			live.Until = start.Add(time.Hour)
			tenure.Publish(&live)
		})
		_, err := leader.Heartbeat(ctx, beatOf("i-1", 1))
		is.NoErr(err)
		is.True(clock.Since(start) >= 400*time.Millisecond && clock.Since(start) < 500*time.Millisecond)
		tenure.Publish(&late) // never confirmed
		asked := clock.Now()
		_, err = leader.Heartbeat(ctx, beatOf("i-1", 2))
		var elsewhere NotLeading
		is.True(errors.As(err, &elsewhere))
		is.True(clock.Since(asked) < ackWindow)
		cancel()
		synctest.Wait()
	})
}

// TestFollowerAnswersAtOnce holds that a heartbeat to another VM than the leader
// is told where to go without a wait.
func TestFollowerAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		follower := startTask(ctx, task.NewSnapshot(&leadership.Tenure{Leader: "b", Term: 3}))
		asked := clock.Now()
		_, err := follower.Heartbeat(ctx, beatOf("i-1", 1))
		is.Equal(err, NotLeading{"b"})
		is.Equal(clock.Since(asked), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// TestDrawNeedsATenure holds that only a VM that leads for certain hands out
// tokens; others say who leads.
func TestDrawNeedsATenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		ended := leadership.Tenure{Leader: "b", Term: 3, From: clock.Now(), Until: clock.Now()}
		follower := startTask(ctx, task.NewSnapshot(&ended))
		time.Sleep(time.Millisecond)
		_, err := follower.Draw(ctx, []quota.Want{{Workspace: "w", Tokens: 1}})
		var elsewhere NotLeading
		is.True(errors.As(err, &elsewhere))
		is.Equal(elsewhere.Leader, core.VM("b"))
		cancel()
		synctest.Wait()
	})
}
