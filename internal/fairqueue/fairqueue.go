// Package fairqueue orders the waiting requests of workspaces by start-time
// fair queueing (Goyal, Vin and Cheng, 1996), with one flow for each
// workspace. It has no I/O and no goroutines.
package fairqueue

import "github.com/comfreynotch/comfreynotch/internal/core"

// sweepSlack is the number of idle flows that are kept in addition to one for
// each busy flow.
const sweepSlack = 64

// Item is one waiting value. It is valid from Push until Pop or Remove, after
// which the queue may reuse it.
type Item[V any] struct {
	Value      V
	flow       *flow[V]
	prev, next *Item[V]
}

// flow holds the items of one workspace in order of arrival.
type flow[V any] struct {
	start      float64 // start tag of head, or of the next item if the flow is empty
	step       float64 // inverse of the weight
	head, tail *Item[V]
	size       int
	index      int // index in Queue.busy, -1 if the flow is empty
}

// Queue holds the waiting items of all workspaces. Push, Pop and Remove reuse
// memory and do not allocate unless the queue grows beyond its largest size so
// far.
type Queue[V any] struct {
	flows   map[core.Workspace]*flow[V]
	busy    []*flow[V] // flows with items, a heap by start tag
	virtual float64    // virtual time: the start tag of the item served last
	size    int
	free    *Item[V] // list of items for reuse
}

// New returns an empty queue.
func New[V any]() *Queue[V] { return &Queue[V]{flows: map[core.Workspace]*flow[V]{}} }

// Len returns the number of waiting items.
func (q *Queue[V]) Len() int { return q.size }

// Backlog returns the number of waiting items of one workspace.
func (q *Queue[V]) Backlog(w core.Workspace) int {
	if f := q.flows[w]; f != nil {
		return f.size
	}
	return 0
}

// Push adds v to the flow of w. The flow's share of the served items is
// proportional to weight, which must be above 0.
func (q *Queue[V]) Push(w core.Workspace, weight float64, v V) *Item[V] {
	f := q.flows[w]
	if f == nil {
		q.sweep()
		f = &flow[V]{index: -1}
		q.flows[w] = f
	}
	f.step = 1 / weight
	item := q.take()
	item.Value, item.flow, item.prev = v, f, f.tail
	if f.tail != nil {
		f.tail.next = item
	} else {
		f.head = item
		f.start = max(f.start, q.virtual)
		q.insert(f)
	}
	f.tail = item
	f.size++
	q.size++
	return item
}

// Head returns the item that Pop would remove, or nil if the queue is empty.
func (q *Queue[V]) Head() *Item[V] {
	if q.size == 0 {
		return nil
	}
	return q.busy[0].head
}

// Pop removes the item with the smallest start tag. The second result is false if
// the queue is empty.
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

// Remove removes an item that is no longer wanted. Its flow is not charged for
// it.
func (q *Queue[V]) Remove(item *Item[V]) {
	q.unlink(item)
	if q.size == 0 {
		q.endBusyPeriod()
	}
}

// NewestOfLongest returns the newest item of the flow with the most items, and
// the size of that flow. The item is nil if the queue is empty.
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

// endBusyPeriod resets all start tags when the queue becomes empty, so that no
// flow is charged for what it got before.
func (q *Queue[V]) endBusyPeriod() {
	q.virtual = 0
	for _, f := range q.flows {
		f.start = 0
	}
	q.sweep()
}

// sweep deletes idle flows if there are many of them. Flows whose next start
// tag is ahead of the virtual time are kept, since they would otherwise get
// more than their share.
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

// take returns a free item, or a new one if there is none.
func (q *Queue[V]) take() *Item[V] {
	item := q.free
	if item == nil {
		return &Item[V]{}
	}
	q.free = item.next
	item.next = nil
	return item
}

// unlink removes item from its flow and keeps it for reuse.
func (q *Queue[V]) unlink(item *Item[V]) {
	f := item.flow
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		f.head = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		f.tail = item.prev
	}
	f.size--
	q.size--
	if f.size == 0 {
		q.extract(f)
	}
	*item = Item[V]{next: q.free}
	q.free = item
}
