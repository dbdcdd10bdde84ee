package fuzz

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

const (
	lookTimeout   = 300 * time.Millisecond
	changeTimeout = time.Second
	changeLimit   = 30 * time.Second
	manyChanges   = 100
	resends       = 3
	finalPause    = 50 * time.Millisecond
)

func (r *runner) doOperators(ctx context.Context, e event) error {
	limit, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	switch e.step.Fault {
	case DataCentreOut:
		return r.dataCentre(limit, e)
	case WithdrawKey:
		return r.withdraw(limit, e)
	case RacingChanges:
		if !e.ends {
			r.race(limit, e.step.Victim)
		}
	case ResendChange:
		if !e.ends {
			r.resend(limit)
		}
	case ManyChanges:
		if e.ends {
			return r.vm(0).Start()
		}
		for range manyChanges {
			r.putOne(limit)
		}
		r.vm(0).BeginStop()
	}
	return nil
}

// dataCentre takes one of several data centres out, and in again.
func (r *runner) dataCentre(ctx context.Context, e event) error {
	if r.plan.DataCentres == 1 {
		return nil
	}
	name := r.cluster.Deployment.DataCentres[e.step.Victim%r.plan.DataCentres].Name
	r.serial++
	id := fmt.Sprintf("status-%d", r.serial)
	if e.ends {
		end(r.history.Out, name)
		return r.cluster.PutDataCentre(ctx, id, name, "in")
	}
	if err := r.cluster.PutDataCentre(ctx, id, name, "out"); err != nil {
		return err
	}
	r.history.Out = begin(r.history.Out, name)
	return nil
}

// withdraw takes the key from a workspace that goes on calling with it; at the
// end of the step it gets another.
func (r *runner) withdraw(ctx context.Context, e event) error {
	const workspace = "tenant-0"
	if e.ends {
		r.serial++
		r.keys[workspace] = fmt.Sprintf("%s-key-%d", workspace, r.serial)
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
	r.history.Withdrawn = begin(r.history.Withdrawn, secret)
	return nil
}

// race lets two operators change the configuration with one expected version.
func (r *runner) race(ctx context.Context, victim int) {
	version, _, err := look(ctx, r.vm(victim))
	if err != nil {
		return
	}
	won := make(chan bool)
	for i := range 2 {
		r.serial++
		w := fmt.Sprintf("race-%d", r.serial)
		vm := r.vm(victim + i)
		go func() {
			_, err := put(ctx, vm, w, w, version)
			won <- err == nil
		}()
	}
	winners := 0
	for range 2 {
		if <-won {
			winners++
		}
	}
	r.history.Races = append(r.history.Races, winners)
}

// resend sends one change several times, through one VM after the other.
func (r *runner) resend(ctx context.Context) {
	r.serial++
	name := fmt.Sprintf("resent-%d", r.serial)
	versions := map[uint64]bool{}
	for i := range resends {
		if v, err := put(ctx, r.vm(r.serial+i), name, name, 0); err == nil {
			versions[v] = true
			r.history.Accepted = append(r.history.Accepted, Accepted{Workspace: name, Version: v, At: time.Now()})
		}
	}
	r.history.Resends = append(r.history.Resends, len(versions))
}

// putOne makes one change through any VM.
func (r *runner) putOne(ctx context.Context) {
	r.serial++
	name := fmt.Sprintf("extra-%d", r.serial)
	if v, err := put(ctx, r.vm(r.random.IntN(len(r.cluster.VMs))), name, name, 0); err == nil {
		r.history.Accepted = append(r.history.Accepted, Accepted{Workspace: name, Version: v, At: time.Now()})
	}
}

func put(ctx context.Context, vm *cluster.VM, requestID, workspace string, expected uint64) (uint64, error) {
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

// look returns the configuration in force at a VM.
func look(ctx context.Context, vm *cluster.VM) (version uint64, workspaces []string, err error) {
	attempt, cancel := context.WithTimeout(ctx, lookTimeout)
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

// watch looks at each VM that answers.
func (r *runner) watch(ctx context.Context) {
	for _, vm := range r.cluster.VMs {
		if !vm.Running() {
			continue
		}
		if version, workspaces, err := look(ctx, vm); err == nil {
			r.history.Seen = append(r.history.Seen, Seen{VM: vm.Name, Run: vm.Starts, Version: version, Workspaces: workspaces})
		}
	}
}

// awaitFinal takes each VM's configuration once it has the newest accepted
// version, or as it is at the end of ctx.
func (r *runner) awaitFinal(ctx context.Context) error {
	newest := uint64(0)
	for _, a := range r.history.Accepted {
		newest = max(newest, a.Version)
	}
	for _, vm := range r.cluster.VMs {
		seen := Seen{VM: vm.Name, Run: vm.Starts}
		for {
			version, workspaces, err := look(ctx, vm)
			if err == nil {
				seen.Version, seen.Workspaces = version, workspaces
			}
			if seen.Version >= newest && err == nil || ctx.Err() != nil {
				break
			}
			timer := time.NewTimer(finalPause)
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
			}
		}
		r.history.Final = append(r.history.Final, seen)
	}
	return nil
}
