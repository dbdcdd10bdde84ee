package faketarget

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// GrantOrder is one message from a dispatcher about the shards of a service.
type GrantOrder struct {
	Service core.Service
	Holder  core.Fence // of the sender's member lease
	TTL     time.Duration
	Since   time.Duration // reading of the target's clock from which TTL counts; 0: the receipt
	Reset   bool          // drop every shard of the service first
	Add     []ShardFence
	Remove  []ShardFence
}

// ShardFence names a shard and the fence of its assignment.
type ShardFence struct {
	Shard core.Shard
	Fence core.Fence
}

// Held is one granted shard.
type Held struct {
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence
	Until   time.Time
}

// Tenure is the time during which the target held one shard. End is the
// earlier of its removal and the end of its last grant.
type Tenure struct {
	Target  core.TargetID
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence
	Start   time.Time
	End     time.Time
}

type shardKey struct {
	service core.Service
	shard   core.Shard
}

// grants holds the shards that dispatchers have granted, the newest fence seen
// of each shard, and the tenures that ended.
type grants struct {
	target core.TargetID
	began  time.Time // zero of the target's clock
	checks bool      // refuse fences older than one seen
	holder map[core.Service]core.Fence
	seen   map[shardKey]core.Fence
	held   map[shardKey]*Tenure
	ended  []Tenure
}

func newGrants(target core.TargetID, checks bool, began time.Time) *grants {
	return &grants{
		target: target, checks: checks, began: began,
		holder: map[core.Service]core.Fence{},
		seen:   map[shardKey]core.Fence{},
		held:   map[shardKey]*Tenure{},
	}
}

// apply carries out o whole, or refuses it whole with the newer fence.
func (g *grants) apply(o GrantOrder, now time.Time) (stale core.Fence, ok bool) {
	g.expire(now)
	if newer, old := g.older(o); old && g.checks {
		return newer, false
	}
	g.holder[o.Service] = o.Holder
	if o.Reset {
		g.drop(now, func(k shardKey) bool { return k.service == o.Service })
	}
	for _, r := range o.Remove {
		k := shardKey{o.Service, r.Shard}
		g.note(k, r.Fence)
		g.drop(now, func(other shardKey) bool { return other == k })
	}
	for _, a := range o.Add {
		g.add(shardKey{o.Service, a.Shard}, a.Fence, now)
	}
	until := now.Add(o.TTL)
	if o.Since > 0 {
		until = g.began.Add(o.Since + o.TTL)
	}
	for k, t := range g.held {
		if k.service == o.Service {
			t.End = latest(t.End, until)
		}
	}
	g.expire(now)
	return core.Fence{}, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (g *grants) older(o GrantOrder) (newer core.Fence, old bool) {
	if h := g.holder[o.Service]; o.Holder.Less(h) {
		return h, true
	}
	for _, a := range o.Add {
		if seen := g.seen[shardKey{o.Service, a.Shard}]; a.Fence.Less(seen) {
			return seen, true
		}
	}
	return core.Fence{}, false
}

func (g *grants) add(k shardKey, f core.Fence, now time.Time) {
	g.note(k, f)
	if t := g.held[k]; t != nil {
		t.Fence = f
		return
	}
	g.held[k] = &Tenure{Target: g.target, Service: k.service, Shard: k.shard, Fence: f, Start: now}
}

func (g *grants) note(k shardKey, f core.Fence) {
	if g.seen[k].Less(f) {
		g.seen[k] = f
	}
}

func (g *grants) drop(now time.Time, match func(shardKey) bool) {
	for k, t := range g.held {
		if match(k) {
			t.End = now
			g.ended = append(g.ended, *t)
			delete(g.held, k)
		}
	}
}

// expire ends the tenures whose grant ran out.
func (g *grants) expire(now time.Time) {
	for k, t := range g.held {
		if !now.Before(t.End) {
			g.ended = append(g.ended, *t)
			delete(g.held, k)
		}
	}
}

// allows reports whether a request for shard with this fence may run.
func (g *grants) allows(service core.Service, shard core.Shard, f core.Fence, now time.Time) bool {
	if !g.checks {
		return true
	}
	t := g.held[shardKey{service, shard}]
	return t != nil && now.Before(t.End) && !f.Less(t.Fence)
}

// list returns the live grants in the order of service and shard.
func (g *grants) list(now time.Time) []Held {
	g.expire(now)
	held := make([]Held, 0, len(g.held))
	for _, k := range slices.SortedFunc(maps.Keys(g.held), compareShards) {
		t := g.held[k]
		held = append(held, Held{Service: k.service, Shard: k.shard, Fence: t.Fence, Until: t.End})
	}
	return held
}

func compareShards(a, b shardKey) int {
	if a.service != b.service {
		if a.service < b.service {
			return -1
		}
		return 1
	}
	return int(a.shard) - int(b.shard)
}

// tenures returns the tenures that ended and those that last.
func (g *grants) tenures() []Tenure {
	all := slices.Clone(g.ended)
	for _, t := range g.held {
		all = append(all, *t)
	}
	return all
}

// restart forgets what a new process cannot know.
func (g *grants) restart(now time.Time) {
	g.drop(now, func(shardKey) bool { return true })
	g.holder = map[core.Service]core.Fence{}
	g.seen = map[shardKey]core.Fence{}
}
