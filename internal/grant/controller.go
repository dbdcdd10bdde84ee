package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// defaultDeadline is the longest time that a request runs when its service
// configures no deadline.
const defaultDeadline = 10 * time.Second

// Controller decides which orders are sent to the targets that one daemon
// dispatches, and tracks the grants that each of them holds.
type Controller struct {
	self       core.VM
	timing     Timing
	table      *cell.Table
	state      *config.State
	targets    map[core.TargetID]*targetState
	newestSeen core.Fence // newest fence that a target reported when it refused an older one
}

// Drain asks the dispatcher to stop sending requests of one assignment and to
// report when none is in flight. When Target is set, it covers all requests to
// that target under its placement.
type Drain struct {
	Shard  cell.ReleasedShard
	Target cell.ReleasedTarget
}

// NewController returns the controller of daemon self, without targets.
func NewController(self core.VM, t Timing) *Controller {
	return &Controller{
		self: self, timing: t, table: cell.NewTable(""), state: config.NewState(),
		targets: map[core.TargetID]*targetState{},
	}
}

// SetConfig replaces the configuration.
func (c *Controller) SetConfig(s *config.State) { c.state = s }

// SetTable replaces the cell's table and returns the drains that it requires.
func (c *Controller) SetTable(t *cell.Table, now time.Time) []Drain {
	c.table = t
	assigned := c.assignments()
	for id, tracked := range c.targets {
		if e := t.Targets[id]; e.Dispatcher != c.self || e.Fence != tracked.entry.Fence {
			delete(c.targets, id)
		}
	}
	for id, e := range t.Targets {
		if e.Dispatcher == c.self {
			c.target(id, e, now).assign(assigned[id], now)
		}
	}
	return c.Drains(now)
}

// target returns the state of a target that this daemon dispatches, up to date
// with its entry in the table and its service.
func (c *Controller) target(id core.TargetID, e cell.TargetEntry, now time.Time) *targetState {
	t := c.targets[id]
	if t == nil {
		t = newTargetState(c.timing, e, now)
		c.targets[id] = t
	}
	svc := c.state.Services[e.Target.Service]
	t.checksFence = svc.Keyed && svc.ChecksFence
	t.deadline = svc.Deadline
	if t.deadline == 0 {
		t.deadline = defaultDeadline
	}
	t.setEntry(e)
	return t
}

// assign replaces the target's assignments with those of a new table.
func (t *targetState) assign(assigned map[core.Shard]cell.Assignment, now time.Time) {
	t.assigned = assigned
	for s, d := range t.drains {
		if a, ok := assigned[s]; !ok || a.Fence != d.fence {
			delete(t.drains, s)
		}
	}
	current := map[core.Shard]core.Fence{}
	for s, f := range t.granted {
		if assigned[s].Fence == f {
			current[s] = f
		}
	}
	t.granted = current
	if len(assigned) != len(t.granted) {
		t.nextAt = nowIf(t.nextAt, now, t.inFlight == nil && t.clock != 0)
	}
}

// nowIf returns the earlier of at and now if condition holds, and at otherwise.
func nowIf(at, now time.Time, condition bool) time.Time {
	if condition && now.Before(at) {
		return now
	}
	return at
}

// assignments returns the assignments of this daemon's targets in the table.
func (c *Controller) assignments() map[core.TargetID]map[core.Shard]cell.Assignment {
	all := map[core.TargetID]map[core.Shard]cell.Assignment{}
	for _, shards := range c.table.Shards {
		for s, a := range shards {
			if a.Target == "" || c.table.Targets[a.Target].Dispatcher != c.self {
				continue
			}
			if all[a.Target] == nil {
				all[a.Target] = map[core.Shard]cell.Assignment{}
			}
			all[a.Target][core.Shard(s)] = a
		}
	}
	return all
}

// drainRetryInterval is the time after which an unfinished drain is requested
// again, in case the dispatcher did not accept the message.
const drainRetryInterval = 500 * time.Millisecond

// Drains returns the unfinished drains that the table requires, except those
// requested within drainRetryInterval. Requesting a drain twice is harmless.
func (c *Controller) Drains(now time.Time) []Drain {
	var out []Drain
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[id]
		if t.entry.Releasing && !t.handover.idle && now.Sub(t.handover.requestedAt) >= drainRetryInterval {
			t.handover.requestedAt = now
			out = append(out, Drain{Target: cell.ReleasedTarget{Target: id, Fence: t.entry.Fence}})
		}
		service := t.entry.Target.Service
		for s, a := range t.assigned {
			if !a.Releasing || !t.ended.Less(a.Fence) {
				continue
			}
			d := t.drains[s]
			if d == nil {
				d = &drain{fence: a.Fence}
				t.drains[s] = d
			}
			if !d.idle && now.Sub(d.requestedAt) >= drainRetryInterval {
				d.requestedAt = now
				out = append(out, Drain{Shard: cell.ReleasedShard{Service: service, Shard: s, Fence: a.Fence}})
			}
		}
	}
	return out
}

// DrainDone records that a drain has finished.
func (c *Controller) DrainDone(d Drain, now time.Time) {
	if d.Target.Target != "" {
		if t := c.targets[d.Target.Target]; t != nil && t.entry.Fence == d.Target.Fence {
			t.handover.idle = true
		}
		return
	}
	a, _, ok := c.table.Owner(d.Shard.Service, d.Shard.Shard)
	t := c.targets[a.Target]
	if !ok || t == nil || a.Fence != d.Shard.Fence {
		return
	}
	if dr := t.drains[d.Shard.Shard]; dr != nil && dr.fence == d.Shard.Fence {
		dr.idle = true
		t.nextAt = nowIf(t.nextAt, now, true)
	}
}

// DueOrders ends the grants that have expired and returns the orders to send now.
// It returns none while this daemon's member lease is not live, since another
// daemon may then be the dispatcher.
func (c *Controller) DueOrders(lease cell.Lease, now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[id]
		if !c.state.Services[t.entry.Target.Service].Keyed {
			continue
		}
		t.expireGrants(c.table.Fence, now)
		c.releaseWithoutFenceCheck(t, now)
		if !lease.Live(now) {
			continue
		}
		if o, ok := t.nextOrder(now); ok {
			out = append(out, o)
		}
	}
	return out
}

// releaseWithoutFenceCheck releases the drained shards of a target that does
// not check fences. It waits until the requests that an earlier dispatcher may
// have sent are past their deadline.
func (c *Controller) releaseWithoutFenceCheck(t *targetState, now time.Time) {
	if t.checksFence || now.Before(t.since.Add(t.deadline)) {
		return
	}
	for _, d := range t.drains {
		d.released = d.released || d.idle
	}
}

// HandleReply handles the reply to an order.
func (c *Controller) HandleReply(o Order, r Reply, now time.Time) {
	t := c.targets[o.Target.ID]
	if t == nil || t.entry.Fence != o.Holder {
		return
	}
	if r.Stale && c.newestSeen.Less(r.Fence) {
		c.newestSeen = r.Fence
	}
	t.handleReply(o.Seq, r, now)
}

// Facts returns the proofs for the coordinator that the table does not reflect
// yet: released shards and targets, expired grants, and grants that a target
// holds without an assignment.
func (c *Controller) Facts() cell.Facts {
	f := cell.Facts{FenceSeen: c.newestSeen}
	for _, id := range slices.Sorted(maps.Keys(c.targets)) {
		t := c.targets[id]
		placement := cell.ReleasedTarget{Target: id, Fence: t.entry.Fence}
		if t.handover.idle || t.stale && t.down {
			f.ReleasedTargets = append(f.ReleasedTargets, placement)
		}
		if t.down || t.anyEnded() {
			f.EndedTargets = append(f.EndedTargets, cell.EndedTarget{Target: id, Fence: t.entry.Fence, EndedFence: t.ended, Answering: !t.down})
		}
		for _, s := range slices.Sorted(maps.Keys(t.drains)) {
			if d := t.drains[s]; d.released {
				f.ReleasedShards = append(f.ReleasedShards, cell.ReleasedShard{Service: t.entry.Target.Service, Shard: s, Fence: d.fence})
			}
		}
		f.HeldShards = append(f.HeldShards, c.unassignedGrants(id, t)...)
	}
	return f
}

// unassignedGrants returns the grants that the target still holds but that the
// table does not assign. A cell whose members all restarted uses them to assign
// those shards to the same target again.
func (c *Controller) unassignedGrants(id core.TargetID, t *targetState) []cell.HeldShard {
	var out []cell.HeldShard
	for _, h := range t.held {
		if a, _, _ := c.table.Owner(h.Service, h.Shard); a.Target == "" {
			out = append(out, cell.HeldShard{Service: h.Service, Shard: h.Shard, Target: id, Fence: h.Fence})
		}
	}
	return out
}

// anyEnded reports whether the grant of an assignment in the table has expired.
func (t *targetState) anyEnded() bool {
	for _, a := range t.assigned {
		if !t.ended.Less(a.Fence) {
			return true
		}
	}
	return false
}

// setEntry updates the target's entry under the same placement. A new address
// or incarnation means that the target restarted: the grants of its previous
// incarnation count as possibly held until they have expired.
func (t *targetState) setEntry(e cell.TargetEntry) {
	old := t.entry.Target
	t.entry = e
	if old.Address == e.Target.Address && (old.Incarnation == e.Target.Incarnation || e.Target.Incarnation == t.incarnation) {
		return
	}
	t.stale = false
	t.startIncarnation(Reply{Incarnation: e.Target.Incarnation})
}
