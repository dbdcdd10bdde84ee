package task

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var errUnavailable = errors.New("the resource is unavailable")

// TestTaskRunsSoonAfterItsResourceIsBack guards against a supervisor that pauses for
// many seconds after a few quick failures: a task whose resource was unavailable for
// some seconds runs within maxRestartDelay after the resource is back, and does not
// spin meanwhile.
func TestTaskRunsSoonAfterItsResourceIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const outage = 4500 * time.Millisecond
		begin := time.Now()
		attempts, backAfter := 0, time.Duration(0)
		s := NewSupervisor("test", func(string) {})
		s.Add(Func("writer", func(ctx context.Context) error {
			attempts++
			if time.Since(begin) < outage {
				return errUnavailable
			}
			backAfter = time.Since(begin) - outage
			<-ctx.Done()
			return ctx.Err()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = s.Serve(ctx)
		is.True(attempts > 1 && attempts < 20)
		is.True(backAfter > 0)
		is.True(backAfter <= maxRestartDelay)
	})
}

// TestFailingTaskDoesNotDelayOthers guards against a restart delay that all tasks of
// a supervisor share: a task that fails once restarts at once beside one that keeps
// failing.
func TestFailingTaskDoesNotDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := NewSupervisor("test", func(string) {})
		s.Add(Func("failing", func(context.Context) error { return errUnavailable }))
		var runs []time.Time
		var failedAt time.Time
		s.Add(Func("steady", func(ctx context.Context) error {
			runs = append(runs, time.Now())
			if len(runs) > 1 {
				<-ctx.Done()
				return ctx.Err()
			}
			time.Sleep(stableRun + time.Second)
			failedAt = time.Now()
			return errUnavailable
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_ = s.Serve(ctx)
		is.Equal(len(runs), 2)
		is.Equal(runs[1], failedAt)
	})
}

// TestRestartDelay checks that the delay grows with failures in a row up to its
// limit, and that a failure after a long run counts as a first one.
func TestRestartDelay(t *testing.T) {
	is := is.New(t)
	delay := time.Duration(0)
	for range 20 {
		next := restartDelay(delay, time.Millisecond)
		is.True(next >= minRestartDelay && next <= maxRestartDelay && next >= delay)
		delay = next
	}
	is.Equal(delay, maxRestartDelay)
	is.Equal(restartDelay(delay, stableRun), time.Duration(0))
}
