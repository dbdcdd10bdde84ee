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
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// servers returns one supervised task for each listener.
func (d *Daemon) servers() []task.Service {
	return []task.Service{
		httpTask("callers", d.listeners.callers, d.withReadiness(d.callersHandler()), d.stopping.callers),
		httpTask("targets", d.listeners.targets, announce.Handler(d.membership), drain{}),
		httpTask("inner", d.listeners.inner, d.innerHandler(), d.stopping.inner),
		httpTask("operators", d.listeners.operators, d.operatorsHandler(), drain{}),
		httpTask("metrics", d.listeners.metrics, d.metricsHandler(), drain{}),
	}
}

// httpTask owns one listener and serves h on it until its context ends, or
// until dr begins; then it lets the requests in flight end.
func httpTask(name string, l net.Listener, h http.Handler, dr drain) task.Service {
	return task.Func(name, func(ctx context.Context) error {
		srv := &http.Server{
			Handler: h, ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		}
		failed := make(chan error, 1)
		go func() { failed <- srv.Serve(l) }()
		timeout := shutdownTimeout
		select {
		case err := <-failed:
			return err
		case <-ctx.Done():
		case <-dr.begin:
			timeout = drainTimeout
		}
		grace, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		err := srv.Shutdown(grace)
		dr.end()
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
}
