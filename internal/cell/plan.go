package cell

import (
	"cmp"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Inputs holds everything that the next table depends on, other than the previous
// table.
type Inputs struct {
	State              *config.State
	Fence              core.Fence // of the next table
	Coordinator        core.VM
	Targets            map[core.TargetID]core.Target // reported by members
	Members            []core.VM                     // reachable, may be given targets; sorted
	ExpiredDispatchers map[core.VM]bool              // dispatchers whose leases have provably ended
	Proved             Proofs
	Pins               []Pin // requested since the previous table

	// Recovery after a majority lost its tables: Hint is the newest table that was
	// found, or nil. MayPlace reports whether every earlier member lease has ended,
	// so that targets may be placed; it is true without a recovery.
	// RecoveringServices holds the services of which an earlier grant may still be
	// live.
	Hint               *Table
	MayPlace           bool
	RecoveringServices map[core.Service]bool
}

// Proofs are the facts of all members that match the current table.
type Proofs struct {
	ReleasedShards  map[ReleasedShard]bool
	ReleasedTargets map[ReleasedTarget]bool
	Unreachable     map[core.TargetID]bool       // value true: the target does not answer
	EndedFences     map[core.TargetID]core.Fence // assignments up to the fence have ended
	HeldShards      map[core.Service]map[core.Shard]HeldShard
}

func newProofs() Proofs {
	return Proofs{
		ReleasedShards:  map[ReleasedShard]bool{},
		ReleasedTargets: map[ReleasedTarget]bool{},
		Unreachable:     map[core.TargetID]bool{},
		EndedFences:     map[core.TargetID]core.Fence{},
		HeldShards:      map[core.Service]map[core.Shard]HeldShard{},
	}
}

// add adds the facts of one member. It accepts facts about a target only from its
// dispatcher and for its current placement.
func (p Proofs) add(t *Table, from core.VM, f Facts) {
	for _, s := range f.ReleasedShards {
		a, e, ok := t.Owner(s.Service, s.Shard)
		if ok && a.Fence == s.Fence && e.Dispatcher == from {
			p.ReleasedShards[s] = true
		}
	}
	for _, r := range f.ReleasedTargets {
		if e := t.Targets[r.Target]; e.Dispatcher == from && e.Fence == r.Fence {
			p.ReleasedTargets[r] = true
		}
	}
	for _, r := range f.EndedTargets {
		if e := t.Targets[r.Target]; e.Dispatcher == from && e.Fence == r.Fence {
			p.Unreachable[r.Target] = !r.Answering
			p.EndedFences[r.Target] = r.EndedFence
		}
	}
	for _, h := range f.HeldShards {
		held := p.HeldShards[h.Service]
		if held == nil {
			held = map[core.Shard]HeldShard{}
			p.HeldShards[h.Service] = held
		}
		if held[h.Shard].Fence.Less(h.Fence) && t.Targets[h.Target].Dispatcher == from {
			held[h.Shard] = h
		}
	}
}

// Plan returns the table that follows prev. It moves as few shards and targets as
// possible, and none whose holder may still use it.
func Plan(prev *Table, in Inputs) *Table {
	next := prev.clone()
	next.Fence, next.Coordinator = in.Fence, in.Coordinator
	next.Recovering = !in.MayPlace || len(in.RecoveringServices) > 0
	if requested := newestMoveRequest(in.State, next.Cell); requested > next.Config {
		next.Config = in.State.Version
	}
	if !in.MayPlace {
		return next
	}
	for _, pin := range in.Pins {
		next.pin(pin, in)
	}
	placeTargets(prev, next, in)
	for name := range prev.Shards {
		if svc, ok := in.State.Services[name]; !ok || !svc.Keyed {
			delete(next.Shards, name)
		}
	}
	for name, svc := range in.State.Services {
		if svc.Keyed {
			next.Shards[name] = newShardPlan(prev, next, in, svc).run()
		}
	}
	return next
}

// leastLoaded returns the key with the smallest load; on a tie, the smallest key.
func leastLoaded[K cmp.Ordered](load map[K]int) K {
	var best K
	first := true
	for k, n := range load {
		if first || n < load[best] || n == load[best] && k < best {
			best, first = k, false
		}
	}
	return best
}
