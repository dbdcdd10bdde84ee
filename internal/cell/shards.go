package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// shardPlan computes the assignment of the shards of one service.
type shardPlan struct {
	prev, next  *Table
	in          Inputs
	svc         config.Service
	shards      []Assignment
	shardCounts map[core.TargetID]int // number of shards of each target that may be given shards
	unassigned  []core.Shard
}

func newShardPlan(prev, next *Table, in Inputs, svc config.Service) *shardPlan {
	count := next.shardCount(svc)
	p := &shardPlan{prev: prev, next: next, in: in, svc: svc, shards: make([]Assignment, count), shardCounts: map[core.TargetID]int{}}
	copy(p.shards, next.Shards[svc.Name])
	for id, e := range next.Targets {
		if e.Target.Service == svc.Name && !e.Target.Draining && !in.Proved.Unreachable[id] {
			p.shardCounts[id] = 0
		}
	}
	return p
}

func (p *shardPlan) run() []Assignment {
	for s := range p.shards {
		p.review(core.Shard(s))
	}
	if p.in.RecoveringServices[p.svc.Name] || len(p.shardCounts) == 0 {
		return p.shards
	}
	for _, s := range p.unassigned {
		p.assign(s)
	}
	p.balance()
	return p.shards
}

// isHome reports whether this cell is the home of the shard and no move away is
// pending. The shard of a hot key exists only in the table of its home cell.
func (p *shardPlan) isHome(s core.Shard) bool {
	if uint32(s) >= p.svc.Shards {
		return true
	}
	c, ok := p.in.State.Home(p.svc.Name, s)
	_, moving := p.in.State.PendingHomeMove(p.svc.Name, s)
	return ok && c == p.next.Cell && !moving
}

// review decides whether the shard stays with its owner, is to be released, or is
// unassigned.
func (p *shardPlan) review(s core.Shard) {
	a := p.shards[s]
	home := p.isHome(s)
	if a.Target != "" && p.ownershipEnded(s, a) {
		a = Assignment{}
		p.shards[s] = a
	}
	switch _, eligible := p.shardCounts[a.Target]; {
	case a.Target == "":
		if home {
			p.unassigned = append(p.unassigned, s)
		}
	case a.Releasing:
	case !home || !eligible && !p.in.Proved.Unreachable[a.Target] || p.pinnedElsewhere(s, a.Target):
		p.shards[s].Releasing = true
	case eligible:
		p.shardCounts[a.Target]++
	}
}

// ownershipEnded reports whether the ownership of the shard has provably ended.
func (p *shardPlan) ownershipEnded(s core.Shard, a Assignment) bool {
	if ended, ok := p.in.Proved.EndedFences[a.Target]; ok && !ended.Less(a.Fence) {
		return true
	}
	return p.in.Proved.ReleasedShards[ReleasedShard{p.svc.Name, s, a.Fence}]
}

func (p *shardPlan) assign(s core.Shard) {
	id := p.pinned(s)
	if id == "" {
		id = p.previousOwner(s)
	}
	if id == "" {
		id = leastLoaded(p.shardCounts)
	}
	p.shards[s] = Assignment{Target: id, Fence: p.in.Fence}
	p.shardCounts[id]++
}

// pinned returns the pinned owner of a shard; empty if there is none or it may
// not be given shards.
func (p *shardPlan) pinned(s core.Shard) core.TargetID {
	id := p.next.Pins[p.svc.Name][s].Target
	if _, ok := p.shardCounts[id]; !ok {
		return ""
	}
	return id
}

func (p *shardPlan) pinnedElsewhere(s core.Shard, owner core.TargetID) bool {
	id := p.pinned(s)
	return id != "" && id != owner
}

// previousOwner returns the owner that a shard had before the cell lost its
// table: the target that still holds its grant, or the owner in the hint.
func (p *shardPlan) previousOwner(s core.Shard) core.TargetID {
	if p.in.Hint == nil {
		return ""
	}
	if h, ok := p.in.Proved.HeldShards[p.svc.Name][s]; ok {
		if _, ok := p.shardCounts[h.Target]; ok {
			return h.Target
		}
	}
	a, _, _ := p.in.Hint.Owner(p.svc.Name, s)
	if _, ok := p.shardCounts[a.Target]; ok {
		return a.Target
	}
	return ""
}

// balance marks as many shards for release as necessary for each target to have
// at least the average, rounded down, and at most the average, rounded up.
func (p *shardPlan) balance() {
	total := 0
	for _, n := range p.shardCounts {
		total += n
	}
	releasing := 0
	for _, a := range p.shards {
		if a.Target != "" && a.Releasing {
			releasing++
		}
	}
	total += releasing
	floor := total / len(p.shardCounts)
	ceil := (total + len(p.shardCounts) - 1) / len(p.shardCounts)
	needed := -releasing
	for _, n := range p.shardCounts {
		needed += max(0, floor-n)
	}
	surplus := p.surplus(floor, ceil, needed)
	for s := len(p.shards) - 1; s >= 0 && len(surplus) > 0; s-- {
		a := &p.shards[s]
		if surplus[a.Target] > 0 && !a.Releasing && p.next.Pins[p.svc.Name][core.Shard(s)].Target == "" && a.Fence != p.in.Fence {
			a.Releasing = true
			surplus[a.Target]--
		}
	}
}

// surplus returns how many shards each target has to release: those above ceil,
// and then one each, from the target with the most shards on, while others still
// need shards to reach floor.
func (p *shardPlan) surplus(floor, ceil, needed int) map[core.TargetID]int {
	ids := slices.SortedFunc(maps.Keys(p.shardCounts), func(a, b core.TargetID) int {
		return cmp.Or(cmp.Compare(p.shardCounts[b], p.shardCounts[a]), cmp.Compare(a, b))
	})
	surplus := map[core.TargetID]int{}
	for _, id := range ids {
		if n := p.shardCounts[id] - ceil; n > 0 {
			surplus[id] = n
			needed -= n
		}
	}
	for _, id := range ids {
		if needed <= 0 {
			break
		}
		if p.shardCounts[id]-surplus[id] > floor {
			surplus[id]++
			needed--
		}
	}
	return surplus
}
