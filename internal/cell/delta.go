package cell

import (
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Delta is the change from one version of a table to another.
type Delta struct {
	Cell            core.Cell
	Base            core.Fence // version it applies to; zero: a snapshot that applies to any version
	Fence           core.Fence
	Coordinator     core.VM
	Config          core.Version
	Recovering      bool
	Targets         []TargetEntry   // new or changed
	RemovedTargets  []core.TargetID // removed
	ShardCounts     []ShardCount    // of services that are new or have another count
	RemovedServices []core.Service  // no longer have shards
	Shards          []ShardChange
	HotKeys         []HotKeyChange
	Pins            []PinChange
}

// ShardCount is the number of shards of one service, hot keys included.
type ShardCount struct {
	Service core.Service
	Count   int
}

// ShardChange is the new assignment of one shard.
type ShardChange struct {
	Service    core.Service
	Shard      core.Shard
	Assignment Assignment
}

// HotKeyChange adds or removes the shard of a single key.
type HotKeyChange struct {
	Service core.Service
	Hash    uint64
	Shard   core.Shard
	Removed bool
}

// PinChange sets the pin of a shard, or clears it with an empty
// owner.
type PinChange struct {
	Service core.Service
	Shard   core.Shard
	Owner   PinnedOwner
}

// Diff returns the delta from base to next. A nil base gives a snapshot.
func Diff(base, next *Table) *Delta {
	d := &Delta{Cell: next.Cell, Fence: next.Fence, Coordinator: next.Coordinator, Config: next.Config, Recovering: next.Recovering}
	if base == nil {
		base = NewTable(next.Cell)
	} else {
		d.Base = base.Fence
	}
	for _, id := range slices.Sorted(maps.Keys(next.Targets)) {
		if e := next.Targets[id]; base.Targets[id] != e {
			d.Targets = append(d.Targets, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(base.Targets)) {
		if _, ok := next.Targets[id]; !ok {
			d.RemovedTargets = append(d.RemovedTargets, id)
		}
	}
	d.diffShards(base, next)
	d.diffHotKeys(base, next)
	d.diffPins(base, next)
	return d
}

func (d *Delta) diffShards(base, next *Table) {
	for _, name := range slices.Sorted(maps.Keys(next.Shards)) {
		was, is := base.Shards[name], next.Shards[name]
		if len(was) != len(is) {
			d.ShardCounts = append(d.ShardCounts, ShardCount{name, len(is)})
		}
		for i, a := range is {
			var old Assignment
			if i < len(was) {
				old = was[i]
			}
			if a != old {
				d.Shards = append(d.Shards, ShardChange{name, core.Shard(i), a})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(base.Shards)) {
		if _, ok := next.Shards[name]; !ok {
			d.RemovedServices = append(d.RemovedServices, name)
		}
	}
}

func (d *Delta) diffHotKeys(base, next *Table) {
	for name, keys := range next.HotKeys {
		for hash, shard := range keys {
			if old, ok := base.HotKeys[name][hash]; !ok || old != shard {
				d.HotKeys = append(d.HotKeys, HotKeyChange{Service: name, Hash: hash, Shard: shard})
			}
		}
	}
	for name, keys := range base.HotKeys {
		for hash := range keys {
			if _, ok := next.HotKeys[name][hash]; !ok {
				d.HotKeys = append(d.HotKeys, HotKeyChange{Service: name, Hash: hash, Removed: true})
			}
		}
	}
}

func (d *Delta) diffPins(base, next *Table) {
	for name, pins := range next.Pins {
		for shard, owner := range pins {
			if base.Pins[name][shard] != owner {
				d.Pins = append(d.Pins, PinChange{name, shard, owner})
			}
		}
	}
	for name, pins := range base.Pins {
		for shard := range pins {
			if next.Pins[name][shard] == (PinnedOwner{}) {
				d.Pins = append(d.Pins, PinChange{Service: name, Shard: shard})
			}
		}
	}
}

// Apply returns the table that d leads to, and true; or t itself and false if d
// does not apply to t.
func (t *Table) Apply(d *Delta) (*Table, bool) {
	if d.Cell != t.Cell {
		return t, false
	}
	next := NewTable(t.Cell)
	if !d.Base.IsZero() {
		if d.Base != t.Fence {
			return t, false
		}
		next = t.clone()
	}
	next.Fence, next.Coordinator, next.Config, next.Recovering = d.Fence, d.Coordinator, d.Config, d.Recovering
	for _, e := range d.Targets {
		next.Targets[e.Target.ID] = e
	}
	for _, id := range d.RemovedTargets {
		delete(next.Targets, id)
	}
	for _, s := range d.RemovedServices {
		delete(next.Shards, s)
	}
	next.applyShards(d)
	next.applyHotKeys(d)
	for _, c := range d.Pins {
		next.setPin(c.Service, c.Shard, c.Owner)
	}
	return next, true
}

func (t *Table) applyShards(d *Delta) {
	written := map[core.Service]bool{}
	for _, s := range d.ShardCounts {
		shards := make([]Assignment, s.Count)
		copy(shards, t.Shards[s.Service])
		t.Shards[s.Service] = shards
		written[s.Service] = true
	}
	for _, c := range d.Shards {
		if !written[c.Service] {
			t.Shards[c.Service] = slices.Clone(t.Shards[c.Service])
			written[c.Service] = true
		}
		if int(c.Shard) < len(t.Shards[c.Service]) {
			t.Shards[c.Service][c.Shard] = c.Assignment
		}
	}
}

func (t *Table) applyHotKeys(d *Delta) {
	for _, c := range d.HotKeys {
		keys := maps.Clone(t.HotKeys[c.Service])
		if keys == nil {
			keys = map[uint64]core.Shard{}
		}
		if c.Removed {
			delete(keys, c.Hash)
		} else {
			keys[c.Hash] = c.Shard
		}
		t.HotKeys[c.Service] = keys
	}
}

// clone copies the outer maps. The shard slices and inner maps are shared with
// the copy; code that changes them replaces them by changed copies.
func (t *Table) clone() *Table {
	return &Table{
		Cell:        t.Cell,
		Fence:       t.Fence,
		Coordinator: t.Coordinator,
		Config:      t.Config,
		Recovering:  t.Recovering,
		Targets:     maps.Clone(t.Targets),
		Shards:      maps.Clone(t.Shards),
		HotKeys:     maps.Clone(t.HotKeys),
		Pins:        maps.Clone(t.Pins),
	}
}

// empty reports whether d changes only the version, the coordinator, the
// configuration version and Recovering.
func (d *Delta) empty() bool {
	return len(d.Targets)+len(d.RemovedTargets)+len(d.ShardCounts)+len(d.RemovedServices)+len(d.Shards)+len(d.HotKeys)+len(d.Pins) == 0
}
