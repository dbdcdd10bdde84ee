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

// requestKey names the shard and the key under which a request is counted.
type requestKey struct {
	shard shardKey
	key   keyHash
}

// drains counts the requests that wait or run for each shard, key and target. It
// refuses new requests for shards that are being released, and calls back once
// none waits or runs.
type drains struct {
	waiting     map[Ticket]requestKey   // keyed requests that wait for a slot
	shards      map[shardKey]int        // requests that wait or run
	keys        map[keyHash]int         // requests that wait or run, whichever shard the key was in
	targets     map[core.TargetID]int   // requests that run
	drainedUpTo map[shardKey]core.Fence // requests under this fence or an older one are refused

	// Callbacks of drains that wait for the last request.
	shardIdle  map[shardKey][]func()
	keyIdle    map[keyHash][]func()
	targetIdle map[core.TargetID][]func()
}

func newDrains() *drains {
	return &drains{
		waiting: map[Ticket]requestKey{}, shards: map[shardKey]int{}, keys: map[keyHash]int{}, targets: map[core.TargetID]int{},
		drainedUpTo: map[shardKey]core.Fence{}, shardIdle: map[shardKey][]func(){}, keyIdle: map[keyHash][]func(){},
		targetIdle: map[core.TargetID][]func(){},
	}
}

// admit counts a request, or refuses it because its assignment is being released.
func (d *drains) admit(ticket Ticket, request SlotRequest) error {
	if request.Target == "" {
		return nil
	}
	shard := shardKey{request.Service, request.Shard}
	if drainedUpTo, ok := d.drainedUpTo[shard]; ok && !drainedUpTo.Less(request.Fence) {
		return result.New(result.NotOwner, "shard %d of %s is being released", request.Shard, request.Service)
	}
	key := requestKey{shard, keyHash{request.Service, request.Key}}
	d.waiting[ticket] = key
	d.shards[key.shard]++
	d.keys[key.key]++
	return nil
}

// recordGrant counts a grant or refusal, and returns it with the shard and key
// filled in its slot.
func (d *drains) recordGrant(g Grant) Grant {
	key, keyed := d.waiting[g.Ticket]
	delete(d.waiting, g.Ticket)
	if g.Err != nil {
		if keyed {
			d.uncount(key)
		}
		return g
	}
	g.Slot.keyed, g.Slot.Shard, g.Slot.key = keyed, key.shard.shard, key.key.hash
	d.targets[g.Slot.Target.ID]++
	return g
}

// removeWaiting removes a waiting request whose caller is gone.
func (d *drains) removeWaiting(ticket Ticket) {
	if key, ok := d.waiting[ticket]; ok {
		delete(d.waiting, ticket)
		d.uncount(key)
	}
}

// release counts the end of a request.
func (d *drains) release(s Slot) {
	if s.keyed {
		service := s.Target.Service
		d.uncount(requestKey{shardKey{service, s.Shard}, keyHash{service, s.key}})
	}
	id := s.Target.ID
	if d.targets[id]--; d.targets[id] <= 0 {
		delete(d.targets, id)
		runAll(d.targetIdle[id])
		delete(d.targetIdle, id)
	}
}

func (d *drains) uncount(key requestKey) {
	if d.shards[key.shard]--; d.shards[key.shard] <= 0 {
		delete(d.shards, key.shard)
		runAll(d.shardIdle[key.shard])
		delete(d.shardIdle, key.shard)
	}
	if d.keys[key.key]--; d.keys[key.key] <= 0 {
		delete(d.keys, key.key)
		runAll(d.keyIdle[key.key])
		delete(d.keyIdle, key.key)
	}
}

// drainShard refuses new requests under fence or an older one, and calls done
// once no request for the shard waits or runs.
func (d *drains) drainShard(k shardKey, fence core.Fence, done func()) {
	if d.drainedUpTo[k].Less(fence) {
		d.drainedUpTo[k] = fence
	}
	if d.shards[k] == 0 {
		done()
		return
	}
	d.shardIdle[k] = append(d.shardIdle[k], done)
}

// drainKey drains a shard that holds a single key. A request for the key may have
// been admitted when the key was still in another shard, so it waits for the
// requests for the key instead of those for the shard.
func (d *drains) drainKey(k shardKey, hash uint64, fence core.Fence, done func()) {
	if d.drainedUpTo[k].Less(fence) {
		d.drainedUpTo[k] = fence
	}
	key := keyHash{k.service, hash}
	if d.keys[key] == 0 {
		done()
		return
	}
	d.keyIdle[key] = append(d.keyIdle[key], done)
}

// drainTarget calls done once no request runs on the target. The table that marks
// the target for release has already stopped new requests.
func (d *drains) drainTarget(id core.TargetID, done func()) {
	if d.targets[id] == 0 {
		done()
		return
	}
	d.targetIdle[id] = append(d.targetIdle[id], done)
}

func runAll(all []func()) {
	for _, f := range all {
		f()
	}
}
