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

// registryReporter returns the function to which this daemon's registry replica
// reports its events. It logs each event. It records a change of the leader if
// this daemon became or stopped being the leader, and a change of the members if
// this daemon leads, so that each stands in the time line once. Only the
// replica's goroutine may call it.
func (d *Daemon) registryReporter() func(event, text string) {
	// The text of a "leader" event begins with the quoted name of the leader.
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

// observe returns the state of this daemon's leases for the time line.
func (d *Daemon) observe() timeline.Observation {
	v := d.view()
	return timeline.Observation{
		Cell: v.Table.Cell, Fence: v.Table.Fence, LeaseLive: v.LeaseLive, Coordinator: v.Coordinator,
	}
}

// innerHandler serves other daemons: the calls of the inner protocol by path
// prefix, and forwarded requests on every other path.
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

// changeKinds maps the changes that dispatch reports to kinds of events.
var changeKinds = map[dispatch.ChangeKind]timeline.Kind{
	dispatch.Ejected:    timeline.TargetEjected,
	dispatch.TurnedCold: timeline.TargetCold,
	dispatch.TurnedWarm: timeline.TargetWarm,
}

// recordTarget records that dispatch ejected a target or changed its limit for a
// cold start.
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
