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

// fakeRegistry is one member's view of the registry.
type fakeRegistry struct {
	status      task.Snapshot[Status]
	partitioned task.Snapshot[bool]
}

func (f fakeRegistry) Leadership(context.Context) (Status, error) { return *f.status.Load(), nil }

func (f fakeRegistry) Confirm(context.Context) error {
	if *f.partitioned.Load() {
		return errors.New("no majority")
	}
	return nil
}

func member(leader core.VM, term uint64) fakeRegistry {
	return fakeRegistry{task.NewSnapshot(&Status{leader, term}), task.NewSnapshot(new(bool))}
}

// TestLeasesNeverOverlap checks that the lease of a leader that is partitioned
// without noticing ends before the lease of the next leader begins, even if the
// next leader is elected at once.
func TestLeasesNeverOverlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		old, next := member("a", 1), member("a", 1)
		a, b := NewTask("a", old), NewTask("b", next)
		go func() { _ = a.Serve(ctx) }()
		go func() { _ = b.Serve(ctx) }()
		time.Sleep(2 * time.Second)
		is.True(a.Lease().Live(time.Now()))
		is.True(!b.Lease().Live(time.Now()))
		partitioned := true
		old.partitioned.Publish(&partitioned) // a still regards itself as the leader
		next.status.Publish(&Status{"b", 2})
		leaseBegan := false
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			live := b.Lease().Live(time.Now())
			is.True(!live || !a.Lease().Live(time.Now()))
			leaseBegan = leaseBegan || live
		}
		is.True(leaseBegan)
		cancel()
		synctest.Wait()
	})
}

// TestFollowerLearnsTheLeader checks that daemons other than the leader learn
// which VM leads, and hold no lease.
func TestFollowerLearnsTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		follower := NewTask("c", member("a", 7))
		go func() { _ = follower.Serve(ctx) }()
		time.Sleep(time.Second)
		is.Equal(follower.Lease().Leader, core.VM("a"))
		is.True(!follower.Lease().Live(time.Now()))
		cancel()
		synctest.Wait()
	})
}
