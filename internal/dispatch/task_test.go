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

// withRunningTask calls test with a running task that has one target of one slot,
// in fake time.
func withRunningTask(t *testing.T, test func(t *testing.T, d *Task)) {
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

// TestDeadlineInQueue checks that the task's timer refuses a waiting request
// exactly at its deadline.
func TestDeadlineInQueue(t *testing.T) {
	withRunningTask(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		began := time.Now()
		n := SlotRequest{Service: "s", Workspace: "w", Deadline: began.Add(70 * time.Millisecond)}
		slot, err := d.Acquire(t.Context(), n)
		is.NoErr(err)
		_, err = d.Acquire(t.Context(), n)
		is.Equal(result.CodeOf(err), result.DeadlineInQueue)
		is.Equal(time.Since(began), 70*time.Millisecond)
		d.Release(slot, exchange.Attempt{})
	})
}

// TestCancelledCallerLosesNoSlot checks that no slot is lost when a caller cancels
// its request before or after the grant.
func TestCancelledCallerLosesNoSlot(t *testing.T) {
	withRunningTask(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		n := SlotRequest{Service: "s", Workspace: "w", Deadline: time.Now().Add(time.Minute)}
		for range 20 {
			slot, err := d.Acquire(t.Context(), n)
			is.NoErr(err)
			ctx, cancelCall := context.WithCancel(t.Context())
			acquired := make(chan error)
			go func() {
				_, err := d.Acquire(ctx, n)
				acquired <- err
			}()
			synctest.Wait()
			cancelCall()
			d.Release(slot, exchange.Attempt{})
			if err := <-acquired; err != nil {
				is.Equal(result.CodeOf(err), result.CallerGone)
			} else {
				d.Release(slot, exchange.Attempt{})
			}
		}
		is.NoErr(d.AwaitIdle(t.Context()))
	})
}

// TestMovedTargetRefusesItsQueue checks that requests that wait for a target are
// refused with NotOwner at once when its dispatcher changes, and that AwaitTable
// returns.
func TestMovedTargetRefusesItsQueue(t *testing.T) {
	withRunningTask(t, func(t *testing.T, d *Task) {
		is := is.New(t)
		n := SlotRequest{Service: "s", Target: "t0", Workspace: "w", Deadline: time.Now().Add(time.Minute)}
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
