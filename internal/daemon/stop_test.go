package daemon

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// TestOrderOfAPlannedStop checks that the readiness probe fails at once, that the
// callers' listener stays open for the settle time, and that the listener for
// other daemons is drained only after the callers' requests have ended.
func TestOrderOfAPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := &Daemon{
			settings: &settings.Settings{StopSettleMS: 1000}, logger: log.NewNopLogger(),
			dispatch: dispatch.NewTask("vm"), stopping: newStopping(),
		}
		go func() { _ = d.dispatch.Serve(ctx) }()
		ready := func() int {
			w := httptest.NewRecorder()
			d.withReadiness(http.NotFoundHandler()).ServeHTTP(w, httptest.NewRequest(http.MethodGet, readyPath, nil))
			return w.Code
		}
		is.Equal(ready(), http.StatusOK)
		stopped := make(chan struct{})
		go func() {
			d.stop(ctx)
			close(stopped)
		}()
		synctest.Wait()
		is.Equal(ready(), http.StatusServiceUnavailable)
		is.True(!closed(d.stopping.callers.begin))
		time.Sleep(1001 * time.Millisecond)
		is.True(closed(d.stopping.callers.begin))
		is.True(!closed(d.stopping.inner.begin))
		time.Sleep(time.Minute) // a request in flight for a minute
		is.True(!closed(d.stopping.inner.begin))
		d.stopping.callers.end()
		synctest.Wait()
		is.True(closed(d.stopping.inner.begin))
		is.True(!closed(stopped))
		d.stopping.inner.end()
		<-stopped
	})
}

func closed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
