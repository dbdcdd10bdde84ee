package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestHotKeyDrainsFromItsOldShardToo checks that the shard of a single key is not
// released while a request for the key, admitted when the key was in another
// shard, still waits or runs. Otherwise the key could have two owners.
func TestHotKeyDrainsFromItsOldShardToo(t *testing.T) {
	is := is.New(t)
	const hash = 77
	d := newDrains()
	is.NoErr(d.admit(1, SlotRequest{Service: "s", Target: "t", Shard: 3, Key: hash}))
	is.NoErr(d.admit(2, SlotRequest{Service: "s", Target: "t", Shard: 3, Key: hash + 1}))
	first := d.recordGrant(Grant{Ticket: 1, Slot: Slot{Target: core.Target{ID: "t", Service: "s"}}})
	drained := false
	d.drainKey(shardKey{"s", 16}, hash, core.Fence{Counter: 9}, func() { drained = true })
	is.True(!drained)
	d.removeWaiting(2)
	is.True(!drained)
	d.release(first.Slot)
	is.True(drained)
}
