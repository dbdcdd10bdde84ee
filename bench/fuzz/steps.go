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

// carryOut begins and ends the steps at their times and watches the VMs between.
func (r *runner) carryOut(ctx context.Context) error {
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
			if err := r.do(ctx, events[0]); err != nil {
				return err
			}
			events = events[1:]
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.watch(ctx)
			r.putOne(ctx)
		}
	}
	return r.healAll()
}

func (r *runner) do(ctx context.Context, e event) error {
	if e.step.Fault == StopVM || e.step.Fault >= CrashVM && e.step.Fault <= CrashTwice {
		return r.doVM(e)
	}
	if e.step.Fault >= FreezeTarget || e.step.Fault == LeaveTarget {
		r.doTarget(e)
		return nil
	}
	return r.doOperators(ctx, e)
}

func (r *runner) vm(n int) *cluster.VM { return r.cluster.VMs[n%len(r.cluster.VMs)] }

func (r *runner) doVM(e event) error {
	vm := r.vm(e.step.Victim)
	if e.ends {
		vm.Heal()
		end(r.history.Cut, vm.Name)
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
	case SilenceVM:
		vm.Inner.Silence()
	case IsolateVM:
		vm.Isolate()
		r.history.Cut = begin(r.history.Cut, vm.Name)
	case CrashVM, CrashTwice:
		vm.Crash()
		r.history.Cut = begin(r.history.Cut, vm.Name)
	}
	return nil
}

func (r *runner) doTarget(e event) {
	t := r.cluster.Targets[e.step.Victim%len(r.cluster.Targets)]
	if e.ends {
		r.endTarget(t, e.step)
		return
	}
	switch e.step.Fault {
	case LeaveTarget:
		t.Drain()
		r.history.Left = begin(r.history.Left, string(t.ID()))
	case FreezeTarget:
		t.Freeze()
	case RestartTarget:
		t.Restart()
	case ColdTarget:
		t.BeginColdStart()
	case CutTarget:
		t.Relay.Cut()
	case SilenceTarget:
		t.HangConnections()
	case SpoilAnswers:
		t.InjectAnswerFaults(faketarget.AnswerFault(e.step.Kind), 20, 100*time.Millisecond)
	case LieAboutLoad:
		t.OverrideReportedLoad(0)
		t.SlowDown(8)
	}
}

func (r *runner) endTarget(t *cluster.Target, s Step) {
	switch s.Fault {
	case LeaveTarget:
		end(r.history.Left, string(t.ID()))
		t.Undrain()
	case FreezeTarget:
		t.Thaw()
	case CutTarget:
		t.Relay.Heal()
	case SpoilAnswers:
		t.InjectAnswerFaults(faketarget.AnswerIntact, 0, 0)
	case LieAboutLoad:
		t.OverrideReportedLoad(-1)
		t.SlowDown(1)
	}
}

// healAll ends every fault that is left.
func (r *runner) healAll() error {
	for _, vm := range r.cluster.VMs {
		vm.Heal()
		end(r.history.Cut, vm.Name)
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

// begin opens a window that lasts until end closes it.
func begin(windows []Window, name string) []Window {
	return append(windows, Window{Name: name, From: time.Now(), To: time.Now().Add(time.Hour)})
}

// end closes the open windows of name.
func end(windows []Window, name string) {
	now := time.Now()
	for i := range windows {
		if windows[i].Name == name && windows[i].To.After(now) {
			windows[i].To = now
		}
	}
}
