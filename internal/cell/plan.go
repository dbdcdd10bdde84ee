package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Plan returns the table that follows from prev when exactly these targets are
// alive and these members dispatch. It moves as few shards as it can: an owner
// that is alive keeps its shards up to the even share, rounded up.
func Plan(prev *Table, state *config.State, targets map[core.TargetID]core.Target, members []core.VM) *Table {
	next := NewTable(prev.Cell)
	next.Fence = prev.Fence
	next.Fence.Counter++
	next.Targets = planDispatchers(prev, targets, members)
	for name, svc := range state.Services {
		if svc.Keyed {
			next.Shards[name] = planShards(prev, next, state, svc)
		}
	}
	return next
}

// planDispatchers keeps each live dispatcher and gives the rest of the targets
// to the member with the fewest.
func planDispatchers(prev *Table, targets map[core.TargetID]core.Target, members []core.VM) map[core.TargetID]TargetEntry {
	entries := make(map[core.TargetID]TargetEntry, len(targets))
	load := make(map[core.VM]int, len(members))
	for _, m := range members {
		load[m] = 0
	}
	var unplaced []core.TargetID
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		d := prev.Targets[id].Dispatcher
		if _, ok := load[d]; !ok {
			unplaced = append(unplaced, id)
			continue
		}
		entries[id] = TargetEntry{Target: targets[id], Dispatcher: d}
		load[d]++
	}
	for _, id := range unplaced {
		d := leastLoaded(load)
		entries[id] = TargetEntry{Target: targets[id], Dispatcher: d}
		load[d]++
	}
	return entries
}

// planShards assigns the shards whose home is this cell.
func planShards(prev, next *Table, state *config.State, svc config.Service) []Assignment {
	shards := make([]Assignment, svc.Shards)
	load := map[core.TargetID]int{}
	for id, e := range next.Targets {
		if e.Target.Service == svc.Name && !e.Target.Leaving {
			load[id] = 0
		}
	}
	if len(load) == 0 {
		return shards
	}
	home := homeShards(state, svc, next.Cell)
	share := (len(home) + len(load) - 1) / len(load)
	var unplaced []core.Shard
	for _, s := range home {
		a, _, ok := prev.Owner(svc.Name, s)
		n, alive := load[a.Target]
		if !ok || !alive || n >= share {
			unplaced = append(unplaced, s)
			continue
		}
		shards[s] = a
		load[a.Target]++
	}
	for _, s := range unplaced {
		id := leastLoaded(load)
		shards[s] = Assignment{Target: id, Fence: next.Fence}
		load[id]++
	}
	return shards
}

func homeShards(state *config.State, svc config.Service, cell core.Cell) []core.Shard {
	var home []core.Shard
	for s := range core.Shard(svc.Shards) {
		if c, ok := state.Home(svc.Name, s); ok && c == cell {
			home = append(home, s)
		}
	}
	return home
}

// leastLoaded returns the name with the smallest load, the smaller name on a tie.
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
