// Package hotkeys finds the keys and shards that load a cell's targets unevenly
// and decides which of them to move. Decisions: sketch.go (the most frequent
// keys in bounded memory), tracker.go (one dispatcher's load), balance.go (the
// moves of one cell). Task: task.go, one goroutine that owns this daemon's
// tracker and, while this daemon is coordinator, the cell's reports.
package hotkeys
