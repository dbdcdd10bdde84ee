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
	// drainTimeout bounds a planned stop: long answers may take so long.
	drainTimeout = 5 * time.Minute
	// readyPath tells the platform's balancer on the callers' listener whether
	// to send requests here.
	readyPath = "/-/ready"
)

// drain lets a listener's task end its requests before the others stop.
type drain struct {
	begin chan struct{} // closed by the stop
	ended chan struct{} // gets one element when no request is left
}

func newDrain() drain { return drain{begin: make(chan struct{}), ended: make(chan struct{}, 1)} }

// end tells the stop that no request is left. Nobody waits on the zero drain.
func (d drain) end() {
	select {
	case d.ended <- struct{}{}:
	default:
	}
}

// stopping is the state of a planned stop.
type stopping struct {
	begun   task.Snapshot[bool]
	callers drain
	inner   drain
}

func newStopping() stopping {
	return stopping{begun: task.NewSnapshot(new(bool)), callers: newDrain(), inner: newDrain()}
}

// untilStopped runs the tasks until ctx ends, then stops them in order.
func (d *Daemon) untilStopped(ctx context.Context) error {
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

// stop turns readiness off, keeps the callers' listener open for the settle
// time, ends the requests of callers, then those that other daemons forwarded.
// Leases are renewed until then.
func (d *Daemon) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	begun := true
	d.stopping.begun.Publish(&begun)
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
		_ = level.Warn(d.logger).Log("msg", "requests were still in flight at the end of the stop", "err", err)
	}
}

// withReadiness answers readyPath and hands everything else to next.
func (d *Daemon) withReadiness(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != readyPath {
			next.ServeHTTP(w, r)
			return
		}
		if *d.stopping.begun.Load() {
			http.Error(w, result.Stopping.String(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
}
