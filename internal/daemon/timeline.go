package daemon

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

func newRecorder(s *settings.Settings, dropped func()) *timeline.Recorder {
	return timeline.NewRecorder(core.VM(s.VM), core.DataCentre(s.DataCentre), dropped)
}

// innerHandler serves other daemons: forwards, and the other calls of the inner
// protocol by their path prefix.
func (d *Daemon) innerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", innerproto.ForwardHandler(d.pipeline))
	mux.Handle(innerproto.QuotaPathPrefix, innerproto.QuotaHandler(d.quota))
	mux.Handle(innerproto.EventsPath, innerproto.EventsHandler(d.recorder))
	d.handleCell(mux)
	return innerproto.WithStamps(d.recorder, mux)
}
