package fuzz

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/go-kit/log"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	openService    = "certdesk"
	keyedService   = "archivio"
	keyedShards    = 16
	openTargets    = 3
	keyedTargets   = 4
	slots          = 2
	serviceTime    = 8 * time.Millisecond
	ampleRate      = 10_000 // requests a second
	deadline       = 4 * time.Second
	watchPeriod    = 250 * time.Millisecond
	servingTimeout = 30 * time.Second
	callsBuffer    = 1 << 16
)

// runner executes one plan.
type runner struct {
	plan         Plan
	cluster      *cluster.Cluster
	history      *History
	secrets      map[string]task.Snapshot[string]
	keys         map[string]string // id of each workspace's newest key
	changeNumber int               // number of configuration changes and keys so far, makes ids unique
	random       *rand.Rand
}

func deployment(p Plan) cluster.Deployment {
	target := faketarget.Options{
		Slots: slots, ServiceTime: serviceTime, ChecksFence: p.ChecksFence, ShedsCold: p.ShedsCold,
		WarmUp: 500 * time.Millisecond, StartsWarm: true,
	}
	d := cluster.Deployment{
		Name: "fuzz",
		Services: []cluster.Service{
			{Name: openService, Targets: openTargets * p.DataCentres, Target: target, Deadline: deadline},
			{Name: keyedService, Keyed: true, Shards: keyedShards, Targets: keyedTargets * p.DataCentres, Target: target, Deadline: deadline},
		},
		Workspaces: []cluster.Workspace{
			{Name: "tenant-0", Rate: ampleRate, Burst: ampleRate},
			{Name: "tenant-1", Rate: ampleRate, Burst: ampleRate},
			{Name: limitedWorkspace, Rate: p.LimitedRate, Burst: p.LimitedBurst},
		},
	}
	for i := range p.DataCentres {
		d.DataCentres = append(d.DataCentres, cluster.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), VMs: p.VMsEach})
	}
	return d
}

// Run executes p on loopback and returns the history of the run. An error means
// that the run could not be executed, or that the system did not serve requests
// again after all faults were undone.
func Run(ctx context.Context, p Plan, logger log.Logger) (h *History, err error) {
	folder, err := os.MkdirTemp("", "comfreynotch-fuzz-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	c, err := cluster.Start(ctx, deployment(p), cluster.Options{Folder: folder, Logger: logger})
	if err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	defer func() { err = errors.Join(err, c.Stop()) }()
	r := newRunner(p, c)
	limit, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	if err := c.WaitServing(limit); err != nil {
		return nil, fmt.Errorf("first start: %w", err)
	}
	if err := r.runUnderLoad(ctx); err != nil {
		return nil, err
	}
	return r.history, r.collect(ctx)
}

func newRunner(p Plan, c *cluster.Cluster) *runner {
	r := &runner{
		plan: p, cluster: c,
		history: &History{Plan: p, Counts: map[core.TargetID]faketarget.Counts{}, Homes: map[core.TargetID]string{}},
		secrets: map[string]task.Snapshot[string]{},
		keys:    map[string]string{},
		random:  rand.New(rand.NewPCG(uint64(p.Seed), 1)),
	}
	for name, secret := range c.Secrets {
		r.secrets[name] = task.NewSnapshot(&secret)
		r.keys[name] = name + "-key"
	}
	return r
}

// runUnderLoad executes the steps while callers send requests, undoes all faults
// and waits until every call has ended.
func (r *runner) runUnderLoad(ctx context.Context) error {
	calling, stop := context.WithCancel(ctx)
	defer stop()
	calls := make(chan Call, callsBuffer)
	recorded := make(chan int)
	for i, w := range r.cluster.Deployment.Workspaces {
		c := r.newCaller(w.Name, uint64(i), calls)
		go func() { recorded <- c.run(calling) }()
	}
	err := r.executeSteps(ctx)
	stop()
	total := 0
	for range r.cluster.Deployment.Workspaces {
		total += <-recorded
	}
	for range total {
		r.history.Calls = append(r.history.Calls, <-calls)
	}
	return err
}

func (r *runner) newCaller(workspace string, index uint64, calls chan<- Call) *caller {
	c := &caller{
		workspace: workspace, perSecond: r.plan.PerSecond, secret: r.secrets[workspace],
		random: rand.New(rand.NewPCG(uint64(r.plan.Seed), 100+index)), client: newClient(), calls: calls,
	}
	for _, vm := range r.cluster.VMs {
		c.entryVMs = append(c.entryVMs, entryVM{vm.Name, vm.Callers.Address()})
	}
	return c
}

// collect waits until the system serves requests, then records the history of
// the fake targets and the final configuration of each VM.
func (r *runner) collect(ctx context.Context) error {
	limit, cancel := context.WithTimeout(ctx, servingTimeout)
	defer cancel()
	if err := r.cluster.WaitServing(limit); err != nil {
		return fmt.Errorf("after the last fault was healed: %w", err)
	}
	for _, t := range r.cluster.Targets {
		runs, err := t.Runs(limit)
		if err != nil {
			return err
		}
		tenures, err := t.GrantPeriods(limit)
		if err != nil {
			return err
		}
		counts, err := t.Counts(limit)
		if err != nil {
			return err
		}
		r.history.Runs = append(r.history.Runs, runs...)
		r.history.Tenures = append(r.history.Tenures, tenures...)
		r.history.Counts[t.ID()] = counts
		r.history.Homes[t.ID()] = t.DataCentre
	}
	return r.awaitFinalConfigurations(limit)
}
