package cluster

import (
	"context"
	"fmt"

	"github.com/go-kit/log"

	"github.com/comfreynotch/comfreynotch/bench/relay"
	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// VM is one entry VM: a daemon that can be stopped and restarted, behind relays
// whose addresses stay the same.
type VM struct {
	Name       string
	DataCentre string
	Voter      bool
	Inner      *relay.Relay
	Callers    *relay.Relay
	Targets    *relay.Relay
	Operators  *relay.Relay
	Starts     int // number of times that the daemon was started

	cluster  *Cluster
	logger   log.Logger
	settings *settings.Settings
	stop     context.CancelFunc // nil unless the daemon runs
	stopped  chan error         // receives the daemon's result; nil once that was read
}

func vmSettings(vm *VM, bootstrap settings.Bootstrap, seeds []string) *settings.Settings {
	const loopback = "127.0.0.1:0"
	return &settings.Settings{
		VM: vm.Name, DataCentre: vm.DataCentre, Cell: vm.DataCentre, LogLevel: "error",
		Listen:    settings.Listen{Callers: loopback, Targets: loopback, Inner: loopback, Operators: loopback, Metrics: loopback},
		Advertise: vm.Inner.Address(),
		Seeds:     seeds,
		Operators: settings.Operators{Auth: settings.AuthOff},
		Bootstrap: bootstrap,
	}
}

// Running reports whether the daemon has been started and not been asked to stop.
func (vm *VM) Running() bool { return vm.stop != nil }

// Start starts the daemon, after the end of an earlier one, with the same settings
// as before.
func (vm *VM) Start() error {
	if vm.Running() {
		return nil
	}
	if err := vm.awaitEnd(); err != nil {
		return err
	}
	if vm.Callers == nil {
		if err := vm.bind(); err != nil {
			return err
		}
	}
	vm.Starts++
	d, err := daemon.New(vm.settings, vm.logger)
	if err != nil {
		return fmt.Errorf("start %s: %w", vm.Name, err)
	}
	vm.Inner.SetTarget(d.InnerAddress())
	vm.Callers.SetTarget(d.CallersAddress())
	vm.Targets.SetTarget(d.TargetsAddress())
	vm.Operators.SetTarget(d.OperatorsAddress())
	ctx, cancel := context.WithCancel(vm.cluster.ctx)
	vm.stop, vm.stopped = cancel, make(chan error, 1)
	stopped := vm.stopped
	vm.cluster.run(func(context.Context) error {
		err := d.Run(ctx)
		stopped <- err
		return err
	})
	return nil
}

func (vm *VM) bind() error {
	for _, r := range []**relay.Relay{&vm.Callers, &vm.Targets, &vm.Operators} {
		bound, err := vm.cluster.newRelay()
		if err != nil {
			return err
		}
		*r = bound
	}
	return nil
}

// BeginStop begins a planned stop without waiting for its end; Stop and Start wait
// for it.
func (vm *VM) BeginStop() {
	if vm.Running() {
		vm.stop()
		vm.stop = nil
	}
}

// Stop performs a planned stop and returns the daemon's result.
func (vm *VM) Stop() error {
	vm.BeginStop()
	return vm.awaitEnd()
}

func (vm *VM) awaitEnd() error {
	if vm.stopped == nil {
		return nil
	}
	err := <-vm.stopped
	vm.stopped = nil
	return err
}

// Crash simulates the loss of the VM: all connections to the daemon break at once,
// and the daemon is stopped.
func (vm *VM) Crash() {
	for _, r := range vm.relays() {
		r.Disconnect()
	}
	vm.BeginStop()
}

// Isolate simulates a network partition: the relays hold back all traffic of the
// VM but keep its connections open.
func (vm *VM) Isolate() {
	for _, r := range vm.relays() {
		r.Hold()
	}
}

// Heal ends the faults of the VM's relays, such as those of Isolate.
func (vm *VM) Heal() {
	for _, r := range vm.relays() {
		r.Heal()
	}
}

func (vm *VM) relays() []*relay.Relay {
	return []*relay.Relay{vm.Inner, vm.Callers, vm.Targets, vm.Operators}
}
