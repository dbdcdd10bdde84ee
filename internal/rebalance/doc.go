// Package rebalance finds the shards and keys that load a cell's targets
// unevenly and moves them. Decisions: tracker.go (one dispatcher's load) and
// balance.go (the moves of one cell). Task: task.go, one goroutine that owns this
// daemon's tracker and, while this daemon coordinates, the cell's reports.
package rebalance
