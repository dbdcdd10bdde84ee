// Package fairqueue divides a scarce thing between workspaces that wait for it:
// start-time fair queueing (Goyal, Vin and Cheng, 1996) with one flow for each
// workspace. It is a decisions layer only.
package fairqueue

import "github.com/comfreynotch/comfreynotch/internal/core"

// sweepSlack is how many idle flows are kept beyond the busy ones.
const sweepSlack = 64

// Item is one waiting value. It belongs to its queue from Push until Pop or
// Remove; after that the queue may use it again.
type Item[V any] struct {
	Value      V
	flow       *flow[V]
	prev, next *Item[V]
}

// flow holds the items of one workspace in order of arrival.
type flow[V any] struct {
	start      float64 // start tag of head; of the next item when empty
	step       float64 // inverse of the weight
	head, tail *Item[V]
	size       int
	index      int // in Queue.busy; -1 when empty
}

// Queue holds the waiting items of all workspaces. Push, Pop and Remove do not
// allocate once the queue has reached its size.
type Queue[V any] struct {
	flows   map[core.Workspace]*flow[V]
	busy    []*flow[V] // heap by start tag of the flows with items
	virtual float64    // start tag of the item served last
	size    int
	free    *Item[V]
}

// New returns an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{flows: map[core.Workspace]*flow[V]{}} }

// Len is the number of waiting items.
func (q *Queue[V]) Len() int { return q.size }

// Backlog is the number of waiting items of one workspace.
func (q *Queue[V]) Backlog(w core.Workspace) int {
	if f := q.flows[w]; f != nil {
		return f.size
	}
	return 0
}

// Push adds v to the flow of w, whose share of the service is proportional to
// weight, above 0.
func (q *Queue[V]) Push(w core.Workspace, weight float64, v V) *Item[V] {
	f := q.flows[w]
	if f == nil {
		q.sweep()
		f = &flow[V]{index: -1}
		q.flows[w] = f
	}
	f.step = 1 / weight
	it := q.take()
	it.Value, it.flow, it.prev = v, f, f.tail
	if f.tail != nil {
		f.tail.next = it
	} else {
		f.head = it
		f.start = max(f.start, q.virtual)
		q.insert(f)
	}
	f.tail = it
	f.size++
	q.size++
	return it
}

// Head is the item that Pop would remove, nil when nothing waits.
func (q *Queue[V]) Head() *Item[V] {
	if q.size == 0 {
		return nil
	}
	return q.busy[0].head
}

// Pop removes the item with the smallest start tag. The second result is false
// when nothing waits.
func (q *Queue[V]) Pop() (V, bool) {
	if q.size == 0 {
		var zero V
		return zero, false
	}
	f := q.busy[0]
	v := f.head.Value
	q.virtual = f.start
	f.start += f.step
	q.unlink(f.head)
	if f.size > 0 {
		q.down(f.index)
	}
	if q.size == 0 {
		q.endBusyPeriod()
	}
	return v, true
}

// Remove takes out an item that gave up. Its flow is not charged for it.
func (q *Queue[V]) Remove(it *Item[V]) {
	q.unlink(it)
	if q.size == 0 {
		q.endBusyPeriod()
	}
}

// NewestOfLongest returns the newest item of the flow with the most items, and
// that flow's size; nil when nothing waits.
func (q *Queue[V]) NewestOfLongest() (*Item[V], int) {
	var longest *flow[V]
	for _, f := range q.busy {
		if longest == nil || f.size > longest.size {
			longest = f
		}
	}
	if longest == nil {
		return nil, 0
	}
	return longest.tail, longest.size
}

// endBusyPeriod forgets all tags: whoever comes next starts even.
func (q *Queue[V]) endBusyPeriod() {
	q.virtual = 0
	for _, f := range q.flows {
		f.start = 0
	}
	q.sweep()
}

// sweep forgets idle flows that owe nothing, once there are many.
func (q *Queue[V]) sweep() {
	if len(q.flows) <= 2*len(q.busy)+sweepSlack {
		return
	}
	for w, f := range q.flows {
		if f.size == 0 && f.start <= q.virtual {
			delete(q.flows, w)
		}
	}
}

func (q *Queue[V]) take() *Item[V] {
	it := q.free
	if it == nil {
		return &Item[V]{}
	}
	q.free = it.next
	it.next = nil
	return it
}

// unlink removes it from its flow and keeps it for the next Push.
func (q *Queue[V]) unlink(it *Item[V]) {
	f := it.flow
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		f.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		f.tail = it.prev
	}
	f.size--
	q.size--
	if f.size == 0 {
		q.extract(f)
	}
	*it = Item[V]{next: q.free}
	q.free = it
}
