package grant

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// defaultDeadline bounds a request of a service that states none.
const defaultDeadline = 10 * time.Second

// Book holds the tenures of all targets that one daemon dispatches.
type Book struct {
	self    core.VM
	timing  Timing
	table   *cell.Table
	state   *config.State
	tenures map[core.TargetID]*tenure
	seen    core.Fence // newest that a target refused an older one for
}

// Drain asks that no request of this daemon runs any more on an assignment, or
// on a whole placement when Target is set.
type Drain struct {
	Shard  cell.ReleasedShard
	Target cell.ReleasedTarget
}

// NewBook returns the book of daemon self.
func NewBook(self core.VM, t Timing) *Book {
	return &Book{
		self: self, timing: t, table: cell.NewTable(""), state: config.NewState(),
		tenures: map[core.TargetID]*tenure{},
	}
}

// SetConfig takes the configuration in force.
func (b *Book) SetConfig(s *config.State) { b.state = s }

// SetTable takes the table in force and returns the drains that it asks for.
func (b *Book) SetTable(t *cell.Table, now time.Time) []Drain {
	b.table = t
	wanted := b.assignments()
	for id, ten := range b.tenures {
		if e := t.Targets[id]; e.Dispatcher != b.self || e.Fence != ten.entry.Fence {
			delete(b.tenures, id)
		}
	}
	for id, e := range t.Targets {
		if e.Dispatcher == b.self {
			b.tenure(id, e, now).assign(wanted[id], now)
		}
	}
	return b.Drains(now)
}

func (b *Book) tenure(id core.TargetID, e cell.TargetEntry, now time.Time) *tenure {
	t := b.tenures[id]
	if t == nil {
		t = newTenure(b.timing, e, now)
		b.tenures[id] = t
	}
	svc := b.state.Services[e.Target.Service]
	t.checks = svc.Keyed && svc.ChecksFence
	t.deadline = svc.Deadline
	if t.deadline == 0 {
		t.deadline = defaultDeadline
	}
	t.become(e)
	return t
}

// assign takes the target's assignments in a new table.
func (t *tenure) assign(wanted map[core.Shard]cell.Assignment, now time.Time) {
	t.wanted = wanted
	for s, d := range t.drains {
		if a, ok := wanted[s]; !ok || a.Fence != d.fence {
			delete(t.drains, s)
		}
	}
	current := map[core.Shard]core.Fence{}
	for s, f := range t.granted {
		if wanted[s].Fence == f {
			current[s] = f
		}
	}
	t.granted = current
	if len(wanted) != len(t.granted) {
		t.next = earliest(t.next, now, t.open == nil && t.clock != 0)
	}
}

// earliest brings a time forward to now under a condition.
func earliest(at, now time.Time, bring bool) time.Time {
	if bring && now.Before(at) {
		return now
	}
	return at
}

// assignments returns the assignments of this daemon's targets in the table.
func (b *Book) assignments() map[core.TargetID]map[core.Shard]cell.Assignment {
	all := map[core.TargetID]map[core.Shard]cell.Assignment{}
	for _, shards := range b.table.Shards {
		for s, a := range shards {
			if a.Target == "" || b.table.Targets[a.Target].Dispatcher != b.self {
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

// drainRepeat is the time after which a drain without an end is asked again.
const drainRepeat = 500 * time.Millisecond

// Drains returns the drains that the table asks for, that are not done, and
// that were not asked for lately. Asking twice is harmless.
func (b *Book) Drains(now time.Time) []Drain {
	var out []Drain
	for _, id := range slices.Sorted(maps.Keys(b.tenures)) {
		t := b.tenures[id]
		if t.entry.Releasing && !t.handover.idle && now.Sub(t.handover.asked) >= drainRepeat {
			t.handover.asked = now
			out = append(out, Drain{Target: cell.ReleasedTarget{Target: id, Fence: t.entry.Fence}})
		}
		service := t.entry.Target.Service
		for s, a := range t.wanted {
			if !a.Releasing || !t.ended.Less(a.Fence) {
				continue
			}
			d := t.drains[s]
			if d == nil {
				d = &drain{fence: a.Fence}
				t.drains[s] = d
			}
			if !d.idle && now.Sub(d.asked) >= drainRepeat {
				d.asked = now
				out = append(out, Drain{Shard: cell.ReleasedShard{Service: service, Shard: s, Fence: a.Fence}})
			}
		}
	}
	return out
}

// Drained notes that a drain is done.
func (b *Book) Drained(d Drain, now time.Time) {
	if d.Target.Target != "" {
		if t := b.tenures[d.Target.Target]; t != nil && t.entry.Fence == d.Target.Fence {
			t.handover.idle = true
		}
		return
	}
	a, _, ok := b.table.Owner(d.Shard.Service, d.Shard.Shard)
	t := b.tenures[a.Target]
	if !ok || t == nil || a.Fence != d.Shard.Fence {
		return
	}
	if dr := t.drains[d.Shard.Shard]; dr != nil && dr.fence == d.Shard.Fence {
		dr.idle = true
		t.next = earliest(t.next, now, true)
	}
}

// Due returns the orders that are due. Without a live member lease there are
// none: another daemon may be the dispatcher by now.
func (b *Book) Due(lease cell.Lease, now time.Time) []Order {
	var out []Order
	for _, id := range slices.Sorted(maps.Keys(b.tenures)) {
		t := b.tenures[id]
		if !b.state.Services[t.entry.Target.Service].Keyed {
			continue
		}
		t.lapse(b.table.Fence, now)
		b.releaseUnchecked(t, now)
		if !lease.Live(now) {
			continue
		}
		if o, ok := t.due(now); ok {
			out = append(out, o)
		}
	}
	return out
}

// releaseUnchecked releases drained shards of targets that take no grants, once
// the requests that a dispatcher before may have sent have ended too.
func (b *Book) releaseUnchecked(t *tenure, now time.Time) {
	if t.checks || now.Before(t.since.Add(t.deadline)) {
		return
	}
	for _, d := range t.drains {
		d.released = d.released || d.idle
	}
}

// Answered takes the answer to an order.
func (b *Book) Answered(o Order, r Reply, now time.Time) {
	t := b.tenures[o.Target.ID]
	if t == nil || t.entry.Fence != o.Holder {
		return
	}
	if r.Stale && b.seen.Less(r.Fence) {
		b.seen = r.Fence
	}
	t.take(o.Seq, r, now)
}

// Facts returns what is proved and the table does not show yet.
func (b *Book) Facts() cell.Facts {
	f := cell.Facts{FenceSeen: b.seen}
	for _, id := range slices.Sorted(maps.Keys(b.tenures)) {
		t := b.tenures[id]
		placement := cell.ReleasedTarget{Target: id, Fence: t.entry.Fence}
		if t.handover.idle || t.stale && t.down {
			f.ReleasedTargets = append(f.ReleasedTargets, placement)
		}
		if t.down || t.endedAny() {
			f.EndedTargets = append(f.EndedTargets, cell.EndedTarget{Target: id, Fence: t.entry.Fence, EndedFence: t.ended, Answering: !t.down})
		}
		for _, s := range slices.Sorted(maps.Keys(t.drains)) {
			if d := t.drains[s]; d.released {
				f.ReleasedShards = append(f.ReleasedShards, cell.ReleasedShard{Service: t.entry.Target.Service, Shard: s, Fence: d.fence})
			}
		}
		f.HeldShards = append(f.HeldShards, b.unknown(id, t)...)
	}
	return f
}

// unknown returns the grants that the target still holds and the table does
// not assign, which a cell that lost its memory gives back to it.
func (b *Book) unknown(id core.TargetID, t *tenure) []cell.HeldShard {
	var out []cell.HeldShard
	for _, h := range t.held {
		if a, _, _ := b.table.Owner(h.Service, h.Shard); a.Target == "" {
			out = append(out, cell.HeldShard{Service: h.Service, Shard: h.Shard, Target: id, Fence: h.Fence})
		}
	}
	return out
}

func (t *tenure) endedAny() bool {
	for _, a := range t.wanted {
		if !t.ended.Less(a.Fence) {
			return true
		}
	}
	return false
}

// become takes a new announcement of the target under the same placement. The
// grants of another run of it stay in doubt until they have run out.
func (t *tenure) become(e cell.TargetEntry) {
	old := t.entry.Target
	t.entry = e
	if old.Address == e.Target.Address && (old.Incarnation == e.Target.Incarnation || e.Target.Incarnation == t.incarnation) {
		return
	}
	t.stale = false
	t.replaced(Reply{Incarnation: e.Target.Incarnation})
}
