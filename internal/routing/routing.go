// Package routing decides where a request goes next: to a target that this
// daemon dispatches to, to another daemon, or back to the caller with an
// error. It has no I/O and no goroutines.
package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/spread"
)

// MaxForwards is the largest number of hops of a request between daemons: one to
// the home cell of its shard, and one to the dispatcher in that cell.
const MaxForwards = 2

// Hash returns the hash that identifies a key in assignment tables.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Shard returns the shard of a key.
func Shard(key string, shards uint32) core.Shard {
	return core.Shard(Hash(key) % uint64(shards))
}

// Step is where a request goes next. If Local is false, the request is
// forwarded to Forward. If Local is true, it is dispatched on this daemon: to
// Target if that is set, or else to any target of the service. If no target is
// free and Forward is set, it is forwarded instead.
type Step struct {
	Local   bool
	Forward core.VM
	Target  core.TargetID
	Fence   core.Fence
}

// Input is what a routing decision depends on: the state that the daemon knows,
// and a random number.
type Input struct {
	Self   core.VM
	State  *config.State
	Table  *cell.Table
	View   *spread.View
	Now    time.Time
	Random uint64
}

// Route returns the next step of r. It changes the shard of r if its key is a hot
// key with a shard of its own.
func Route(in Input, r *exchange.Request) (Step, error) {
	svc, ok := in.State.Services[r.Service]
	if !ok {
		return Step{}, result.New(result.UnknownService, "no service is named %s", r.Service)
	}
	step, err := route(in, svc, r)
	if err != nil {
		return Step{}, err
	}
	if !step.Local && r.Forwards >= MaxForwards {
		return Step{}, result.New(result.TooManyForwards, "request was already forwarded %d times", r.Forwards)
	}
	return step, nil
}

func route(in Input, svc config.Service, r *exchange.Request) (Step, error) {
	if svc.Keyed {
		return routeKeyed(in, r)
	}
	return routeOpen(in, r)
}

// routeKeyed routes a request to the dispatcher of its shard's owner in the
// shard's home cell.
func routeKeyed(in Input, r *exchange.Request) (Step, error) {
	home, ok := in.State.Home(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no home", r.Shard, r.Service)
	}
	if !acceptsRequests(in.State, home) {
		return Step{}, result.New(result.DataCentreOut, "the data centre of the home cell of shard %d of %s is out", r.Shard, r.Service)
	}
	if home != in.Table.Cell {
		return toCell(in, home, uint64(r.Shard)+uint64(r.Attempt))
	}
	if hotShard, ok := in.Table.HotKey(r.Service, Hash(r.Key)); ok {
		r.Shard = hotShard
	}
	assignment, entry, ok := in.Table.Owner(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no owner", r.Shard, r.Service)
	}
	if entry.Dispatcher != in.Self {
		return Step{Forward: entry.Dispatcher}, nil
	}
	return Step{Local: true, Target: assignment.Target, Fence: assignment.Fence}, nil
}

// acceptsRequests reports whether the cell's data centre accepts requests for its
// shards. One that is draining still accepts them for shards that it has not
// handed over.
func acceptsRequests(s *config.State, c core.Cell) bool {
	status := s.DataCentres[s.Cells[c].DataCentre].Status
	return status == config.DataCentreActive || status == config.DataCentreDraining
}

// toCell forwards to the member of a cell that number selects, so that requests
// with equal numbers share a connection.
func toCell(in Input, c core.Cell, number uint64) (Step, error) {
	members := in.State.Cells[c].Members
	if len(members) == 0 {
		return Step{}, result.New(result.CellUnreachable, "cell %s has no members", c)
	}
	return Step{Forward: members[number%uint64(len(members))]}, nil
}

// routeOpen routes a request without a key. It prefers targets of this daemon,
// then those of other daemons in the cell, then another cell. Only the daemon
// that received the request from the caller may choose another cell.
func routeOpen(in Input, r *exchange.Request) (Step, error) {
	if in.State.DataCentres[in.State.Cells[in.Table.Cell].DataCentre].Status != config.DataCentreActive {
		return toOtherCell(in, r, result.DataCentreOut)
	}
	here := in.View.Dispatches(in.Self, r.Service)
	if here && r.Forwards > 0 {
		return Step{Local: true}, nil
	}
	other, ok := in.View.Choose(in.Self, r.Service, in.Now, in.Random)
	switch {
	case here && ok && in.View.Load(other, r.Service, in.Now) < spread.Full:
		return Step{Local: true, Forward: other}, nil
	case here:
		return Step{Local: true}, nil
	case ok:
		return Step{Forward: other}, nil
	}
	return toOtherCell(in, r, result.NoTarget)
}

// toOtherCell forwards to a random member of a random other cell. If there is none,
// or the request was already forwarded, it returns an error with the given code, which
// states why this cell can't run the request.
func toOtherCell(in Input, r *exchange.Request, code result.Code) (Step, error) {
	if r.Forwards > 0 {
		return Step{}, result.New(code, "cell %s cannot run a forwarded request for %s", in.Table.Cell, r.Service)
	}
	var chosen core.Cell
	lowest := uint64(0)
	for name, c := range in.State.Cells {
		if name == in.Table.Cell || len(c.Members) == 0 || in.State.DataCentres[c.DataCentre].Status != config.DataCentreActive {
			continue
		}
		if rank := xxhash.Sum64String(string(name)) * (in.Random | 1); chosen == "" || rank < lowest {
			chosen, lowest = name, rank
		}
	}
	if chosen == "" {
		return Step{}, result.New(code, "this cell cannot run a request for %s, and no other cell is in service", r.Service)
	}
	return toCell(in, chosen, in.Random>>32)
}
