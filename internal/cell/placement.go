package cell

import (
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// defaultDispatchGroup is the number of targets of one service that one member
// dispatches when the service does not say.
const defaultDispatchGroup = 6

// placement counts the targets that each member dispatches.
type placement struct {
	state  *config.State
	total  map[core.VM]int
	groups map[core.VM]map[core.Service]int
}

func newPlacement(in Inputs) *placement {
	p := &placement{state: in.State, total: map[core.VM]int{}, groups: map[core.VM]map[core.Service]int{}}
	for _, m := range in.Members {
		p.total[m] = 0
		p.groups[m] = map[core.Service]int{}
	}
	return p
}

func (p *placement) add(vm core.VM, service core.Service) {
	if _, ok := p.total[vm]; ok {
		p.total[vm]++
		p.groups[vm][service]++
	}
}

// choose returns the member for a target that has none: one whose group of the
// service has room, or else the one with the fewest targets. Groups stay
// together, so that one task has one queue over all targets of a group.
func (p *placement) choose(service core.Service) core.VM {
	size := groupSize(p.state, service)
	var best core.VM
	for _, vm := range slices.Sorted(maps.Keys(p.total)) {
		n := p.groups[vm][service]
		if n%size != 0 && (best == "" || p.total[vm] < p.total[best]) {
			best = vm
		}
	}
	if best == "" {
		best = leastLoaded(p.total)
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

// placeTargets fills next.Targets. A target keeps its dispatcher until that
// one released it or has provably lost its lease.
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
		released := e.Releasing && in.Proved.Targets[ReleasedTarget{id, e.Fence}]
		owns := ownsShards(prev, e.Target)
		switch {
		case in.Lost[e.Dispatcher] || released && owns:
			next.Targets[id] = e
			unplaced = append(unplaced, id)
		case released && alive:
			unplaced = append(unplaced, id)
		case released:
			// gone: nothing sends to it and nothing is assigned to it
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
	p.place(next, in, unplaced)
	p.rebalance(next, in)
}

func (p *placement) place(next *Table, in Inputs, unplaced []core.TargetID) {
	if len(in.Members) == 0 {
		return
	}
	for _, id := range unplaced {
		e, kept := next.Targets[id]
		if !kept {
			e.Target = in.Targets[id]
		}
		if e.Target.ID == "" {
			continue
		}
		e.Dispatcher, e.Fence, e.Releasing = p.choose(e.Target.Service), in.Fence, false
		next.Targets[id] = e
	}
}

// rebalance asks one member for a whole group when another dispatches so much
// less that the move evens them. One move is open at a time.
func (p *placement) rebalance(next *Table, in Inputs) {
	for _, e := range next.Targets {
		if e.Releasing && !e.Target.Draining {
			return
		}
	}
	if len(p.total) < 2 {
		return
	}
	to := leastLoaded(p.total)
	from := to
	for _, vm := range in.Members {
		if p.total[vm] > p.total[from] {
			from = vm
		}
	}
	for _, service := range slices.Sorted(maps.Keys(p.groups[from])) {
		n := p.groups[from][service]
		size := min(groupSize(p.state, service), n)
		if n == 0 || p.total[from]-p.total[to] <= size {
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
