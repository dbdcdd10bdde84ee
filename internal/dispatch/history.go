package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// settledAfter is how long a target must have been in the table before another
// dispatcher may take it for warm.
const settledAfter = 15 * time.Second

// history is what the tables so far showed of each target of the cell.
type history map[core.TargetID]lifetime

type lifetime struct {
	incarnation core.Incarnation
	since       time.Time // of this incarnation
	dispatcher  core.VM
}

// handedOver takes a table and returns the targets that come to self from
// another dispatcher and are no longer cold. A target that is new, or new in its
// incarnation, may still be.
func (h history) handedOver(self core.VM, table *cell.Table, now time.Time) []core.TargetID {
	var ids []core.TargetID
	for id, e := range table.Targets {
		old, known := h[id]
		if !known || old.incarnation != e.Target.Incarnation {
			old = lifetime{incarnation: e.Target.Incarnation, since: now}
		}
		if e.Dispatcher == self && old.dispatcher != self && now.Sub(old.since) >= settledAfter {
			ids = append(ids, id)
		}
		old.dispatcher = e.Dispatcher
		h[id] = old
	}
	for id := range h {
		if _, ok := table.Targets[id]; !ok {
			delete(h, id)
		}
	}
	return ids
}
