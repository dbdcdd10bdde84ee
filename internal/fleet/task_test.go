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
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// startTask runs a task whose view of the leader and the lease the test publishes.
func startTask(ctx context.Context, lease task.Snapshot[leadership.Lease]) *Task {
	return startTaskWith(ctx, lease, config.NewState())
}

func startTaskWith(ctx context.Context, lease task.Snapshot[leadership.Lease], state *config.State) *Task {
	fail := func(context.Context, config.Command) (*config.State, error) {
		return nil, errors.New("not in this test")
	}
	t := NewTask(Options{
		Parameters: testParameters, State: func() *config.State { return state },
		Lease:   func() leadership.Lease { return *lease.Load() },
		Propose: fail, ProposeOnce: fail,
		ControlVMs: func(context.Context) []core.VM { return nil }, Record: func(string, ...any) {},
	})
	go func() { _ = t.Serve(ctx) }()
	return t
}

func heartbeatOf(id core.TargetID, sequence uint64) Heartbeat {
	return Heartbeat{Target: core.Target{ID: id, Service: "s", Address: string(id), Slots: 4, Incarnation: 1}, Sequence: sequence}
}

// TestHeartbeatWaitsForTheLease checks that a heartbeat that arrives at the leader
// just before its lease begins is answered once it has begun, and that the
// heartbeat waits for less time than its sender does.
func TestHeartbeatWaitsForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		start := clock.Now()
		unconfirmed := leadership.Lease{Leader: "a", Term: 3, From: start.Add(300 * time.Millisecond)}
		lease := task.NewSnapshot(&unconfirmed)
		leader := startTask(ctx, lease)
		time.AfterFunc(400*time.Millisecond, func() {
			live := unconfirmed
			live.Until = start.Add(time.Hour)
			lease.Publish(&live)
		})
		_, err := leader.Heartbeat(ctx, heartbeatOf("i-1", 1))
		is.NoErr(err)
		is.True(clock.Since(start) >= 400*time.Millisecond && clock.Since(start) < 500*time.Millisecond)
		lease.Publish(&unconfirmed) // and never confirm it
		sent := clock.Now()
		_, err = leader.Heartbeat(ctx, heartbeatOf("i-1", 2))
		var notLeading NotLeading
		is.True(errors.As(err, &notLeading))
		is.True(clock.Since(sent) < ackWindow)
		cancel()
		synctest.Wait()
	})
}

// TestHeartbeatOfAnUnknownServiceChangesNothing guards against keys with two owners: a
// heartbeat of another writer, with the id of a target and a service that isn't
// configured, made the leader take the target's keys away while its lease ran.
func TestHeartbeatOfAnUnknownServiceChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		state, err := config.NewState().Apply(config.Command{Change: config.PatchCatalog{
			Services: []config.TargetClass{{Item: config.Item{Revision: 1}, Name: "s"}},
		}})
		is.NoErr(err)
		now := clock.Now()
		lease := leadership.Lease{Leader: "a", Term: 3, From: now, Until: now.Add(time.Hour)}
		leader := startTaskWith(ctx, task.NewSnapshot(&lease), state)
		_, err = leader.Heartbeat(ctx, heartbeatOf("i-1", 1))
		is.NoErr(err)
		foreign := heartbeatOf("i-1", 9)
		foreign.Target.Service, foreign.Target.Incarnation = "unnamed", 7
		_, err = leader.Heartbeat(ctx, foreign)
		is.Equal(result.CodeOf(err), result.BadRequest)
		update, err := leader.Poll(ctx, PollRequest{Report: Report{VM: "e"}})
		is.NoErr(err)
		is.Equal(len(update.Targets), 1)
		is.Equal(update.Targets[0].Service, core.Service("s"))
		is.Equal(update.Targets[0].Incarnation, core.Incarnation(1))
		cancel()
		synctest.Wait()
	})
}

// TestFollowerAnswersAtOnce checks that a control VM that is not the leader answers
// a heartbeat without delay, with the name of the leader.
func TestFollowerAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		follower := startTask(ctx, task.NewSnapshot(&leadership.Lease{Leader: "b", Term: 3}))
		sent := clock.Now()
		_, err := follower.Heartbeat(ctx, heartbeatOf("i-1", 1))
		is.Equal(err, NotLeading{"b"})
		is.Equal(clock.Since(sent), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// TestCountersNeedNoLease checks that a control VM which doesn't lead answers draws as
// long as it knows a leader: the loss of the leader must not stop admission, and a VM
// that was cut off and replaced must not count beside its successor.
func TestCountersNeedNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		following := leadership.Lease{Leader: "b", Term: 3}
		lease := task.NewSnapshot(&following)
		follower := startTask(ctx, lease)
		time.Sleep(time.Millisecond)
		_, err := follower.Draw(ctx, []quota.Want{{Workspace: "w", Tokens: 1}}, false)
		is.NoErr(err)
		lease.Publish(&leadership.Lease{Term: 3})
		_, err = follower.Draw(ctx, []quota.Want{{Workspace: "w", Tokens: 1}}, false)
		var notLeading NotLeading
		is.True(errors.As(err, &notLeading))
		is.Equal(notLeading.Leader, core.VM("")) // it names nobody it can't know to lead
		cancel()
		synctest.Wait()
	})
}
