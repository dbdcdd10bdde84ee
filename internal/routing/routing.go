// Package routing decides where one request goes next: to a target that this
// daemon dispatches, to another daemon, or back to the caller as a refusal. It
// is a decisions layer only.
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

// MaxForwards bounds the hops between daemons of one request: one to the home
// cell and one to the dispatcher in it.
const MaxForwards = 2

// Hash returns the hash by which tables name a key.
func Hash(key string) uint64 { return xxhash.Sum64String(key) }

// Shard returns the shard of a key.
func Shard(key string, shards uint32) core.Shard {
	return core.Shard(Hash(key) % uint64(shards))
}

// Step is where a request goes next. Without Here it is forwarded to Forward.
// With Here it is dispatched: to Target when that is set, else to any target of
// the service; if none is free and Forward is set, it is forwarded after all.
type Step struct {
	Here    bool
	Forward core.VM
	Target  core.TargetID
	Fence   core.Fence
}

// Place is what a daemon knows when it routes a request.
type Place struct {
	Self   core.VM
	State  *config.State
	Table  *cell.Table
	View   *spread.View
	Now    time.Time
	Random uint64
}

// Route returns the next step of r.
func Route(p Place, r *exchange.Request) (Step, error) {
	svc, ok := p.State.Services[r.Service]
	if !ok {
		return Step{}, result.New(result.UnknownService, "service %s", r.Service)
	}
	step, err := route(p, svc, r)
	if err != nil {
		return Step{}, err
	}
	if !step.Here && r.Forwards >= MaxForwards {
		return Step{}, result.New(result.TooManyForwards, "request was forwarded %d times", r.Forwards)
	}
	return step, nil
}

func route(p Place, svc config.Service, r *exchange.Request) (Step, error) {
	if svc.Keyed {
		return routeKeyed(p, r)
	}
	return routeOpen(p, r)
}

func routeKeyed(p Place, r *exchange.Request) (Step, error) {
	home, ok := p.State.Home(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no home", r.Shard, r.Service)
	}
	if !takesWork(p.State, home) {
		return Step{}, result.New(result.DataCentreOut, "the home of shard %d of %s is out", r.Shard, r.Service)
	}
	if home != p.Table.Cell {
		return toCell(p, home, uint64(r.Shard)+uint64(r.Attempt))
	}
	if hot, ok := p.Table.HotKey(r.Service, Hash(r.Key)); ok {
		r.Shard = hot
	}
	a, entry, ok := p.Table.Owner(r.Service, r.Shard)
	if !ok {
		return Step{}, result.New(result.ShardUnassigned, "shard %d of %s has no owner", r.Shard, r.Service)
	}
	if entry.Dispatcher != p.Self {
		return Step{Forward: entry.Dispatcher}, nil
	}
	return Step{Here: true, Target: a.Target, Fence: a.Fence}, nil
}

// takesWork reports whether the cell's data centre takes new work. One that is
// leaving still does, for the shards that it has not handed over.
func takesWork(s *config.State, c core.Cell) bool {
	status := s.DataCentres[s.Cells[c].DataCentre].Status
	return status == config.DataCentreActive || status == config.DataCentreDraining
}

// toCell picks a member of a cell by number, so that equal numbers share a
// connection.
func toCell(p Place, c core.Cell, number uint64) (Step, error) {
	members := p.State.Cells[c].Members
	if len(members) == 0 {
		return Step{}, result.New(result.CellUnreachable, "cell %s has no members", c)
	}
	return Step{Forward: members[number%uint64(len(members))]}, nil
}

// routeOpen prefers this daemon's own targets, then those of the cell, then
// another cell, which only the daemon where the request came in may pick.
func routeOpen(p Place, r *exchange.Request) (Step, error) {
	if p.State.DataCentres[p.State.Cells[p.Table.Cell].DataCentre].Status != config.DataCentreActive {
		return toOtherCell(p, r, result.DataCentreOut)
	}
	here := p.View.Dispatches(p.Self, r.Service)
	if here && r.Forwards > 0 {
		return Step{Here: true}, nil
	}
	other, ok := p.View.Choose(p.Self, r.Service, p.Now, p.Random)
	switch {
	case here && ok && p.View.Load(other, r.Service, p.Now) < spread.Full:
		return Step{Here: true, Forward: other}, nil
	case here:
		return Step{Here: true}, nil
	case ok:
		return Step{Forward: other}, nil
	}
	return toOtherCell(p, r, result.NoTarget)
}

// toOtherCell picks a member of another cell at random, or refuses with code.
func toOtherCell(p Place, r *exchange.Request, code result.Code) (Step, error) {
	if r.Forwards > 0 {
		return Step{}, result.New(code, "cell %s has no target of %s that takes work", p.Table.Cell, r.Service)
	}
	var chosen core.Cell
	lowest := uint64(0)
	for name, c := range p.State.Cells {
		if name == p.Table.Cell || len(c.Members) == 0 || p.State.DataCentres[c.DataCentre].Status != config.DataCentreActive {
			continue
		}
		if rank := xxhash.Sum64String(string(name)) * (p.Random | 1); chosen == "" || rank < lowest {
			chosen, lowest = name, rank
		}
	}
	if chosen == "" {
		return Step{}, result.New(code, "no cell has a target of %s that takes work", r.Service)
	}
	return toCell(p, chosen, p.Random>>32)
}
