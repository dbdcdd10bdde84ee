// Package cell decides, for one cell, which member dispatches to each target
// and which target owns each shard. Decisions: table.go, plan.go. Task:
// task.go, one goroutine that owns this member's copy and publishes it.
package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Assignment is the ownership of one shard.
type Assignment struct {
	Target core.TargetID // empty: unassigned
	Fence  core.Fence
}

// TargetEntry is one target of the cell and the one member that sends to it.
type TargetEntry struct {
	Target     core.Target
	Dispatcher core.VM
}

// Table is one version of a cell's assignments. It is immutable.
type Table struct {
	Cell    core.Cell
	Fence   core.Fence // of the coordinator's newest change
	Targets map[core.TargetID]TargetEntry
	Shards  map[core.Service][]Assignment
}

// NewTable returns an empty table.
func NewTable(cell core.Cell) *Table {
	return &Table{
		Cell:    cell,
		Targets: map[core.TargetID]TargetEntry{},
		Shards:  map[core.Service][]Assignment{},
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

// Lease is this member's permission to dispatch what the table gives it. It
// ends by the member's own monotonic clock, counted from before it was asked for.
type Lease struct {
	Fence core.Fence
	Until time.Time
}

// Live reports whether the lease holds at now.
func (l Lease) Live(now time.Time) bool { return now.Before(l.Until) }
