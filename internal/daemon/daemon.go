// Package daemon assembles the tasks and listeners of one process and supervises
// them. It makes no routing or placement decisions of its own.
package daemon

import (
	"context"
	"fmt"
	"net"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/grant"
	"github.com/comfreynotch/comfreynotch/internal/hotkeys"
	"github.com/comfreynotch/comfreynotch/internal/leadership"
	"github.com/comfreynotch/comfreynotch/internal/membership"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/rebalance"
	"github.com/comfreynotch/comfreynotch/internal/serve"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/task"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// Daemon is one process of the system. New assembles it and Run starts it.
type Daemon struct {
	settings  *settings.Settings
	logger    log.Logger
	root      *task.Supervisor
	listeners listeners

	registry   *registryAccess
	recorder   *timeline.Recorder
	membership *membership.Task
	cell       *cell.Task
	grant      *grant.Task
	dispatch   *dispatch.Task
	leadership *leadership.Task
	quota      *quota.Task
	hotkeys    *hotkeys.Task
	rebalance  *rebalance.Task
	policy     operators.Policy
	secured    secured
	serving    serving
	stopping   stopping
	metrics    *telemetry.Metrics
	pipeline   *serve.Server
}

// New binds every listener and assembles the tasks. The daemon gets a metrics
// registry of its own.
func New(s *settings.Settings, logger log.Logger) (*Daemon, error) {
	return NewWithMetrics(s, logger, telemetry.NewMetrics())
}

// NewWithMetrics is like New but counts into metrics, so that the caller can add
// its own counts to them.
func NewWithMetrics(s *settings.Settings, logger log.Logger, metrics *telemetry.Metrics) (*Daemon, error) {
	bound, err := bind(s.Listen)
	if err != nil {
		return nil, fmt.Errorf("bind listeners: %w", err)
	}
	policy, err := operatorsPolicy(s.Operators)
	if err != nil {
		bound.close()
		return nil, err
	}
	self := core.VM(s.VM)
	d := &Daemon{settings: s, logger: logger, listeners: bound, policy: policy, metrics: metrics}
	if err := d.secure(s, policy); err != nil {
		bound.close()
		return nil, err
	}
	d.recorder = d.newRecorder(s)
	d.dispatch = dispatch.NewTask(self)
	d.dispatch.OnChange(d.recordTarget)
	d.serving = d.newServing(self)
	d.stopping = newStopping()
	d.hotkeys = hotkeys.NewTask()
	d.cell = d.newCell(s)
	d.grant = d.newGrant(s)
	d.membership = membership.NewTask(targetTTL, func(v *membership.View) {
		_ = d.cell.Post(cell.TargetsChanged{View: v})
	})
	if d.registry, err = d.newRegistryAccess(); err != nil {
		bound.close()
		return nil, fmt.Errorf("registry: %w", err)
	}
	d.leadership = leadership.NewTask(self, d.registry)
	d.quota = d.newQuota()
	d.rebalance = d.newRebalance()
	d.pipeline = d.newPipeline()
	d.metrics.RegisterGauges(d.view)
	d.supervise()
	return d, nil
}

// configChanged passes a new configuration to the tasks that depend on it.
func (d *Daemon) configChanged(s *config.State) {
	d.recorder.ConfigurationChanged(s)
	d.quota.ConfigChanged(s)
	d.rebalance.ConfigChanged(s)
	d.dispatch.ConfigChanged(s)
	d.serving.claims.ConfigChanged(s)
	_ = d.cell.Post(cell.ConfigChanged{State: s})
	d.grant.ConfigChanged(s)
}

// supervise adds every task to the root supervisor without starting them.
func (d *Daemon) supervise() {
	d.root = task.NewSupervisor("comfreynotchd", func(event string) {
		d.metrics.TaskEvent()
		d.recorder.Record(timeline.Event{Kind: timeline.TaskRestarted, Detail: event})
		_ = level.Warn(d.logger).Log("msg", "task event", "event", event)
	})
	d.root.Add(d.recorder)
	d.superviseRequestTasks()
	d.root.Add(d.leadership)
	d.root.Add(d.quota)
	d.root.Add(d.hotkeys)
	d.root.Add(d.rebalance)
	d.root.Add(d.cell)
	d.root.Add(d.grant)
	d.root.Add(d.membership)
	for _, s := range append(d.registry.tasks(), d.secured.tasks...) {
		d.root.Add(s)
	}
	for _, s := range d.servers() {
		d.root.Add(s)
	}
}

// Run serves until ctx ends, then stops the daemon in order.
func (d *Daemon) Run(ctx context.Context) error {
	d.recorder.Record(timeline.Event{Kind: timeline.Started})
	_ = level.Info(d.logger).Log("msg", "serving", "callers", d.CallersAddress(), "operators", d.OperatorsAddress())
	return d.runUntilStopped(ctx)
}

// CallersAddress returns the bound address of the callers' listener.
func (d *Daemon) CallersAddress() string { return d.listeners.callers.Addr().String() }

// TargetsAddress returns the bound address on which targets announce themselves.
func (d *Daemon) TargetsAddress() string { return d.listeners.targets.Addr().String() }

// InnerAddress returns the bound address of the listener for other daemons.
func (d *Daemon) InnerAddress() string { return d.listeners.inner.Addr().String() }

// OperatorsAddress returns the bound address of the operators' API.
func (d *Daemon) OperatorsAddress() string { return d.listeners.operators.Addr().String() }

// listeners holds the bound listeners of one daemon. With TLS, security.go wraps
// those for daemons and operators.
type listeners struct{ callers, targets, inner, operators, metrics net.Listener }

// bind opens all listeners, or none if one fails.
func bind(l settings.Listen) (listeners, error) {
	var b listeners
	for _, listener := range []struct {
		address string
		bound   *net.Listener
	}{
		{l.Callers, &b.callers},
		{l.Targets, &b.targets},
		{l.Inner, &b.inner},
		{l.Operators, &b.operators},
		{l.Metrics, &b.metrics},
	} {
		ln, err := net.Listen("tcp", listener.address)
		if err != nil {
			b.close()
			return listeners{}, err
		}
		*listener.bound = ln
	}
	return b, nil
}

func (b listeners) close() {
	for _, l := range []net.Listener{b.callers, b.targets, b.inner, b.operators, b.metrics} {
		if l != nil {
			l.Close()
		}
	}
}
