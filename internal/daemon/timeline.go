package daemon

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

func (d *Daemon) newRecorder(s *settings.Settings) *timeline.Recorder {
	return timeline.NewRecorder(core.VM(s.VM), core.DataCentre(s.DataCentre), d.metrics.EventDropped, d.observe)
}

// observe returns what the time line records of this daemon's leases.
func (d *Daemon) observe() timeline.Observation {
	v := d.view()
	return timeline.Observation{
		Cell: v.Table.Cell, Fence: v.Table.Fence, LeaseLive: v.LeaseLive, Coordinator: v.Coordinator,
	}
}

// innerHandler serves other daemons: forwards, and the other calls of the inner
// protocol by their path prefix.
func (d *Daemon) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", innerproto.ForwardHandler(d.pipeline))
	mux.Handle(innerproto.ClaimsPathPrefix, innerproto.ClaimsHandler(d.serving.claims))
	mux.Handle(innerproto.LoadPathPrefix, innerproto.LoadHandler(d.rebalance))
	mux.Handle(innerproto.QuotaPathPrefix, innerproto.QuotaHandler(d.quota))
	mux.Handle(innerproto.EventsPath, innerproto.EventsHandler(d.recorder))
	mux.Handle(innerproto.RegistryPath, d.registry.handler())
	d.handleCell(mux)
	return innerproto.WithStamps(d.recorder, mux)
}
