// Package frequent counts the most frequent of many keys in bounded memory. It
// has no I/O and no goroutines.
package frequent

import "container/heap"

// negligible is the decayed count below which a key is dropped.
const negligible = 0.5

// Sketch counts keys by the Space-Saving algorithm (Metwally, Agrawal and El
// Abbadi, 2005). A key with more than 1/capacity of all events is always present.
// Its count is never too low, and too high by at most its error.
type Sketch[K comparable] struct {
	capacity int
	counters map[K]*Counter[K]
	order    counters[K] // heap with the smallest count first
}

// Counter is one counted key.
type Counter[K comparable] struct {
	Key   K
	Count float64
	Error float64 // largest part of Count that may belong to other keys
	index int     // in the heap
}

// New returns an empty sketch that counts at most capacity keys.
func New[K comparable](capacity int) *Sketch[K] {
	return &Sketch[K]{capacity: capacity, counters: make(map[K]*Counter[K], capacity)}
}

// Add counts an event of the given weight.
func (s *Sketch[K]) Add(k K, weight float64) {
	c := s.counters[k]
	switch {
	case c != nil:
		c.Count += weight
		heap.Fix(&s.order, c.index)
	case len(s.order) < s.capacity:
		c = &Counter[K]{Key: k, Count: weight}
		s.counters[k] = c
		heap.Push(&s.order, c)
	default:
		c = s.order[0]
		delete(s.counters, c.Key)
		s.counters[k] = c
		c.Key, c.Error = k, c.Count
		c.Count += weight
		heap.Fix(&s.order, 0)
	}
}

// Decay multiplies all counts by factor, which keeps their order, and drops keys
// whose count becomes negligible.
func (s *Sketch[K]) Decay(factor float64) {
	for _, c := range s.order {
		c.Count *= factor
		c.Error *= factor
	}
	for len(s.order) > 0 && s.order[0].Count < negligible {
		c, _ := heap.Pop(&s.order).(*Counter[K])
		delete(s.counters, c.Key)
	}
}

// Len returns the number of counted keys.
func (s *Sketch[K]) Len() int { return len(s.order) }

// Counters returns the counted keys in no order.
func (s *Sketch[K]) Counters() []Counter[K] {
	list := make([]Counter[K], len(s.order))
	for i, c := range s.order {
		list[i] = *c
	}
	return list
}

// counters implements heap.Interface.
type counters[K comparable] []*Counter[K]

func (h counters[K]) Len() int           { return len(h) }
func (h counters[K]) Less(i, j int) bool { return h[i].Count < h[j].Count }

func (h counters[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *counters[K]) Push(x any) {
	c, _ := x.(*Counter[K])
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *counters[K]) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}
