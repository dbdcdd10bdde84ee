package cell

import (
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// defaultDispatchGroup is the number of targets in a dispatch group, which one
// member dispatches together, when the service sets none.
const defaultDispatchGroup = 6

// placement counts the targets that each member dispatches, in all and by
// service.
type placement struct {
	state        *config.State
	targetCounts map[core.VM]int
	byService    map[core.VM]map[core.Service]int
}

func newPlacement(in Inputs) *placement {
	p := &placement{state: in.State, targetCounts: map[core.VM]int{}, byService: map[core.VM]map[core.Service]int{}}
	for _, m := range in.Members {
		p.targetCounts[m] = 0
		p.byService[m] = map[core.Service]int{}
	}
	return p
}

func (p *placement) add(vm core.VM, service core.Service) {
	if _, ok := p.targetCounts[vm]; ok {
		p.targetCounts[vm]++
		p.byService[vm][service]++
	}
}

// choose returns the member for a target without dispatcher: one with an
// incomplete group of the service, or else the one with the fewest targets. The
// targets of a group have the same dispatcher, so that they share one queue.
func (p *placement) choose(service core.Service) core.VM {
	size := groupSize(p.state, service)
	var best core.VM
	for _, vm := range slices.Sorted(maps.Keys(p.targetCounts)) {
		n := p.byService[vm][service]
		if n%size != 0 && (best == "" || p.targetCounts[vm] < p.targetCounts[best]) {
			best = vm
		}
	}
	if best == "" {
		best = leastLoaded(p.targetCounts)
	}
	p.add(best, service)
	return best
}

func groupSize(state *config.State, service core.Service) int {
	if n := state.Services[service].DispatchGroup; n > 0 {
		return n
	}
	return defaultDispatchGroup
}

// placeTargets fills next.Targets. A target keeps its dispatcher until the
// dispatcher has released it or the dispatcher's lease has provably ended.
func placeTargets(prev, next *Table, in Inputs) {
	next.Targets = make(map[core.TargetID]TargetEntry, len(in.Targets))
	p := newPlacement(in)
	var unplaced []core.TargetID
	for _, id := range slices.Sorted(maps.Keys(prev.Targets)) {
		e := prev.Targets[id]
		t, alive := in.Targets[id]
		if alive {
			e.Target = t
		} else {
			e.Target.Draining = true
		}
		released := e.Releasing && in.Proved.ReleasedTargets[ReleasedTarget{id, e.Fence}]
		owns := ownsShards(prev, e.Target)
		switch {
		case in.ExpiredDispatchers[e.Dispatcher] || released && owns:
			next.Targets[id] = e
			unplaced = append(unplaced, id)
		case released && alive:
			unplaced = append(unplaced, id)
		case released:
			// The target is removed: no member sends to it, and it owns no shard.
		case !alive && !owns:
			e.Releasing = true
			next.Targets[id] = e
		default:
			next.Targets[id] = e
			p.add(e.Dispatcher, e.Target.Service)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(in.Targets)) {
		if _, ok := prev.Targets[id]; !ok {
			unplaced = append(unplaced, id)
		}
	}
	p.placeAll(next, in, unplaced)
	p.rebalance(next, in)
}

func (p *placement) placeAll(next *Table, in Inputs, unplaced []core.TargetID) {
	if len(in.Members) == 0 {
		return
	}
	for _, id := range unplaced {
		e, placed := next.Targets[id]
		if !placed {
			e.Target = in.Targets[id]
		}
		if e.Target.ID == "" {
			continue
		}
		e.Dispatcher, e.Fence, e.Releasing = p.choose(e.Target.Service), in.Fence, false
		next.Targets[id] = e
	}
}

// rebalance marks a whole group of the member with the most targets for release
// if moving it to the member with the fewest reduces the difference. It does
// nothing while an earlier move is in progress.
func (p *placement) rebalance(next *Table, in Inputs) {
	for _, e := range next.Targets {
		if e.Releasing && !e.Target.Draining {
			return
		}
	}
	if len(p.targetCounts) < 2 {
		return
	}
	to := leastLoaded(p.targetCounts)
	from := to
	for _, vm := range in.Members {
		if p.targetCounts[vm] > p.targetCounts[from] {
			from = vm
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.byService[from])) {
		n := p.byService[from][service]
		size := min(groupSize(p.state, service), n)
		if n == 0 || p.targetCounts[from]-p.targetCounts[to] <= size {
			continue
		}
		releaseGroup(next, from, service, size)
		return
	}
}

func releaseGroup(next *Table, from core.VM, service core.Service, size int) {
	for _, id := range slices.Sorted(maps.Keys(next.Targets)) {
		e := next.Targets[id]
		if size > 0 && e.Dispatcher == from && e.Target.Service == service {
			e.Releasing = true
			next.Targets[id] = e
			size--
		}
	}
}

func ownsShards(t *Table, target core.Target) bool {
	for _, a := range t.Shards[target.Service] {
		if a.Target == target.ID {
			return true
		}
	}
	return false
}
