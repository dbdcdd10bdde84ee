package config

import (
	"container/heap"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// cellLoads counts the homes of each cell that takes work, and finds the cell
// with the fewest in logarithmic time; the smaller name wins a tie. Use add to
// change a count.
type cellLoads struct {
	homes    map[core.Cell]int
	order    []core.Cell // a heap; empty until least is first called
	position map[core.Cell]int
}

// add changes the count of a cell.
func (l *cellLoads) add(c core.Cell, n int) {
	l.homes[c] += n
	if i, ok := l.position[c]; ok {
		heap.Fix(l, i)
	}
}

// least returns the cell with the fewest homes.
func (l *cellLoads) least() core.Cell {
	if len(l.order) == 0 {
		l.order = slices.Collect(maps.Keys(l.homes))
		l.position = make(map[core.Cell]int, len(l.order))
		for i, c := range l.order {
			l.position[c] = i
		}
		heap.Init(l)
	}
	return l.order[0]
}

// Len is part of heap.Interface.
func (l *cellLoads) Len() int { return len(l.order) }

// Less is part of heap.Interface.
func (l *cellLoads) Less(i, j int) bool {
	a, b := l.order[i], l.order[j]
	if l.homes[a] != l.homes[b] {
		return l.homes[a] < l.homes[b]
	}
	return a < b
}

// Swap is part of heap.Interface.
func (l *cellLoads) Swap(i, j int) {
	l.order[i], l.order[j] = l.order[j], l.order[i]
	l.position[l.order[i]], l.position[l.order[j]] = i, j
}

// Push is part of heap.Interface; the set of cells never grows.
func (l *cellLoads) Push(any) {}

// Pop is part of heap.Interface; the set of cells never shrinks.
func (l *cellLoads) Pop() any { return nil }
