package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

func tableOf(counter uint64, dispatcher core.VM, targets ...core.Target) *cell.Table {
	table := cell.NewTable("c")
	table.Fence.Counter = counter
	for _, t := range targets {
		t.Service = "s"
		table.Targets[t.ID] = cell.TargetEntry{Target: t, Dispatcher: dispatcher}
	}
	return table
}

// running runs a task with one target of one slot in a bubble of fake time.
func running(t *testing.T, test func(t *testing.T, d *Task)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := NewTask("vm")
		done := make(chan error)
		go func() { done <- d.Serve(ctx) }()
		d.TableChanged(tableOf(1, "vm", targetsOf(1)...))
		synctest.Wait()
		test(t, d)
		cancel()
		<-done
	})
	goleak.VerifyNone(t)
}

// TestDeadlineInQueue: a need that waits is refused exactly at its deadline, as
// not run, by the one timer.
func TestDeadlineInQueue(t *testing.T) {
	running(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		began := time.Now()
		n := Need{Service: "s", Workspace: "w", Deadline: began.Add(70 * time.Millisecond)}
		slot, err := d.Acquire(t.Context(), n)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), n)
		is.Equal(result.CodeOf(err), result.DeadlineInQueue)
		is.Equal(time.Since(began), 70*time.Millisecond)
		d.Release(slot, exchange.Attempt{})
	})
}

// TestCallerLeavesTheQueue: no slot is lost when callers leave, before or after
// their grant.
func TestCallerLeavesTheQueue(t *testing.T) {
	running(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		n := Need{Service: "s", Workspace: "w", Deadline: time.Now().Add(time.Minute)}
		for range 20 {
			slot, err := d.Acquire(t.Context(), n)
			is.NoErr(err)
			ctx, leave := context.WithCancel(t.Context())
			left := make(chan error)
			go func() {
				_, err := d.Acquire(ctx, n)
				left <- err
			}()
			synctest.Wait()
			leave()
			d.Release(slot, exchange.Attempt{})
			if err := <-left; err != nil {
				is.Equal(result.CodeOf(err), result.CallerGone)
			} else {
				d.Release(slot, exchange.Attempt{})
			}
		}
		is.NoErr(d.AwaitIdle(t.Context()))
	})
}

// TestMovedTargetRefusesItsQueue: needs that wait for a target whose dispatcher
// changed are refused as not run at once, and AwaitTable ends.
func TestMovedTargetRefusesItsQueue(t *testing.T) {
	running(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		n := Need{Service: "s", Target: "t0", Workspace: "w", Deadline: time.Now().Add(time.Minute)}
		slot, err := d.Acquire(t.Context(), n)
		is.NoErr(err)
		refused, moved := make(chan error), make(chan struct{})
		go func() {
			_, err := d.Acquire(t.Context(), n)
			refused <- err
		}()
		go func() {
			d.AwaitTable(t.Context(), core.Fence{Counter: 1})
			close(moved)
		}()
		synctest.Wait()
		d.TableChanged(tableOf(2, "other", targetsOf(1)...))
		is.Equal(result.CodeOf(<-refused), result.NotOwner)
		<-moved
		d.Release(slot, exchange.Attempt{})
		is.NoErr(d.AwaitIdle(t.Context()))
	})
}
