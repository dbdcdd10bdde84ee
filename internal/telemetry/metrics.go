package telemetry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const namespace = "comfreynotch"

// UnknownService is the service label of requests for services that the
// configuration does not have.
const UnknownService = "unknown"

// durationBuckets are the histogram buckets of request durations in seconds.
var durationBuckets = []float64{
	0.0005, 0.001, 0.002, 0.004, 0.008, 0.013, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
}

// Metrics are the metrics of one daemon; docs/METRICS.md lists them. Label values
// are names from the configuration or from a fixed set, such as result codes,
// which bounds the number of time series.
type Metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	durations       *prometheus.HistogramVec
	workspaces      *prometheus.CounterVec
	taskEvents      prometheus.Counter
	droppedEvents   prometheus.Counter
	droppedLogLines prometheus.Counter
	configPolls     *prometheus.CounterVec
	configBehind    prometheus.Histogram
}

// NewMetrics returns metrics that are registered on a new Prometheus registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Callers' requests by service and result code.",
		}, []string{"service", "code"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_duration_seconds",
			Help: "Time from a request's first byte to its answer's last.", Buckets: durationBuckets,
		}, []string{"service"}),
		workspaces: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "workspace_requests_total",
			Help: "Authenticated requests by workspace and whether they ran.",
		}, []string{"workspace", "ran"}),
		taskEvents:      counter("task_events_total", "Failures and restarts of tasks that the supervisor reported."),
		droppedEvents:   counter("timeline_dropped_total", "Events that found the recorder's mailbox full."),
		droppedLogLines: counter("log_lines_dropped_total", "Log lines that found the log's mailbox full."),
		configPolls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "configuration_polls_total", Help: "Polls for the configuration that failed or brought a newer version.",
		}, []string{"outcome"}),
		configBehind: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "configuration_behind_seconds",
			Help: "Upper bound of the time for which a version was accepted before it was received here.", Buckets: durationBuckets,
		}),
	}
	m.registry.MustRegister(
		m.requests, m.configPolls, m.configBehind, m.durations, m.workspaces, m.taskEvents, m.droppedEvents, m.droppedLogLines,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// Registry returns the Prometheus registry, on which other packages register
// their own metrics.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Request records the result and the duration of a caller's request. service is
// a name from the configuration or UnknownService.
func (m *Metrics) Request(service string, code result.Code, d time.Duration) {
	m.requests.WithLabelValues(service, code.String()).Inc()
	m.durations.WithLabelValues(service).Observe(d.Seconds())
}

// WorkspaceRequest counts an authenticated request and whether it ran.
func (m *Metrics) WorkspaceRequest(w core.Workspace, ran result.Ran) {
	m.workspaces.WithLabelValues(string(w), ran.String()).Inc()
}

// ConfigurationPoll counts a poll for the configuration that failed or brought a newer
// version.
func (m *Metrics) ConfigurationPoll(p configsync.PollResult) {
	if p.Err != nil {
		m.configPolls.WithLabelValues("failed").Inc()
		return
	}
	m.configPolls.WithLabelValues("received").Inc()
	if p.Behind >= 0 { // the first versions of a process have no bound
		m.configBehind.Observe(p.Behind.Seconds())
	}
}

// TaskEvent counts a failure or restart of a task.
func (m *Metrics) TaskEvent() { m.taskEvents.Inc() }

// EventDropped counts an event that was dropped because the recorder's mailbox
// was full.
func (m *Metrics) EventDropped() { m.droppedEvents.Inc() }

// LogLineDropped counts a log line that was dropped because the log task's
// mailbox was full.
func (m *Metrics) LogLineDropped() { m.droppedLogLines.Inc() }

// RegisterGauges registers gauges that are computed from view at each scrape.
func (m *Metrics) RegisterGauges(view func() health.View) {
	gauge := func(name, help string, value func(health.View) float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: name, Help: help,
		}, func() float64 { return value(view()) }))
	}
	gauge("configuration_version", "Version of the configuration in force here.",
		func(v health.View) float64 { return float64(v.State.Version) })
	gauge("ready", "1 if this daemon should get new requests.",
		func(v health.View) float64 { _, ready := health.Ready(v); return oneIf(ready) })
	gauge("member_lease_live", "1 if this daemon may send to targets.",
		func(v health.View) float64 { return oneIf(v.LeaseLive) })
	gauge("coordinator", "1 if this daemon coordinates its cell.",
		func(v health.View) float64 { return oneIf(v.Coordinator == v.Self) })
	gauge("registry_leader_known", "1 if a leader of the registry is known.",
		func(v health.View) float64 { return oneIf(v.LeaderKnown) })
	gauge("targets", "Targets of this cell.",
		func(v health.View) float64 { return float64(len(v.Table.Targets)) })
	gauge("problems", "Problems that status names.",
		func(v health.View) float64 { return float64(len(health.Problems(v))) })
}

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
