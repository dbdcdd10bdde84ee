package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// shardPlan assigns the shards of one service.
type shardPlan struct {
	prev, next *Table
	in         Inputs
	svc        config.Service
	shards     []Assignment
	load       map[core.TargetID]int // shards of each target that may be given some
	free       []core.Shard
}

func newShardPlan(prev, next *Table, in Inputs, svc config.Service) *shardPlan {
	count := next.shardCount(svc)
	p := &shardPlan{prev: prev, next: next, in: in, svc: svc, shards: make([]Assignment, count), load: map[core.TargetID]int{}}
	copy(p.shards, next.Shards[svc.Name])
	for id, e := range next.Targets {
		if e.Target.Service == svc.Name && !e.Target.Draining && !in.Proved.Down[id] {
			p.load[id] = 0
		}
	}
	return p
}

func (p *shardPlan) run() []Assignment {
	for s := range p.shards {
		p.keep(core.Shard(s))
	}
	if p.in.Unsettled[p.svc.Name] || len(p.load) == 0 {
		return p.shards
	}
	for _, s := range p.free {
		p.assign(s)
	}
	p.even()
	return p.shards
}

// home reports whether the shard belongs to this cell. A hot key's shard
// exists only in its cell's table.
func (p *shardPlan) home(s core.Shard) bool {
	if uint32(s) >= p.svc.Shards {
		return true
	}
	c, ok := p.in.State.Home(p.svc.Name, s)
	_, moving := p.in.State.PendingHomeMove(p.svc.Name, s)
	return ok && c == p.next.Cell && !moving
}

// keep decides whether the shard stays with its owner, is asked back, or is free.
func (p *shardPlan) keep(s core.Shard) {
	a := p.shards[s]
	home := p.home(s)
	if a.Target != "" && p.ended(s, a) {
		a = Assignment{}
		p.shards[s] = a
	}
	switch _, eligible := p.load[a.Target]; {
	case a.Target == "":
		if home {
			p.free = append(p.free, s)
		}
	case a.Releasing:
	case !home || !eligible && !p.in.Proved.Down[a.Target] || p.pinnedElsewhere(s, a.Target):
		p.shards[s].Releasing = true
	case eligible:
		p.load[a.Target]++
	}
}

// ended reports whether the owner provably owns the shard no more.
func (p *shardPlan) ended(s core.Shard, a Assignment) bool {
	if ended, ok := p.in.Proved.Ended[a.Target]; ok && !ended.Less(a.Fence) {
		return true
	}
	return p.in.Proved.Shards[ReleasedShard{p.svc.Name, s, a.Fence}]
}

func (p *shardPlan) assign(s core.Shard) {
	id := p.pinned(s)
	if id == "" {
		id = p.remembered(s)
	}
	if id == "" {
		id = leastLoaded(p.load)
	}
	p.shards[s] = Assignment{Target: id, Fence: p.in.Fence}
	p.load[id]++
}

// pinned returns the owner that was chosen, while it may be given shards.
func (p *shardPlan) pinned(s core.Shard) core.TargetID {
	id := p.next.Pins[p.svc.Name][s].Target
	if _, ok := p.load[id]; !ok {
		return ""
	}
	return id
}

func (p *shardPlan) pinnedElsewhere(s core.Shard, owner core.TargetID) bool {
	id := p.pinned(s)
	return id != "" && id != owner
}

// remembered returns the owner that a shard had before a loss of memory: the
// target that still holds its grant, or the one that members knew.
func (p *shardPlan) remembered(s core.Shard) core.TargetID {
	if p.in.Hint == nil {
		return ""
	}
	if h, ok := p.in.Proved.Held[p.svc.Name][s]; ok {
		if _, ok := p.load[h.Target]; ok {
			return h.Target
		}
	}
	a, _, _ := p.in.Hint.Owner(p.svc.Name, s)
	if _, ok := p.load[a.Target]; ok {
		return a.Target
	}
	return ""
}

// even asks back as many shards as it takes for each target to have the even
// share, rounded down, and no target more than that rounded up.
func (p *shardPlan) even() {
	total := 0
	for _, n := range p.load {
		total += n
	}
	coming := 0
	for _, a := range p.shards {
		if a.Target != "" && a.Releasing {
			coming++
		}
	}
	total += coming
	floor := total / len(p.load)
	ceil := (total + len(p.load) - 1) / len(p.load)
	wanted := -coming
	for _, n := range p.load {
		wanted += max(0, floor-n)
	}
	surplus := p.surplus(floor, ceil, wanted)
	for s := len(p.shards) - 1; s >= 0 && len(surplus) > 0; s-- {
		a := &p.shards[s]
		if surplus[a.Target] > 0 && !a.Releasing && p.next.Pins[p.svc.Name][core.Shard(s)].Target == "" && a.Fence != p.in.Fence {
			a.Releasing = true
			surplus[a.Target]--
		}
	}
}

// surplus returns how many shards each target is asked for: what it has above
// ceil, and then, from the largest, what others lack to reach floor.
func (p *shardPlan) surplus(floor, ceil, wanted int) map[core.TargetID]int {
	ids := slices.SortedFunc(maps.Keys(p.load), func(a, b core.TargetID) int {
		return cmp.Or(cmp.Compare(p.load[b], p.load[a]), cmp.Compare(a, b))
	})
	surplus := map[core.TargetID]int{}
	for _, id := range ids {
		if n := p.load[id] - ceil; n > 0 {
			surplus[id] = n
			wanted -= n
		}
	}
	for _, id := range ids {
		if wanted <= 0 {
			break
		}
		if p.load[id]-surplus[id] > floor {
			surplus[id]++
			wanted--
		}
	}
	return surplus
}
