// Package rebalance moves shards and keys between the targets of a cell to balance
// their load. Decisions: tracker.go (one dispatcher's load) and balance.go (the
// moves in one cell). Task: task.go, one goroutine that owns this daemon's tracker
// and, while this daemon is the coordinator, the reports of the cell's members.
package rebalance
