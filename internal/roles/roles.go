// Package roles assembles and supervises the tasks of a control VM and of an
// entry VM. It contains no decisions beyond the registry's membership.
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
	// innerIdleTimeout is how long an idle connection between VMs is kept.
	innerIdleTimeout = 30 * time.Second
	// maxIdlePerHost is the number of idle connections kept to one other VM.
	maxIdlePerHost = 8
	// headerTimeout bounds the time to read a request header on the inner
	// listener.
	headerTimeout = 5 * time.Second
)

// Inner describes the inner network, over which the router's own processes reach
// each other.
type Inner struct {
	Address string          // host:port of this process
	Seeds   func() []string // inner addresses of control VMs in the current settings
}

// innerDialTimeout limits the time to connect to another VM of the system: several
// round trips between regions. A VM without power doesn't refuse connections, and
// the time until the next VM is tried is time without service after a restart.
const innerDialTimeout = 400 * time.Millisecond

// newTransport returns the transport for calls to other VMs.
func newTransport() *http.Transport {
	dialer := witness.NewDialer()
	dialer.Timeout = innerDialTimeout
	return &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout: innerIdleTimeout, DisableCompression: true,
	}
}

// serveHTTP returns a task that serves handler on a listener until ctx ends.
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

// recorder returns a function that logs an event and its fields on one line.
func recorder(logger log.Logger) func(event string, fields ...any) {
	return func(event string, fields ...any) {
		_ = level.Info(logger).Log(append([]any{"msg", event}, fields...)...)
	}
}

// supervise runs the tasks until ctx ends.
func supervise(ctx context.Context, name string, logger log.Logger, tasks []task.Service) error {
	supervisor := task.NewSupervisor(name, func(event string) {
		_ = level.Warn(logger).Log("msg", "task event", "event", event)
	})
	for _, t := range tasks {
		supervisor.Add(t)
	}
	return supervisor.Serve(ctx)
}

// VMAt returns the name of the VM at an inner address.
func VMAt(address string) core.VM { return core.VM(address) }
