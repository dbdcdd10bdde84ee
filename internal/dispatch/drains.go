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

// drains counts the requests that wait or run on each shard and each target,
// refuses new ones on shards that are handed back, and says when none is left.
type drains struct {
	waiting map[Ticket]shardKey // keyed needs without an answer
	shards  map[shardKey]int    // needs that wait or run
	targets map[core.TargetID]int
	closed  map[shardKey]core.Fence // assignments up to the fence take no needs

	shardIdle  map[shardKey][]func()
	targetIdle map[core.TargetID][]func()
}

func newDrains() *drains {
	return &drains{
		waiting: map[Ticket]shardKey{}, shards: map[shardKey]int{}, targets: map[core.TargetID]int{},
		closed: map[shardKey]core.Fence{}, shardIdle: map[shardKey][]func(){}, targetIdle: map[core.TargetID][]func(){},
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
	d.waiting[ticket] = k
	d.shards[k]++
	return nil
}

// settle takes the answer to a need and returns it with the shard in its slot.
func (d *drains) settle(g Grant) Grant {
	k, keyed := d.waiting[g.Ticket]
	delete(d.waiting, g.Ticket)
	if g.Err != nil {
		if keyed {
			d.leaveShard(k)
		}
		return g
	}
	g.Slot.keyed, g.Slot.Shard = keyed, k.shard
	d.targets[g.Slot.Target.ID]++
	return g
}

// withdraw forgets a need whose caller left.
func (d *drains) withdraw(ticket Ticket) {
	if k, ok := d.waiting[ticket]; ok {
		delete(d.waiting, ticket)
		d.leaveShard(k)
	}
}

// release counts the end of a request.
func (d *drains) release(s Slot) {
	if s.keyed {
		d.leaveShard(shardKey{s.Target.Service, s.Shard})
	}
	id := s.Target.ID
	if d.targets[id]--; d.targets[id] <= 0 {
		delete(d.targets, id)
		call(d.targetIdle[id])
		delete(d.targetIdle, id)
	}
}

func (d *drains) leaveShard(k shardKey) {
	if d.shards[k]--; d.shards[k] <= 0 {
		delete(d.shards, k)
		call(d.shardIdle[k])
		delete(d.shardIdle, k)
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
