// Package roles assembles the tasks and edges of a process that is a control
// VM or an entry VM, and supervises them. It decides nothing.
package roles

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

const (
	// innerIdle is how long an idle connection between VMs is kept.
	innerIdle = 30 * time.Second
	// innerPerHost is the number of idle connections kept to one other VM.
	innerPerHost = 8
	// headerTimeout bounds the time to read a header on the inner listener.
	headerTimeout = 5 * time.Second
)

// Inner is where the system's own processes reach each other.
type Inner struct {
	Address string          // host:port of this process
	Seeds   func() []string // inner addresses of control VMs, as the settings have them now
}

// newTransport returns the transport for calls to other VMs.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext: witness.NewDialer().DialContext, MaxIdleConnsPerHost: innerPerHost,
		IdleConnTimeout: innerIdle, DisableCompression: true,
	}
}

// serveHTTP makes a task that serves handler on a listener until ctx ends.
func serveHTTP(name string, l net.Listener, handler http.Handler) task.Service {
	return task.Func(name, func(ctx context.Context) error {
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stopped := context.AfterFunc(ctx, func() { server.Close() })
		defer stopped()
		err := server.Serve(l)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return fmt.Errorf("serve %s: %w", name, err)
	})
}

// recorder writes one line of the log for each event.
func recorder(logger log.Logger) func(event string, fields ...any) {
	return func(event string, fields ...any) {
		_ = level.Info(logger).Log(append([]any{"msg", event}, fields...)...)
	}
}

// supervise runs the tasks until ctx ends.
func supervise(ctx context.Context, name string, logger log.Logger, tasks []task.Service) error {
	root := task.NewSupervisor(name, func(event string) {
		_ = level.Warn(logger).Log("msg", "task event", "event", event)
	})
	for _, t := range tasks {
		root.Add(t)
	}
	return root.Serve(ctx)
}

// VMAt is the name of the VM at an inner address.
func VMAt(address string) core.VM { return core.VM(address) }
