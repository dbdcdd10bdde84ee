package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestLeadersDecisionEndsWithItsTerm holds that an owner's change which a leader
// decided while it was cut off is never accepted after the cut: by then the
// next leader may have renewed the grant that the change takes away.
func TestLeadersDecisionEndsWithItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		old := n.leader()
		_, err := old.task.Propose(t.Context(), put("first", 0, 1))
		is.NoErr(err)
		n.set(func() { n.cut[old.vm] = true })
		outcome := make(chan error, 1)
		go func() {
			_, err := old.task.ProposeOnce(t.Context(), put("late", 0, 2))
			outcome <- err
		}()
		time.Sleep(3 * time.Second) // the others elect the next leader
		n.set(func() { delete(n.cut, old.vm) })
		is.True(<-outcome != nil)
		time.Sleep(10 * time.Second) // a repeat would have been accepted by now
		state, err := n.leader().task.Read(t.Context())
		is.NoErr(err)
		is.Equal(state.Workspaces["lab"].Rate, 1.0)
		n.stopAll()
	})
}
