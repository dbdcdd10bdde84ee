package fairqueue

// insert adds a flow that got its first item to the heap.
func (q *Queue[V]) insert(f *flow[V]) {
	f.index = len(q.busy)
	q.busy = append(q.busy, f)
	q.up(f.index)
}

// extract removes a flow that lost its last item from the heap.
func (q *Queue[V]) extract(f *flow[V]) {
	i, last := f.index, len(q.busy)-1
	q.swap(i, last)
	q.busy[last] = nil
	q.busy = q.busy[:last]
	f.index = -1
	if i < last {
		q.down(i)
		q.up(i)
	}
}

// up restores the heap order from the flow at index i towards the root.
func (q *Queue[V]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if q.busy[parent].start <= q.busy[i].start {
			return
		}
		q.swap(i, parent)
		i = parent
	}
}

// down restores the heap order from the flow at index i towards the leaves.
func (q *Queue[V]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.busy); child++ {
			if q.busy[child].start < q.busy[least].start {
				least = child
			}
		}
		if least == i {
			return
		}
		q.swap(i, least)
		i = least
	}
}

func (q *Queue[V]) swap(i, j int) {
	q.busy[i], q.busy[j] = q.busy[j], q.busy[i]
	q.busy[i].index, q.busy[j].index = i, j
}
