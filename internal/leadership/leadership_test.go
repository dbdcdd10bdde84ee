package leadership

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// fakeRegistry is the registry as one member sees it.
type fakeRegistry struct {
	status task.Snapshot[Status]
	cut    task.Snapshot[bool]
}

func (f fakeRegistry) Leadership(context.Context) (Status, error) { return *f.status.Load(), nil }

func (f fakeRegistry) Confirm(context.Context) error {
	if *f.cut.Load() {
		return errors.New("no majority")
	}
	return nil
}

func member(leader core.VM, term uint64) fakeRegistry {
	return fakeRegistry{task.NewSnapshot(&Status{leader, term}), task.NewSnapshot(new(bool))}
}

// TestTenuresNeverOverlap holds that a leader which is cut off without noticing
// ends its tenure before the next one begins, even when that is elected at once.
func TestTenuresNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		old, next := member("a", 1), member("a", 1)
		a, b := NewTask("a", old), NewTask("b", next)
		go func() { _ = a.Serve(ctx) }()
		go func() { _ = b.Serve(ctx) }()
		time.Sleep(2 * time.Second)
		is.True(a.Tenure().Live(time.Now()))
		is.True(!b.Tenure().Live(time.Now()))
		yes := true
		old.cut.Publish(&yes) // a goes on believing that it leads
		next.status.Publish(&Status{"b", 2})
		served := false
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			live := b.Tenure().Live(time.Now())
			is.True(!live || !a.Tenure().Live(time.Now()))
			served = served || live
		}
		is.True(served)
		cancel()
		synctest.Wait()
	})
}

// TestFollowerKnowsTheLeader holds that other daemons learn whom to ask.
func TestFollowerKnowsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := NewTask("c", member("a", 7))
		go func() { _ = f.Serve(ctx) }()
		time.Sleep(time.Second)
		is.Equal(f.Tenure().Leader, core.VM("a"))
		is.True(!f.Tenure().Live(time.Now()))
		cancel()
		synctest.Wait()
	})
}
