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
	targetTTL         = 3 * time.Second // without a heartbeat for this long, a target counts as lost
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

// httpTask returns a task that serves h on l until its context ends or stopDrain begins.
// It then accepts no new connections and waits for the requests in flight, up to
// drainTimeout if stopDrain began and up to shutdownTimeout otherwise.
func httpTask(name string, l net.Listener, h http.Handler, stopDrain drain) task.Service {
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
		case <-stopDrain.begin:
			timeout = drainTimeout
		}
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		err := srv.Shutdown(shutdownCtx)
		stopDrain.end()
		if err != nil && !errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	})
}
