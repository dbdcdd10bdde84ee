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

// serving holds the tasks that handle a request, apart from the dispatch task.
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

// tableChanged passes a new table of the cell to the tasks that handle requests.
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

// superviseRequestTasks adds the tasks that handle requests to the supervisor.
func (d *Daemon) superviseRequestTasks() {
	d.root.Add(d.dispatch)
	d.root.Add(d.serving.upstream)
	d.root.Add(d.serving.spread)
	d.root.Add(d.serving.claims)
}
