package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	// drainTimeout bounds a planned stop. It is long because responses to
	// requests in flight may take minutes.
	drainTimeout = 5 * time.Minute
	// readyPath is the readiness probe on the callers' listener, for the
	// platform's load balancer.
	readyPath = "/-/ready"
)

// drain coordinates a planned stop with the task of one listener, so that its
// requests end before other tasks stop. The zero drain never begins.
type drain struct {
	begin chan struct{} // closed to ask the listener's task to drain
	ended chan struct{} // receives one value when the drain is over
}

func newDrain() drain { return drain{begin: make(chan struct{}), ended: make(chan struct{}, 1)} }

// end signals that the drain is over. It never blocks; on the zero drain it does
// nothing.
func (d drain) end() {
	select {
	case d.ended <- struct{}{}:
	default:
	}
}

// stopping is the state of a planned stop. Its drains are in the order in which
// stop carries them out.
type stopping struct {
	started task.Snapshot[bool]
	callers drain
	inner   drain
}

func newStopping() stopping {
	return stopping{started: task.NewSnapshot(new(bool)), callers: newDrain(), inner: newDrain()}
}

// runUntilStopped runs the tasks until ctx ends, then performs a planned stop. The
// tasks run on a context of their own so that they outlive ctx during the stop.
func (d *Daemon) runUntilStopped(ctx context.Context) error {
	running, stopAll := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAll()
	failed := d.root.ServeBackground(running)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	d.stop(running)
	stopAll()
	if err := <-failed; err != nil && !errors.Is(err, context.Canceled) {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}

// stop performs a planned stop: it fails the readiness probe, keeps accepting
// callers for the settle time, drains the callers' listener, then the listener
// for other daemons, whose requests were forwarded. All other tasks still run, so
// leases are renewed meanwhile.
func (d *Daemon) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	started := true
	d.stopping.started.Publish(&started)
	_ = level.Info(d.logger).Log("msg", "planned stop", "settle_ms", d.settings.StopSettleMS)
	settle := time.NewTimer(time.Duration(d.settings.StopSettleMS) * time.Millisecond)
	defer settle.Stop()
	select {
	case <-settle.C:
	case <-ctx.Done():
	}
	for _, dr := range []drain{d.stopping.callers, d.stopping.inner} {
		close(dr.begin)
		select {
		case <-dr.ended:
		case <-ctx.Done():
		}
	}
	if err := d.dispatch.AwaitIdle(ctx); err != nil {
		_ = level.Warn(d.logger).Log("msg", "requests still in flight after the drain timeout", "err", err)
	}
}

// withReadiness serves the readiness probe at readyPath and passes every other
// request to next.
func (d *Daemon) withReadiness(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != readyPath {
			next.ServeHTTP(w, r)
			return
		}
		if *d.stopping.started.Load() {
			http.Error(w, result.Stopping.String(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}
