package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
)

type item = fairqueue.Item[waiter]

// deadlineHeap is a binary heap of the waiting requests, ordered by deadline. Each
// item stores its index, so that it is removed without a search.
type deadlineHeap []*item

func (h deadlineHeap) earliest() time.Time {
	if len(h) == 0 {
		return time.Time{}
	}
	return h[0].Value.request.Deadline
}

func (h *deadlineHeap) add(it *item) {
	it.Value.index = len(*h)
	*h = append(*h, it)
	h.up(it.Value.index)
}

func (h *deadlineHeap) remove(it *item) {
	i, last := it.Value.index, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h deadlineHeap) before(i, j int) bool {
	return h[i].Value.request.Deadline.Before(h[j].Value.request.Deadline)
}

func (h deadlineHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Value.index, h[j].Value.index = i, j
}

func (h deadlineHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h deadlineHeap) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h); child++ {
			if h.before(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
