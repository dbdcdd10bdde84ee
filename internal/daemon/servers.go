package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/announce"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	targetTTL         = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 8 * time.Second
)

// servers returns one supervised task for each listener.
func (d *Daemon) servers() []task.Service {
	return []task.Service{
		httpTask("callers", d.listeners.callers, d.callersHandler()),
		httpTask("targets", d.listeners.targets, announce.Handler(d.membership)),
		httpTask("inner", d.listeners.inner, d.innerHandler()),
		httpTask("operators", d.listeners.operators, d.operatorsHandler()),
		httpTask("metrics", d.listeners.metrics, d.metricsHandler()),
	}
}

// httpTask owns one listener and serves h on it until its context ends; then it
// lets the requests in flight end.
func httpTask(name string, l net.Listener, h http.Handler) task.Service {
	return task.Func(name, func(ctx context.Context) error {
		srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
		failed := make(chan error, 1)
		go func() { failed <- srv.Serve(l) }()
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		}
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := srv.Shutdown(grace); err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return ctx.Err()
	})
}
