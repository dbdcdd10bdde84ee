package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/gateway"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/hotkeys"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// metricsHandler serves the metrics and the liveness and readiness probes.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(d.metrics.Registry(), promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("alive\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		reason, ready := health.Ready(d.view())
		if !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	return mux
}

// callersHandler serves callers, counts their requests and logs those that
// failed. It reads the result code from the response header.
func (d *Daemon) callersHandler() http.Handler {
	next := gateway.New(d.registry.State(), countedPipeline{d.pipeline, d.metrics, d.recorder, d.hotkeys})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began, code := time.Now(), result.ConnectionLost // the code if ServeHTTP panics to abort the response
		defer func() { d.requestEnded(w.Header(), d.serviceLabel(r.URL.Path), code, time.Since(began)) }()
		next.ServeHTTP(w, r)
		code = codeFromHeader(w.Header())
	})
}

// codeFromHeader returns the result code in a response header, or
// result.Internal if there is none.
func codeFromHeader(h http.Header) result.Code {
	n, err := strconv.ParseUint(h.Get(gateway.HeaderResultCode), 10, 16)
	if err != nil {
		return result.Internal
	}
	return result.Code(n)
}

// serviceLabel returns the service named by the first segment of path, or
// telemetry.UnknownService if the configuration has no such service. This bounds
// the number of label values that callers can create.
func (d *Daemon) serviceLabel(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if _, ok := d.registry.Current().Services[core.Service(name)]; ok {
		return name
	}
	return telemetry.UnknownService
}

// requestEnded counts a request and logs it if it failed: as a warning if it may
// have run, so that its outcome is unknown to the caller.
func (d *Daemon) requestEnded(h http.Header, service string, code result.Code, took time.Duration) {
	d.metrics.Request(service, code, took)
	if code == result.OK {
		return
	}
	leveled := level.Info(d.logger)
	if code.Info().Ran == result.MayHaveRun {
		leveled = level.Warn(d.logger)
	}
	_ = leveled.Log("msg", "request failed", "code", uint16(code), "result", code.String(), "ran", h.Get(gateway.HeaderRan),
		"request_id", h.Get(gateway.HeaderRequestID), "service", service, "ms", took.Milliseconds())
}

// countedPipeline counts authenticated requests by workspace, samples their keys
// for the hot-key statistics and reports refusals to the time line.
type countedPipeline struct {
	next     gateway.Pipeline
	metrics  *telemetry.Metrics
	recorder *timeline.Recorder
	hotkeys  *hotkeys.Task
}

// Serve implements gateway.Pipeline.
func (p countedPipeline) Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	if r.Key != "" && rand.IntN(hotkeys.SampleEvery) == 0 {
		p.hotkeys.Count(r.Service, r.Key)
	}
	answer, err := p.next.Serve(ctx, r)
	if err == nil {
		p.metrics.WorkspaceRequest(r.Workspace, result.HasRun)
		return answer, nil
	}
	e := result.From(err)
	p.metrics.WorkspaceRequest(r.Workspace, e.Ran)
	p.recorder.Refused(timeline.Refusal{Code: e.Code, Service: r.Service, Workspace: r.Workspace})
	return nil, err
}
