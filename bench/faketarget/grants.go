package faketarget

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// GrantOrder is one message with which a dispatcher changes or renews the target's
// grants for the shards of a service.
type GrantOrder struct {
	Service core.Service
	Holder  core.Fence    // fence of the sender's member lease
	TTL     time.Duration // lifetime of all grants of the service
	Since   time.Duration // time on the target's clock from which TTL counts; 0: the time of receipt
	Reset   bool          // drop every shard of the service first
	Add     []ShardFence
	Remove  []ShardFence
}

// ShardFence is a shard with the fence of its assignment.
type ShardFence struct {
	Shard core.Shard
	Fence core.Fence
}

// LiveGrant is a shard with a live grant.
type LiveGrant struct {
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence
	Until   time.Time // when the grant expires
}

// GrantPeriod is a period during which the target held one shard. End is when the
// grant was removed or expired, or when it expires if it is still live.
type GrantPeriod struct {
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

// grants holds the grants of one target: the live ones, the newest fence received
// for each shard, and the ones that ended.
type grants struct {
	target core.TargetID
	began  time.Time                   // origin of the target's clock
	checks bool                        // refuse orders and requests with an outdated fence
	holder map[core.Service]core.Fence // newest holder's fence of each service
	seen   map[shardKey]core.Fence
	held   map[shardKey]*GrantPeriod
	ended  []GrantPeriod
}

func newGrants(target core.TargetID, checks bool, began time.Time) *grants {
	return &grants{
		target: target, checks: checks, began: began,
		holder: map[core.Service]core.Fence{},
		seen:   map[shardKey]core.Fence{},
		held:   map[shardKey]*GrantPeriod{},
	}
}

// apply applies all of o, or refuses all of it and returns the newer fence that
// makes it stale.
func (g *grants) apply(o GrantOrder, now time.Time) (stale core.Fence, ok bool) {
	g.expire(now)
	if newer, old := g.isStale(o); old && g.checks {
		return newer, false
	}
	g.holder[o.Service] = o.Holder
	if o.Reset {
		g.endMatching(now, func(k shardKey) bool { return k.service == o.Service })
	}
	for _, r := range o.Remove {
		k := shardKey{o.Service, r.Shard}
		g.recordFence(k, r.Fence)
		g.endMatching(now, func(other shardKey) bool { return other == k })
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

// isStale reports whether o has a fence isStale than one received before, which it
// returns.
func (g *grants) isStale(o GrantOrder) (newer core.Fence, old bool) {
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
	g.recordFence(k, f)
	if t := g.held[k]; t != nil {
		t.Fence = f
		return
	}
	g.held[k] = &GrantPeriod{Target: g.target, Service: k.service, Shard: k.shard, Fence: f, Start: now}
}

// recordFence remembers f as the newest fence of a shard, unless a newer one is known.
func (g *grants) recordFence(k shardKey, f core.Fence) {
	if g.seen[k].Less(f) {
		g.seen[k] = f
	}
}

// endMatching ends the grants of the shards that match.
func (g *grants) endMatching(now time.Time, match func(shardKey) bool) {
	for k, t := range g.held {
		if match(k) {
			t.End = now
			g.ended = append(g.ended, *t)
			delete(g.held, k)
		}
	}
}

// expire ends the grants whose time has passed.
func (g *grants) expire(now time.Time) {
	for k, t := range g.held {
		if !now.Before(t.End) {
			g.ended = append(g.ended, *t)
			delete(g.held, k)
		}
	}
}

// allows reports whether a request for shard with fence f may run.
func (g *grants) allows(service core.Service, shard core.Shard, f core.Fence, now time.Time) bool {
	if !g.checks {
		return true
	}
	t := g.held[shardKey{service, shard}]
	return t != nil && now.Before(t.End) && !f.Less(t.Fence)
}

// list returns the live grants sorted by service and shard.
func (g *grants) list(now time.Time) []LiveGrant {
	g.expire(now)
	held := make([]LiveGrant, 0, len(g.held))
	for _, k := range slices.SortedFunc(maps.Keys(g.held), compareShards) {
		t := g.held[k]
		held = append(held, LiveGrant{Service: k.service, Shard: k.shard, Fence: t.Fence, Until: t.End})
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

// periods returns the periods of all grants, both ended and live.
func (g *grants) periods() []GrantPeriod {
	all := slices.Clone(g.ended)
	for _, t := range g.held {
		all = append(all, *t)
	}
	return all
}

// restart drops the grants and fences, which a new process does not have.
func (g *grants) restart(now time.Time) {
	g.endMatching(now, func(shardKey) bool { return true })
	g.holder = map[core.Service]core.Fence{}
	g.seen = map[shardKey]core.Fence{}
}
