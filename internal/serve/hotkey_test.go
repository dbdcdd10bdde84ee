package serve

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
)

// TestQueuedRequestFollowsItsHotKey holds "a key has at most one owning server":
// a request that waits for the owner of its shard isn't sent there once its key
// has a shard of its own with another owner.
func TestQueuedRequestFollowsItsHotKey(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		is := is.New(t)
		open := make(chan struct{})
		w.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) {
			<-open
			return ok()
		}
		served := make(chan error, 5)
		for _, key := range []string{"a", "b", "c", "d", "k"} {
			r := request("keyed", false)
			r.Key = key
			go func() {
				_, err := w.Serve(context.Background(), r)
				served <- err
			}()
			synctest.Wait()
		}
		w.splitKey("k", "t1")
		close(open)
		for range 5 {
			is.NoErr(<-served)
		}
		sends := map[core.TargetID]int{}
		for range 5 {
			sends[<-w.sent]++
		}
		is.Equal(sends, map[core.TargetID]int{"t0-keyed": 4, "t1-keyed": 1})
	})
}

// splitKey publishes a table in which a key has a shard of its own.
func (w *world) splitKey(key string, owner core.TargetID) {
	table := *w.table.Load()
	table.Fence.Counter++
	table.HotKeys = map[core.Service]map[uint64]core.Shard{"keyed": {xxhash.Sum64String(key): 1}}
	table.Shards = map[core.Service][]cell.Assignment{
		"keyed": append(table.Shards["keyed"][:1:1], cell.Assignment{Target: owner + "-keyed", Fence: table.Fence}),
	}
	w.table.Publish(&table)
	w.dispatch.TableChanged(&table)
	synctest.Wait()
}
