package daemon

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// newCell returns the task of this daemon's part in its cell.
func (d *Daemon) newCell(s *settings.Settings) *cell.Task {
	return cell.NewTask(core.VM(s.VM), core.Cell(s.Cell), d.cellTransport(), d.tableChanged)
}

// tableChanged hands a table in force to the tasks that act on it.
func (d *Daemon) tableChanged(t *cell.Table) {
	d.dispatch.TableChanged(t)
	d.serving.tableChanged(t)
	d.recorder.TableChanged(t)
}

// handleCell serves the other members of the cell.
func (d *Daemon) handleCell(mux *http.ServeMux) {
	mux.Handle(innerproto.CellPathPrefix, innerproto.CellHandler(d.cell))
}

// cellTransport carries calls to members of cells.
func (d *Daemon) cellTransport() *innerproto.CellTransport {
	return innerproto.NewCellTransport(nil, "http")
}
