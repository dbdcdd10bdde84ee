package daemon

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/claims"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/serve"
	"github.com/comfreynotch/comfreynotch/internal/spread"
	"github.com/comfreynotch/comfreynotch/internal/upstream"
)

// serving holds the tasks of a request's way beyond dispatch.
type serving struct {
	upstream *upstream.Client
	spread   *spread.Task
	claims   *claims.Task
}

func (d *Daemon) newServing(self core.VM) serving {
	client := &http.Client{Transport: innerproto.StampedTransport(d.recorder, d.secured.transport)}
	return serving{
		upstream: upstream.New(self),
		spread:   spread.NewTask(),
		claims:   claims.NewTask(self, innerproto.NewClaimsClient(client)),
	}
}

// tableChanged hands a new table of the cell to the tasks of a request's way.
func (s serving) tableChanged(t *cell.Table) {
	s.upstream.TableChanged(t)
	s.spread.TableChanged(t)
}

func (d *Daemon) newPipeline() *serve.Server {
	return &serve.Server{
		Self:      core.VM(d.settings.VM),
		Config:    d.registry.State(),
		Limiter:   d.quota,
		Ownership: ownership{d.cell, d.grant},
		Slots:     d.dispatch,
		Sender:    d.serving.upstream,
		Forwarder: innerproto.NewForwarder(d.secured.dial),
		Spread:    d.serving.spread,
		Claims:    d.serving.claims,
		Counter:   d.rebalance,
	}
}

// superviseServing adds the tasks of a request's way.
func (d *Daemon) superviseServing() {
	d.root.Add(d.dispatch)
	d.root.Add(d.serving.upstream)
	d.root.Add(d.serving.spread)
	d.root.Add(d.serving.claims)
}
