package daemon

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

func (d *Daemon) newRecorder(s *settings.Settings) *timeline.Recorder {
	return timeline.NewRecorder(core.VM(s.VM), core.DataCentre(s.DataCentre), d.metrics.EventDropped, d.observe)
}

// registryReporter returns a function that logs what a registry voter reports
// and records it if this daemon leads. Only the voter's goroutine calls it.
func (d *Daemon) registryReporter() func(event, text string) {
	own, leads := strconv.Quote(d.settings.VM)+" ", false
	return func(event, text string) {
		_ = level.Info(d.logger).Log("msg", "registry", "event", event, "text", text)
		if event == "leader" {
			led := leads
			leads = strings.HasPrefix(text, own)
			switch {
			case leads:
				d.recorder.Record(timeline.Event{Kind: timeline.LeaderElected, Detail: text})
			case led:
				d.recorder.Record(timeline.Event{Kind: timeline.LeaderLost, Detail: text})
			}
		}
		if event == "members" && leads {
			d.recorder.Record(timeline.Event{Kind: timeline.VoterChanged, Detail: text})
		}
	}
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
	mux.Handle(innerproto.EventsPathPrefix, innerproto.EventsHandler(d.recorder))
	mux.Handle(innerproto.RegistryPathPrefix, d.registry.handler())
	d.handleCell(mux)
	return innerproto.WithStamps(d.recorder, mux)
}

var changeKinds = map[dispatch.ChangeKind]timeline.Kind{
	dispatch.Ejected:    timeline.TargetEjected,
	dispatch.TurnedCold: timeline.TargetCold,
	dispatch.TurnedWarm: timeline.TargetWarm,
}

// recordTarget records a change of a target's treatment.
func (d *Daemon) recordTarget(c dispatch.Change) {
	e := timeline.Event{
		Kind: changeKinds[c.Kind], Service: c.Target.Service, Target: c.Target.ID, DataCentre: c.Target.DataCentre,
		Cause: timeline.TargetRef(c.Target.ID, c.Target.Incarnation),
	}
	if !c.Until.IsZero() {
		e.Detail = "until " + c.Until.UTC().Format("15:04:05.000")
	}
	d.recorder.Record(e)
}
