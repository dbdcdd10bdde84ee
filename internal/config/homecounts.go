package config

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// cellHomeCounts counts the homes of each cell that accepts homes. It keeps the
// cells in a heap, ordered by count and then by name, so that an update takes
// logarithmic time. After the first call of least, counts may be changed only
// through add.
type cellHomeCounts struct {
	homes    map[core.Cell]int
	cells    []core.Cell       // ordered as a heap; empty until the first call of least
	position map[core.Cell]int // index of each cell in cells
}

// add adds n to the count of a cell.
func (l *cellHomeCounts) add(c core.Cell, n int) {
	l.homes[c] += n
	if i, ok := l.position[c]; ok {
		heap.Fix(l, i)
	}
}

// least returns the cell with the fewest homes.
func (l *cellHomeCounts) least() core.Cell {
	if len(l.cells) == 0 {
		l.cells = slices.Collect(maps.Keys(l.homes))
		l.position = make(map[core.Cell]int, len(l.cells))
		for i, c := range l.cells {
			l.position[c] = i
		}
		heap.Init(l)
	}
	return l.cells[0]
}

// Len implements heap.Interface.
func (l *cellHomeCounts) Len() int { return len(l.cells) }

// Less implements heap.Interface.
func (l *cellHomeCounts) Less(i, j int) bool {
	a, b := l.cells[i], l.cells[j]
	if l.homes[a] != l.homes[b] {
		return l.homes[a] < l.homes[b]
	}
	return a < b
}

// Swap implements heap.Interface.
func (l *cellHomeCounts) Swap(i, j int) {
	l.cells[i], l.cells[j] = l.cells[j], l.cells[i]
	l.position[l.cells[i]], l.position[l.cells[j]] = i, j
}

// Push implements heap.Interface. It is never called since the set of cells does
// not grow.
func (l *cellHomeCounts) Push(any) {}

// Pop implements heap.Interface. It is never called since the set of cells does
// not shrink.
func (l *cellHomeCounts) Pop() any { return nil }
