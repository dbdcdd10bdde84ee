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

// TestQueuedRequestFollowsItsHotKey checks that a request which waits for the
// owner of its shard is not sent there once its key has been moved to a shard of
// its own with another owner. Otherwise the key would have two owners.
func TestQueuedRequestFollowsItsHotKey(t *testing.T) {
	simulate(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		unblock := make(chan struct{})
		sim.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) {
			<-unblock
			return ok()
		}
		served := make(chan error, 5)
		for _, key := range []string{"a", "b", "c", "d", "k"} {
			r := request("keyed", false)
			r.Key = key
			go func() {
				_, err := sim.Serve(context.Background(), r)
				served <- err
			}()
			synctest.Wait()
		}
		sim.splitKey("k", "t1")
		close(unblock)
		for range 5 {
			is.NoErr(<-served)
		}
		sends := map[core.TargetID]int{}
		for range 5 {
			sends[<-sim.sent]++
		}
		is.Equal(sends, map[core.TargetID]int{"t0-keyed": 4, "t1-keyed": 1})
	})
}

// splitKey publishes a table in which the key has a shard of its own, owned by
// owner.
func (sim *simulation) splitKey(key string, owner core.TargetID) {
	table := *sim.table.Load()
	table.Fence.Counter++
	table.HotKeys = map[core.Service]map[uint64]core.Shard{"keyed": {xxhash.Sum64String(key): 1}}
	table.Shards = map[core.Service][]cell.Assignment{
		"keyed": append(table.Shards["keyed"][:1:1], cell.Assignment{Target: owner + "-keyed", Fence: table.Fence}),
	}
	sim.table.Publish(&table)
	sim.dispatch.TableChanged(&table)
	synctest.Wait()
}
