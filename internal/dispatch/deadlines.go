package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
)

type item = fairqueue.Item[waiter]

// deadlines is a heap of the waiting needs by deadline. Each need knows its
// index, so that one which leaves early is removed without a search.
type deadlines []*item

func (h deadlines) earliest() time.Time {
	if len(h) == 0 {
		return time.Time{}
	}
	return h[0].Value.need.Deadline
}

func (h *deadlines) add(it *item) {
	it.Value.index = len(*h)
	*h = append(*h, it)
	h.up(it.Value.index)
}

func (h *deadlines) remove(it *item) {
	i, last := it.Value.index, len(*h)-1
	h.swap(i, last)
	(*h)[last] = nil
	*h = (*h)[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h deadlines) before(i, j int) bool {
	return h[i].Value.need.Deadline.Before(h[j].Value.need.Deadline)
}

func (h deadlines) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].Value.index, h[j].Value.index = i, j
}

func (h deadlines) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h deadlines) down(i int) {
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
