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
	heap     []core.Cell       // empty until the first call of least
	position map[core.Cell]int // index of each cell in heap
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
	if len(l.heap) == 0 {
		l.heap = slices.Collect(maps.Keys(l.homes))
		l.position = make(map[core.Cell]int, len(l.heap))
		for i, c := range l.heap {
			l.position[c] = i
		}
		heap.Init(l)
	}
	return l.heap[0]
}

// Len implements heap.Interface.
func (l *cellHomeCounts) Len() int { return len(l.heap) }

// Less implements heap.Interface.
func (l *cellHomeCounts) Less(i, j int) bool {
	a, b := l.heap[i], l.heap[j]
	if l.homes[a] != l.homes[b] {
		return l.homes[a] < l.homes[b]
	}
	return a < b
}

// Swap implements heap.Interface.
func (l *cellHomeCounts) Swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.position[l.heap[i]], l.position[l.heap[j]] = i, j
}

// Push implements heap.Interface. It is never called since the set of cells does
// not grow.
func (l *cellHomeCounts) Push(any) {}

// Pop implements heap.Interface. It is never called since the set of cells does
// not shrink.
func (l *cellHomeCounts) Pop() any { return nil }
