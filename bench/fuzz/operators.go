package fuzz

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

const (
	readTimeout     = 300 * time.Millisecond
	changeTimeout   = time.Second
	changeLimit     = 30 * time.Second
	manyChanges     = 100
	resendCount     = 3
	finalPollPeriod = 50 * time.Millisecond
)

func (r *runner) applyOperatorFault(ctx context.Context, e event) error {
	limit, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	switch e.step.Fault {
	case DataCentreOut:
		return r.changeDataCentreStatus(limit, e)
	case WithdrawKey:
		return r.withdrawKey(limit, e)
	case RacingChanges:
		if !e.ends {
			r.raceChanges(limit, e.step.Victim)
		}
	case ResendChange:
		if !e.ends {
			r.resendChange(limit)
		}
	case ManyChanges:
		if e.ends {
			return r.vm(0).Start()
		}
		for range manyChanges {
			r.putExtraWorkspace(limit)
		}
		r.vm(0).BeginStop()
	}
	return nil
}

// changeDataCentreStatus sets the status of a data centre to out, and back to
// in at the end of the step. It does nothing if there is only one data centre.
func (r *runner) changeDataCentreStatus(ctx context.Context, e event) error {
	if r.plan.DataCentres == 1 {
		return nil
	}
	name := r.cluster.Deployment.DataCentres[e.step.Victim%r.plan.DataCentres].Name
	r.changeNumber++
	id := fmt.Sprintf("status-%d", r.changeNumber)
	if e.ends {
		closeWindows(r.history.Out, name)
		return r.cluster.PutDataCentre(ctx, id, name, "in")
	}
	if err := r.cluster.PutDataCentre(ctx, id, name, "out"); err != nil {
		return err
	}
	r.history.Out = openWindow(r.history.Out, name)
	return nil
}

// withdrawKey withdraws the caller key of a workspace whose caller keeps using
// it. At the end of the step the caller gets a new key.
func (r *runner) withdrawKey(ctx context.Context, e event) error {
	const workspace = "tenant-0"
	if e.ends {
		r.changeNumber++
		r.keys[workspace] = fmt.Sprintf("%s-key-%d", workspace, r.changeNumber)
		if err := r.cluster.CreateKey(ctx, workspace, r.keys[workspace]); err != nil {
			return err
		}
		secret := r.cluster.Secrets[workspace]
		r.secrets[workspace].Publish(&secret)
		return nil
	}
	secret := *r.secrets[workspace].Load()
	if err := r.cluster.WithdrawKey(ctx, r.keys[workspace]); err != nil {
		return err
	}
	r.history.Withdrawn = openWindow(r.history.Withdrawn, secret)
	return nil
}

// raceChanges sends two concurrent changes with the same expected version. At
// most one of them may be accepted.
func (r *runner) raceChanges(ctx context.Context, victim int) {
	version, _, err := readConfiguration(ctx, r.vm(victim))
	if err != nil {
		return
	}
	won := make(chan bool)
	for i := range 2 {
		r.changeNumber++
		w := fmt.Sprintf("race-%d", r.changeNumber)
		vm := r.vm(victim + i)
		go func() {
			_, err := putWorkspace(ctx, vm, w, w, version)
			won <- err == nil
		}()
	}
	winners := 0
	for range 2 {
		if <-won {
			winners++
		}
	}
	r.history.RaceWinners = append(r.history.RaceWinners, winners)
}

// resendChange sends one change several times under the same request id, each
// time through another VM. All answers must carry the same version.
func (r *runner) resendChange(ctx context.Context) {
	r.changeNumber++
	name := fmt.Sprintf("resent-%d", r.changeNumber)
	versions := map[uint64]bool{}
	for i := range resendCount {
		if v, err := putWorkspace(ctx, r.vm(r.changeNumber+i), name, name, 0); err == nil {
			versions[v] = true
			r.history.Accepted = append(r.history.Accepted, Accepted{Workspace: name, Version: v, At: time.Now()})
		}
	}
	r.history.ResendVersions = append(r.history.ResendVersions, len(versions))
}

// putExtraWorkspace creates one workspace through a random VM.
func (r *runner) putExtraWorkspace(ctx context.Context) {
	r.changeNumber++
	name := fmt.Sprintf("extra-%d", r.changeNumber)
	if v, err := putWorkspace(ctx, r.vm(r.random.IntN(len(r.cluster.VMs))), name, name, 0); err == nil {
		r.history.Accepted = append(r.history.Accepted, Accepted{Workspace: name, Version: v, At: time.Now()})
	}
}

func putWorkspace(ctx context.Context, vm *cluster.VM, requestID, workspace string, expected uint64) (uint64, error) {
	attempt, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	a, err := vm.OperatorsClient().PutWorkspace(attempt, &operatorspb.PutWorkspaceRequest{
		Change:    &operatorspb.Change{RequestId: requestID, ExpectedVersion: expected},
		Workspace: &operatorspb.Workspace{Name: workspace, Rate: 1, Burst: 1},
	})
	if err != nil {
		return 0, err
	}
	return a.GetVersion(), nil
}

// readConfiguration returns the version of the configuration in force at a VM
// and the names of its workspaces.
func readConfiguration(ctx context.Context, vm *cluster.VM) (version uint64, workspaces []string, err error) {
	attempt, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c, err := vm.OperatorsClient().GetConfiguration(attempt, &operatorspb.GetConfigurationRequest{})
	if err != nil {
		return 0, nil, err
	}
	for _, w := range c.GetWorkspaces() {
		workspaces = append(workspaces, w.GetName())
	}
	return c.GetVersion(), workspaces, nil
}

// observeConfigurations records the configuration of each VM that answers.
func (r *runner) observeConfigurations(ctx context.Context) {
	for _, vm := range r.cluster.VMs {
		if !vm.Running() {
			continue
		}
		if version, workspaces, err := readConfiguration(ctx, vm); err == nil {
			r.history.Observed = append(r.history.Observed, ObservedConfiguration{VM: vm.Name, Run: vm.Starts, Version: version, Workspaces: workspaces})
		}
	}
}

// awaitFinalConfigurations records each VM's configuration once it has reached
// the newest accepted version, or the last one read when ctx ends.
func (r *runner) awaitFinalConfigurations(ctx context.Context) error {
	newest := uint64(0)
	for _, a := range r.history.Accepted {
		newest = max(newest, a.Version)
	}
	for _, vm := range r.cluster.VMs {
		observed := ObservedConfiguration{VM: vm.Name, Run: vm.Starts}
		for {
			version, workspaces, err := readConfiguration(ctx, vm)
			if err == nil {
				observed.Version, observed.Workspaces = version, workspaces
			}
			if observed.Version >= newest && err == nil || ctx.Err() != nil {
				break
			}
			timer := time.NewTimer(finalPollPeriod)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
			}
		}
		r.history.Final = append(r.history.Final, observed)
	}
	return nil
}
