// Package cell decides, for one cell, which member dispatches to each target
// and which target owns each shard. Decisions: table.go and delta.go (the
// replicated table), plan.go, placement.go and shards.go (the next table),
// messages.go, member.go, coordinator.go and node.go (one member's part in the
// protocol). Task: task.go, one goroutine that owns this member's Node and
// publishes its table and lease.
package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Assignment is the ownership of one shard.
type Assignment struct {
	Target core.TargetID // empty: unassigned
	Fence  core.Fence
	// Releasing says that the owner hands the shard back: its dispatcher gives
	// it no new work, and the next owner waits for the proof of release.
	Releasing bool
}

// TargetEntry is one target of the cell and the one member that sends to it.
type TargetEntry struct {
	Target     core.Target
	Dispatcher core.VM
	Fence      core.Fence // of the table that made Dispatcher the dispatcher
	// Releasing says that the dispatcher hands the target back.
	Releasing bool
}

// Choice is the owner that was chosen for a shard.
type Choice struct {
	Target    core.TargetID // empty: none
	Automatic bool          // chosen for the load, not by operators
}

// Table is one version of a cell's assignments. It is immutable.
type Table struct {
	Cell        core.Cell
	Fence       core.Fence   // of the coordinator's newest change; orders versions
	Coordinator core.VM      // that wrote this version
	Config      core.Version // a coordinator with an older configuration must not go on from this version
	Unsettled   bool         // memory was lost, and what was granted before may still be live
	Targets     map[core.TargetID]TargetEntry
	Shards      map[core.Service][]Assignment
	// HotKeys gives keys shards of their own, with numbers from the service's
	// count of shards upwards; the index is the key's hash.
	HotKeys map[core.Service]map[uint64]core.Shard
	// Pins are the owners that were chosen for shards.
	Pins map[core.Service]map[core.Shard]Choice
}

// NewTable returns an empty table.
func NewTable(cell core.Cell) *Table {
	return &Table{
		Cell:    cell,
		Targets: map[core.TargetID]TargetEntry{},
		Shards:  map[core.Service][]Assignment{},
		HotKeys: map[core.Service]map[uint64]core.Shard{},
		Pins:    map[core.Service]map[core.Shard]Choice{},
	}
}

// Owner returns the assignment of a shard and the entry of its target.
func (t *Table) Owner(service core.Service, shard core.Shard) (Assignment, TargetEntry, bool) {
	shards := t.Shards[service]
	if int(shard) >= len(shards) {
		return Assignment{}, TargetEntry{}, false
	}
	a := shards[shard]
	e, ok := t.Targets[a.Target]
	return a, e, ok
}

// HotKey returns the shard that a key of this hash has for itself.
func (t *Table) HotKey(service core.Service, hash uint64) (core.Shard, bool) {
	s, ok := t.HotKeys[service][hash]
	return s, ok
}

// Lease is this member's permission to dispatch what the table gives it. It
// ends by the member's own monotonic clock, counted from before it was asked for.
type Lease struct {
	Fence core.Fence // of the oldest table under which it holds
	Until time.Time
}

// Live reports whether the lease holds at now.
func (l Lease) Live(now time.Time) bool { return now.Before(l.Until) }
