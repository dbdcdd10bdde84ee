// Package measure runs the five measures: it puts the same load on comfreynotch
// and on baseline systems, one after the other, and reports the results of the
// callers. Scenarios: one file each, except that Refusals is in workspaces.go.
// Systems: systems.go. Output: table.go, plot.go.
package measure

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httputil"
	"os"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/load"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// system is a running deployment: comfreynotch or a baseline.
type system struct {
	name    string
	cluster *cluster.Cluster
	caller  *load.Caller
	out     task.Snapshot[string] // data centre that baselines send no requests to; "": none
	routed  bool                  // through comfreynotch, not a baseline
	stop    func() error
}

// starter starts a new system for one run.
type starter struct {
	name  string
	start func(ctx context.Context, d cluster.Deployment) (*system, error)
}

func starters() []starter {
	return []starter{
		{"direct", startDirect},
		{"round robin proxy", startRoundRobin},
		{"comfreynotch", startRouter},
	}
}

// startDirect starts targets that callers address directly, in turn. The callers
// always have the current status of the data centres.
func startDirect(ctx context.Context, d cluster.Deployment) (*system, error) {
	c, err := cluster.StartTargetsOnly(ctx, d)
	if err != nil {
		return nil, err
	}
	none := ""
	s := &system{name: "direct", cluster: c, out: task.NewSnapshot(&none), stop: c.Stop}
	s.caller = load.NewCaller(func(service string) []string { return c.Addresses(service, *s.out.Load()) }, nil)
	return s, nil
}

// startRoundRobin starts targets behind one httputil.ReverseProxy, which sends
// requests to the targets of a service in turn.
func startRoundRobin(ctx context.Context, d cluster.Deployment) (*system, error) {
	s, err := startDirect(ctx, d)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Join(err, s.stop())
	}
	srv := &http.Server{Handler: roundRobin(s, d)}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(listener) }()
	stopTargets := s.stop
	s.name = "round robin proxy"
	s.caller = load.NewCaller(func(string) []string { return []string{listener.Addr().String()} }, nil)
	s.stop = func() error {
		_ = srv.Close()
		if err := <-served; !errors.Is(err, http.ErrServerClosed) {
			return errors.Join(err, stopTargets())
		}
		return stopTargets()
	}
	return s, nil
}

// roundRobin proxies requests to the addresses of their service in turn. A
// channel of capacity 1 holds the index of the next address.
func roundRobin(s *system, d cluster.Deployment) http.Handler {
	mux := http.NewServeMux()
	transport := &http.Transport{MaxIdleConnsPerHost: 128}
	for _, service := range d.Services {
		position := make(chan int, 1)
		position <- 0
		mux.Handle("/"+service.Name+"/", &httputil.ReverseProxy{
			Transport: transport,
			Rewrite: func(r *httputil.ProxyRequest) {
				addresses := s.cluster.Addresses(service.Name, *s.out.Load())
				i := <-position
				position <- i + 1
				r.Out.URL.Scheme, r.Out.URL.Host = "http", addresses[i%len(addresses)]
			},
		})
	}
	return mux
}

const (
	servingTimeout = 30 * time.Second
	probePause     = 50 * time.Millisecond
)

// startRouter starts comfreynotch and waits until each service answers through
// each VM.
func startRouter(ctx context.Context, d cluster.Deployment) (*system, error) {
	folder, err := os.MkdirTemp("", "comfreynotch-measure-")
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, d, cluster.Options{Folder: folder})
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	none := ""
	s := &system{name: "comfreynotch", cluster: c, out: task.NewSnapshot(&none), routed: true}
	s.caller = load.NewCaller(func(string) []string { return c.Callers() }, c.Secrets)
	s.stop = func() error { return errors.Join(c.Stop(), os.RemoveAll(folder)) }
	limit, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	if err := c.WaitServing(limit); err != nil {
		return nil, errors.Join(fmt.Errorf("system does not serve: %w", err), s.stop())
	}
	return s, nil
}
