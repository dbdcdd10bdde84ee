package daemon

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/grant"
	"github.com/comfreynotch/comfreynotch/internal/granthttp"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// proposeTimeout bounds one proposal of a cell's change to the registry.
const proposeTimeout = 2 * time.Second

// newCell returns the task for this daemon's membership of its cell.
func (d *Daemon) newCell(s *settings.Settings) *cell.Task {
	return cell.NewTask(core.VM(s.VM), core.Cell(s.Cell), d.cellTransport(), d.tableChanged, d.propose)
}

// propose proposes a change of this daemon's cell to the registry in the
// background. It ignores the result because the cell task proposes a change
// again until it is in force.
func (d *Daemon) propose(c config.Change) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		_, _ = d.registry.Propose(ctx, config.Command{RequestID: rand.Text(), Change: c})
	}()
}

// newGrant returns the task that grants shards to this daemon's targets.
func (d *Daemon) newGrant(s *settings.Settings) *grant.Task {
	return grant.NewTask(core.VM(s.VM), granthttp.NewSender(), d.dispatch, d.cell, func(f cell.Facts) {
		_ = d.cell.Post(cell.FactsChanged{Facts: f})
	})
}

// tableChanged passes a new table of the cell to the tasks that depend on it.
func (d *Daemon) tableChanged(t *cell.Table) {
	d.dispatch.TableChanged(t)
	d.grant.TableChanged()
	d.serving.tableChanged(t)
	d.recorder.TableChanged(t)
}

// handleCell registers the handler for calls from other members of the cell.
func (d *Daemon) handleCell(mux *http.ServeMux) {
	mux.Handle(innerproto.CellPathPrefix, innerproto.CellHandler(d.cell))
}

// ownership tells the request pipeline which requests this daemon may send to a
// target: it combines the cell's lease and table with the grants to targets.
type ownership struct {
	*cell.Task
	grants *grant.Task
}

// Owns reports whether the target of slot s holds a live grant for the slot's
// shard and fence.
func (o ownership) Owns(s dispatch.Slot, now time.Time) bool {
	return o.grants.View().Live(s.Target.ID, s.Shard, s.Fence, now)
}

// cellTransport returns a client for calls to members of any cell.
func (d *Daemon) cellTransport() *innerproto.CellTransport {
	return innerproto.NewCellTransport(&http.Client{Transport: d.secured.transport}, "http")
}
