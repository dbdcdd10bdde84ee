package hotkeys

import (
	"container/heap"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// KeyID names a key by its hash, so that no key is kept.
type KeyID struct {
	Shard core.Shard
	Hash  uint64
}

// sketch counts the most frequent keys in bounded memory: the Space-Saving
// algorithm (Metwally, Agrawal and El Abbadi, 2005). A key whose share of all
// events is above 1/capacity is always present; its count is too high by at most
// its error.
type sketch struct {
	capacity int
	counters map[KeyID]*counter
	order    counterHeap // the smallest count first
}

type counter struct {
	key   KeyID
	count float64
	error float64 // at most so much of count belongs to other keys
	index int     // in the heap
}

func newSketch(capacity int) *sketch {
	return &sketch{capacity: capacity, counters: make(map[KeyID]*counter, capacity)}
}

func (s *sketch) add(k KeyID) {
	c := s.counters[k]
	switch {
	case c != nil:
		c.count++
		heap.Fix(&s.order, c.index)
	case len(s.order) < s.capacity:
		c = &counter{key: k, count: 1}
		s.counters[k] = c
		heap.Push(&s.order, c)
	default:
		c = s.order[0]
		delete(s.counters, c.key)
		s.counters[k] = c
		c.key, c.error = k, c.count
		c.count++
		heap.Fix(&s.order, 0)
	}
}

// decay multiplies all counts by factor, which keeps their order, and forgets
// what becomes negligible.
func (s *sketch) decay(factor float64) {
	for _, c := range s.order {
		c.count *= factor
		c.error *= factor
	}
	for len(s.order) > 0 && s.order[0].count < negligible {
		c, _ := heap.Pop(&s.order).(*counter)
		delete(s.counters, c.key)
	}
}

// negligible is the decayed count below which a counter is forgotten.
const negligible = 0.5

// counterHeap implements heap.Interface.
type counterHeap []*counter

func (h counterHeap) Len() int           { return len(h) }
func (h counterHeap) Less(i, j int) bool { return h[i].count < h[j].count }

func (h counterHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counterHeap) Push(x any) {
	c, _ := x.(*counter)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counterHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
