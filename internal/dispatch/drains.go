package dispatch

import (
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// shardKey names one shard of one service.
type shardKey struct {
	service core.Service
	shard   core.Shard
}

// keyHash names one key of one service.
type keyHash struct {
	service core.Service
	hash    uint64
}

// place is what a need counts on.
type place struct {
	shard shardKey
	key   keyHash
}

// drains counts the requests that wait or run on each shard and each target,
// refuses new ones on shards that are handed back, and says when none is left.
type drains struct {
	waiting map[Ticket]place // keyed needs without an answer
	shards  map[shardKey]int // needs that wait or run
	keys    map[keyHash]int  // needs that wait or run, whatever shard the key had
	targets map[core.TargetID]int
	closed  map[shardKey]core.Fence // assignments up to the fence take no needs

	shardIdle  map[shardKey][]func()
	keyIdle    map[keyHash][]func()
	targetIdle map[core.TargetID][]func()
}

func newDrains() *drains {
	return &drains{
		waiting: map[Ticket]place{}, shards: map[shardKey]int{}, keys: map[keyHash]int{}, targets: map[core.TargetID]int{},
		closed: map[shardKey]core.Fence{}, shardIdle: map[shardKey][]func(){}, keyIdle: map[keyHash][]func(){},
		targetIdle: map[core.TargetID][]func(){},
	}
}

// admit counts a need, or refuses it because its assignment is handed back.
func (d *drains) admit(ticket Ticket, n Need) error {
	if n.Target == "" {
		return nil
	}
	k := shardKey{n.Service, n.Shard}
	if closed, ok := d.closed[k]; ok && !closed.Less(n.Fence) {
		return result.New(result.NotOwner, "shard %d of %s is handed over", n.Shard, n.Service)
	}
	p := place{k, keyHash{n.Service, n.Key}}
	d.waiting[ticket] = p
	d.shards[p.shard]++
	d.keys[p.key]++
	return nil
}

// settle takes the answer to a need and returns it with the shard in its slot.
func (d *drains) settle(g Grant) Grant {
	p, keyed := d.waiting[g.Ticket]
	delete(d.waiting, g.Ticket)
	if g.Err != nil {
		if keyed {
			d.leave(p)
		}
		return g
	}
	g.Slot.keyed, g.Slot.Shard, g.Slot.key = keyed, p.shard.shard, p.key.hash
	d.targets[g.Slot.Target.ID]++
	return g
}

// withdraw forgets a need whose caller left.
func (d *drains) withdraw(ticket Ticket) {
	if p, ok := d.waiting[ticket]; ok {
		delete(d.waiting, ticket)
		d.leave(p)
	}
}

// release counts the end of a request.
func (d *drains) release(s Slot) {
	if s.keyed {
		service := s.Target.Service
		d.leave(place{shardKey{service, s.Shard}, keyHash{service, s.key}})
	}
	id := s.Target.ID
	if d.targets[id]--; d.targets[id] <= 0 {
		delete(d.targets, id)
		call(d.targetIdle[id])
		delete(d.targetIdle, id)
	}
}

func (d *drains) leave(p place) {
	if d.shards[p.shard]--; d.shards[p.shard] <= 0 {
		delete(d.shards, p.shard)
		call(d.shardIdle[p.shard])
		delete(d.shardIdle, p.shard)
	}
	if d.keys[p.key]--; d.keys[p.key] <= 0 {
		delete(d.keys, p.key)
		call(d.keyIdle[p.key])
		delete(d.keyIdle, p.key)
	}
}

// drainShard refuses needs under fence and older, and calls done when none
// waits or runs.
func (d *drains) drainShard(k shardKey, fence core.Fence, done func()) {
	if d.closed[k].Less(fence) {
		d.closed[k] = fence
	}
	if d.shards[k] == 0 {
		done()
		return
	}
	d.shardIdle[k] = append(d.shardIdle[k], done)
}

// drainKey drains the shard that one key has for itself. A request for the key
// may have been admitted when it still belonged to another shard, so the key
// itself must be idle.
func (d *drains) drainKey(k shardKey, hash uint64, fence core.Fence, done func()) {
	if d.closed[k].Less(fence) {
		d.closed[k] = fence
	}
	key := keyHash{k.service, hash}
	if d.keys[key] == 0 {
		done()
		return
	}
	d.keyIdle[key] = append(d.keyIdle[key], done)
}

// drainTarget calls done when no request runs on the target. The table that
// asks for it has already stopped new ones.
func (d *drains) drainTarget(id core.TargetID, done func()) {
	if d.targets[id] == 0 {
		done()
		return
	}
	d.targetIdle[id] = append(d.targetIdle[id], done)
}

func call(all []func()) {
	for _, f := range all {
		f()
	}
}
