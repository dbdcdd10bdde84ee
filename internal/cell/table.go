// Package cell decides, for one cell, which member dispatches to each target
// and which target owns each shard. One member, elected as coordinator, plans each
// version of the table and replicates it to the others; a version is in force once
// a majority holds it. Members keep the table in memory only.
//
// Decisions: table.go and delta.go (the replicated table), plan.go, placement.go
// and shards.go (the next table), messages.go, member.go, coordinator.go and
// node.go (one member's part in the protocol). Task: task.go, one goroutine that
// owns this member's Node and publishes its table and lease.
package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Assignment is the ownership of one shard.
type Assignment struct {
	Target core.TargetID // empty: unassigned
	Fence  core.Fence
	// Releasing means that the owner has to release the shard: its dispatcher
	// sends no new requests to it, and no other owner is assigned before the proof
	// of release.
	Releasing bool
}

// TargetEntry is one target of the cell and its dispatcher, the only member that
// sends requests to it.
type TargetEntry struct {
	Target     core.Target
	Dispatcher core.VM
	Fence      core.Fence // of the table that made Dispatcher the dispatcher
	// Releasing means that the dispatcher has to release the target.
	Releasing bool
}

// PinnedOwner is the pinned owner of a shard.
type PinnedOwner struct {
	Target    core.TargetID // empty: none
	Automatic bool          // set to balance load, not by operators
}

// Table is one version of a cell's assignments. It is immutable.
type Table struct {
	Cell        core.Cell
	Fence       core.Fence   // orders the versions
	Coordinator core.VM      // the member that wrote this version
	Config      core.Version // a coordinator with an older configuration must not plan from this version
	Recovering  bool         // the previous table was lost, and leases or grants under it may still be live
	Targets     map[core.TargetID]TargetEntry
	Shards      map[core.Service][]Assignment
	// HotKeys maps the hash of each key that has a shard of its own to that shard.
	// These shards are numbered from the service's count of shards upwards.
	HotKeys map[core.Service]map[uint64]core.Shard
	// Pins are the owners fixed for shards by operators or for load.
	Pins map[core.Service]map[core.Shard]PinnedOwner
}

// NewTable returns an empty table.
func NewTable(cell core.Cell) *Table {
	return &Table{
		Cell:    cell,
		Targets: map[core.TargetID]TargetEntry{},
		Shards:  map[core.Service][]Assignment{},
		HotKeys: map[core.Service]map[uint64]core.Shard{},
		Pins:    map[core.Service]map[core.Shard]PinnedOwner{},
	}
}

// Owner returns the assignment of a shard, the entry of its target, and whether
// that entry exists.
func (t *Table) Owner(service core.Service, shard core.Shard) (Assignment, TargetEntry, bool) {
	shards := t.Shards[service]
	if int(shard) >= len(shards) {
		return Assignment{}, TargetEntry{}, false
	}
	a := shards[shard]
	e, ok := t.Targets[a.Target]
	return a, e, ok
}

// HotKey returns the shard of the single key with this hash, if it has one.
func (t *Table) HotKey(service core.Service, hash uint64) (core.Shard, bool) {
	s, ok := t.HotKeys[service][hash]
	return s, ok
}

// Lease is a member's permission to dispatch to the targets that the table gives
// it. Until is on the member's own monotonic clock, counted from before the member
// requested the lease.
type Lease struct {
	Fence core.Fence // of the oldest table under which it is valid
	Until time.Time
}

// Live reports whether the lease has not ended at now.
func (l Lease) Live(now time.Time) bool { return now.Before(l.Until) }
