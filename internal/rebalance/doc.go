// Package rebalance finds the shards and keys that load a cell's targets
// unevenly and decides which of them to move. Decisions: tracker.go (one
// dispatcher's load) and balance.go (the moves of one cell).
package rebalance
