// Package routing decides where one request goes next: to a target that this
// daemon dispatches, to another daemon, or back to the caller as a refusal. It
// is a decisions layer only.
package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// MaxForwards bounds the hops between daemons of one request.
const MaxForwards = 2

// Shard returns the shard of a key.
func Shard(key string, shards uint32) core.Shard {
	return core.Shard(xxhash.Sum64String(key) % uint64(shards))
}

// Step is where a request goes next. Either Forward names a daemon, or the
// request is dispatched here: to Target when it is set, else to any target of
// the service.
type Step struct {
	Forward core.VM
	Target  core.TargetID
	Fence   core.Fence
}

// Route returns the next step of r at daemon self.
func Route(self core.VM, state *config.State, table *cell.Table, r *exchange.Request) (Step, error) {
	svc, ok := state.Services[r.Service]
	if !ok {
		return Step{}, result.New(result.UnknownService, "service %s", r.Service)
	}
	if r.Forwards > MaxForwards {
		return Step{}, result.New(result.TooManyForwards, "request was forwarded %d times", r.Forwards)
	}
	if svc.Keyed {
		return routeKeyed(self, state, table, r)
	}
	return routeOpen(self, table, r)
}

func routeKeyed(self core.VM, state *config.State, table *cell.Table, r *exchange.Request) (Step, error) {
	home, ok := state.Home(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no home", r.Shard, r.Service)
	}
	if home != table.Cell {
		return toCell(state, home, r)
	}
	a, entry, ok := table.Owner(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no owner", r.Shard, r.Service)
	}
	if entry.Dispatcher != self {
		return Step{Forward: entry.Dispatcher}, nil
	}
	return Step{Target: a.Target, Fence: a.Fence}, nil
}

// toCell picks a member of the home cell by the request's shard, so that the
// requests of one shard share a connection.
func toCell(state *config.State, home core.Cell, r *exchange.Request) (Step, error) {
	members := state.Cells[home].Members
	if len(members) == 0 {
		return Step{}, result.New(result.CellUnreachable, "cell %s has no members", home)
	}
	return Step{Forward: members[int(r.Shard)%len(members)]}, nil
}

func routeOpen(self core.VM, table *cell.Table, r *exchange.Request) (Step, error) {
	var other core.VM
	for _, e := range table.Targets {
		if e.Target.Service != r.Service || e.Target.Leaving {
			continue
		}
		if e.Dispatcher == self {
			return Step{}, nil
		}
		other = e.Dispatcher
	}
	if other == "" {
		return Step{}, result.New(result.NoTarget, "no target of %s is known", r.Service)
	}
	return Step{Forward: other}, nil
}
