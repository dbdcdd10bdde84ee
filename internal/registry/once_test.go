package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestProposeOnceIsNotAcceptedInALaterTerm checks that a change of a key's owner
// that a partitioned leader proposed is never accepted after the partition heals.
// By then the next leader may have renewed the grant that the change revokes.
func TestProposeOnceIsNotAcceptedInALaterTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		oldLeader := n.leader()
		_, err := oldLeader.task.Propose(t.Context(), put("first", 0, 1))
		is.NoErr(err)
		n.withLock(func() { n.partitioned[oldLeader.vm] = true })
		outcome := make(chan error, 1)
		go func() {
			_, err := oldLeader.task.ProposeOnce(t.Context(), put("late", 0, 2))
			outcome <- err
		}()
		time.Sleep(3 * time.Second) // the others elect the next leader
		n.withLock(func() { delete(n.partitioned, oldLeader.vm) })
		is.True(<-outcome != nil)
		time.Sleep(10 * time.Second) // a retry would have been accepted by now
		state, err := n.leader().task.Read(t.Context())
		is.NoErr(err)
		is.Equal(state.Workspaces["lab"].Rate, 1.0)
		n.stopAll()
	})
}
