package fuzz

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// event is the beginning or the end of a step.
type event struct {
	at   time.Duration
	step Step
	ends bool
}

// executeSteps begins and ends each step at its time. In between it records the
// VMs' configurations and changes the configuration periodically.
func (r *runner) executeSteps(ctx context.Context) error {
	var events []event
	for _, s := range r.plan.Steps {
		events = append(events, event{at: s.At, step: s}, event{at: s.At + s.Length, step: s, ends: true})
	}
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for len(events) > 0 || time.Since(start) < r.plan.Length {
		if len(events) > 0 && time.Since(start) >= events[0].at {
			if err := r.apply(ctx, events[0]); err != nil {
				return err
			}
			events = events[1:]
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.observeConfigurations(ctx)
			r.putExtraWorkspace(ctx)
		}
	}
	return r.healAll()
}

func (r *runner) apply(ctx context.Context, e event) error {
	if e.step.Fault == StopVM || e.step.Fault >= CrashVM && e.step.Fault <= CrashTwice {
		return r.applyVMFault(e)
	}
	if e.step.Fault >= FreezeTarget || e.step.Fault == DrainTarget {
		r.applyTargetFault(e)
		return nil
	}
	return r.applyOperatorFault(ctx, e)
}

func (r *runner) vm(n int) *cluster.VM { return r.cluster.VMs[n%len(r.cluster.VMs)] }

func (r *runner) applyVMFault(e event) error {
	vm := r.vm(e.step.Victim)
	if e.ends {
		vm.Heal()
		closeWindows(r.history.Isolated, vm.Name)
		if err := vm.Start(); err != nil {
			return err
		}
		if e.step.Fault != CrashTwice {
			return nil
		}
		other := r.vm(e.step.Victim + 1)
		other.Crash()
		other.Heal()
		return other.Start()
	}
	switch e.step.Fault {
	case StopVM:
		vm.BeginStop()
	case StallVMConnections:
		vm.Inner.StallOpenConnections()
	case IsolateVM:
		vm.Isolate()
		r.history.Isolated = openWindow(r.history.Isolated, vm.Name)
	case CrashVM, CrashTwice:
		vm.Crash()
		r.history.Isolated = openWindow(r.history.Isolated, vm.Name)
	}
	return nil
}

func (r *runner) applyTargetFault(e event) {
	t := r.cluster.Targets[e.step.Victim%len(r.cluster.Targets)]
	if e.ends {
		r.undoTargetFault(t, e.step)
		return
	}
	switch e.step.Fault {
	case DrainTarget:
		t.Drain()
		r.history.Drained = openWindow(r.history.Drained, string(t.ID()))
	case FreezeTarget:
		t.Freeze()
	case RestartTarget:
		t.Restart()
	case ColdTarget:
		t.BeginColdStart()
	case DisconnectTarget:
		t.Relay.Disconnect()
	case StallTargetConnections:
		t.HangConnections()
	case SpoilAnswers:
		t.InjectAnswerFaults(faketarget.AnswerFault(e.step.Kind), 20, 100*time.Millisecond)
	case LieAboutLoad:
		t.OverrideReportedLoad(0)
		t.SlowDown(8)
	}
}

func (r *runner) undoTargetFault(t *cluster.Target, s Step) {
	switch s.Fault {
	case DrainTarget:
		closeWindows(r.history.Drained, string(t.ID()))
		t.Undrain()
	case FreezeTarget:
		t.Thaw()
	case DisconnectTarget:
		t.Relay.Heal()
	case SpoilAnswers:
		t.InjectAnswerFaults(faketarget.AnswerIntact, 0, 0)
	case LieAboutLoad:
		t.OverrideReportedLoad(-1)
		t.SlowDown(1)
	}
}

// healAll undoes the faults that are still in force on VMs and targets.
func (r *runner) healAll() error {
	for _, vm := range r.cluster.VMs {
		vm.Heal()
		closeWindows(r.history.Isolated, vm.Name)
		if err := vm.Start(); err != nil {
			return err
		}
	}
	for _, t := range r.cluster.Targets {
		t.Thaw()
		t.Relay.Heal()
		t.SlowDown(1)
	}
	return nil
}

// openWindow appends a window that stays open until closeWindows ends it.
func openWindow(windows []Window, name string) []Window {
	return append(windows, Window{Name: name, From: time.Now(), To: time.Now().Add(time.Hour)})
}

// closeWindows ends the open windows of name.
func closeWindows(windows []Window, name string) {
	now := time.Now()
	for i := range windows {
		if windows[i].Name == name && windows[i].To.After(now) {
			windows[i].To = now
		}
	}
}
