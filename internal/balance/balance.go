// Package balance chooses on an entry VM the target of each request, from the
// VM's own requests in flight and the load that targets report. It also enforces
// this VM's part of the limits that all entry VMs share: the request rates of
// workspaces, the allowances of cold targets and the retry budgets.
//
// The decisions are in this file, admission.go, choose.go, departure.go, keyload.go,
// limits.go, outcome.go, subset.go and target.go; the task is in task.go and
// task_draw.go.
package balance

import (
	"maps"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// Bounds are the limits that hold for all entry VMs together.
type Bounds struct {
	Cold         fleet.Cold
	BudgetRatio  float64 // retries per request in any BudgetWindow
	BudgetExtra  float64 // retries allowed in addition, in any BudgetWindow
	BudgetWindow time.Duration
	Quota        fleet.Quota // of the workspaces' rates
}

// Pool is an entry VM's view of all targets and limits. It is not safe for
// concurrent use.
type Pool struct {
	home            core.DataCentre // data centre of this VM
	bounds          Bounds
	random          func() float64 // returns a number in [0, 1)
	state           *config.State
	targets         map[core.TargetID]*target
	services        map[core.Service][]*target
	subsets         map[core.Service][]*target // see subset; dropped when the targets change
	entryVMs        int                        // number of entry VMs that share the limits
	index           int                        // index of this VM among them
	limitsReceived  bool                       // a leader has reported entryVMs and index
	firstUpdateAt   time.Time                  // time of the first update from a leader
	term            uint64                     // term of the leader that sent the newest update
	buckets         map[core.Workspace]*bucket
	budgets         map[core.Service]*retryBudget
	processingTimes map[string]*processingTime // by route name
	splits          map[string]*split          // by route name
	sharesUntil     time.Time                  // end of the lease on this VM's shares
	keyLoads        keyLoads
	// leaving holds the targets that said in an answer that they leave. It outlasts
	// the targets themselves: a leader that doesn't know yet may list one again.
	leaving map[core.TargetID]departure
}

// NewPool returns a pool without targets for a VM in the data centre home.
func NewPool(home core.DataCentre, bounds Bounds, random func() float64) *Pool {
	return &Pool{
		home: home, bounds: bounds, random: random, state: config.NewState(),
		targets: map[core.TargetID]*target{}, services: map[core.Service][]*target{},
		subsets:  map[core.Service][]*target{},
		entryVMs: 1, buckets: map[core.Workspace]*bucket{}, budgets: map[core.Service]*retryBudget{},
		processingTimes: map[string]*processingTime{}, splits: map[string]*split{}, keyLoads: newKeyLoads(),
		leaving: map[core.TargetID]departure{},
	}
}

// ConfigChanged applies the configuration in force. Targets of a data centre
// that returns to service may have become cold in the meantime and are treated
// as cold.
func (p *Pool) ConfigChanged(s *config.State, now time.Time) {
	for _, t := range p.targets {
		if p.state.Evacuated[t.DataCentre] && !s.Evacuated[t.DataCentre] {
			t.treatAsCold(now.Add(probation))
		}
	}
	drains := !maps.Equal(p.state.Evacuated, s.Evacuated) || !maps.Equal(p.state.Retired, s.Retired)
	p.state = s
	if drains {
		for _, t := range p.targets {
			p.noteDraining(t, now)
		}
	}
	if !p.limitsReceived && s.EntryVMs > 0 {
		p.assumeEvenShares(now)
	}
}

// assumeEvenShares gives this VM an equal share of every rate until a leader
// assigns the shares. Without it, after a restart of all VMs, callers would be
// refused until the leader knows which entry VMs are running. Since the index
// of this VM is unknown until then, it is set past the last one.
func (p *Pool) assumeEvenShares(now time.Time) {
	p.entryVMs, p.index = p.state.EntryVMs, p.state.EntryVMs
	p.sharesUntil = now.Add(fleet.ShareLease)
	fraction := 1 / float64(p.state.EntryVMs)
	for name, tenancy := range p.state.Catalog.Tenants {
		b := p.bucketOf(name)
		if b.rate == 0 && !tenancy.Dropped && tenancy.Rate > 0 {
			part := fraction * fleet.DividedFraction(tenancy, p.bounds.Quota, p.state)
			b.setShare(fleet.Share{Workspace: name, Rate: part * tenancy.Rate, Burst: part * max(tenancy.Burst, float64(p.state.EntryVMs))}, now)
		}
	}
}

// ApplyUpdate applies an update from the leader of the control VMs.
func (p *Pool) ApplyUpdate(n fleet.Update, now time.Time) {
	if p.firstUpdateAt.IsZero() {
		p.firstUpdateAt = now
	}
	if n.Term != p.term {
		p.term = n.Term
		for _, t := range p.targets {
			t.confirmed = false
		}
	}
	if n.EntryVMs > 0 {
		if n.EntryVMs != p.entryVMs {
			clear(p.subsets)
		}
		p.entryVMs, p.index, p.limitsReceived = n.EntryVMs, n.Index, true
	}
	for _, s := range n.Targets {
		p.applyTarget(s, now)
	}
	p.sharesUntil = fleet.SharesUntil(n, now)
	for _, s := range n.Shares {
		p.bucketOf(s.Workspace).setShare(s, now)
	}
}

// applyTarget adds, updates or removes one target. An update about an
// incarnation older than the known one changes nothing.
func (p *Pool) applyTarget(s fleet.TargetState, now time.Time) {
	t := p.targets[s.ID]
	switch {
	case s.Gone && t == nil, t != nil && s.Incarnation < t.Incarnation && s.Incarnation != 0:
		return
	case s.Gone:
		p.applyGone(t, s, now)
		return
	case t == nil || s.Incarnation > t.Incarnation:
		if t != nil {
			p.remove(t)
		}
		t = p.add(s, now)
	}
	s.IdleTimeout = t.IdleTimeout
	t.Target, t.granted, t.confirmed, t.departed, t.announced = s.Target, s.Granted, true, false, s.Draining
	if d, ok := p.leaving[t.ID]; ok && d.incarnation == t.Incarnation {
		t.Draining = true
	}
	p.noteDraining(t, now)
	wasCold := t.coldUntil.After(now)
	t.coldUntil = now.Add(s.ColdFor)
	switch {
	case s.ColdAllowance != fleet.Undecided:
		t.allowance = s.ColdAllowance
	case !wasCold:
		t.allowance = p.allowanceByIndex(t)
	}
}

func (p *Pool) add(s fleet.TargetState, now time.Time) *target {
	t := newTarget(s.Target, p.random(), now)
	delete(p.subsets, s.Service)
	if now.Sub(p.firstUpdateAt) > startupPeriod {
		t.joinedAt = now
	}
	p.targets[s.ID] = t
	p.services[s.Service] = append(p.services[s.Service], t)
	return t
}

func (p *Pool) remove(t *target) {
	delete(p.targets, t.ID)
	delete(p.subsets, t.Service)
	list := p.services[t.Service]
	for i, other := range list {
		if other == t {
			p.services[t.Service] = append(append([]*target(nil), list[:i]...), list[i+1:]...)
			return
		}
	}
}

// Report returns this VM's report to the leader. It contains the speeds of
// targets of keyed services that have minSamples new observations, and the
// demand of workspaces that send requests here or hold a share here.
func (p *Pool) Report(self core.VM, now time.Time) fleet.Report {
	p.forgetDeparted(now)
	report := fleet.Report{VM: self, NoShares: !p.limitsReceived, KeyLoads: p.keyLoads.report(now)}
	for id, d := range p.leaving {
		report.Leaving = append(report.Leaving, fleet.LeavingTarget{Target: id, Incarnation: d.incarnation})
	}
	for id, t := range p.targets {
		if t.samples >= minSamples && p.state.Catalog.Services[t.Service].Keyed {
			report.ServiceTimes = append(report.ServiceTimes, fleet.TargetServiceTime{Target: id, Factor: t.speed})
			t.samples = 0
		}
	}
	for name, b := range p.buckets {
		if b.rate == 0 && fleet.DividedFraction(p.state.Catalog.Tenants[name], p.bounds.Quota, p.state) == 0 {
			continue // the leader divides nothing of it
		}
		if demand := b.demand(now); demand >= minReportedDemand || b.rate > 0 {
			report.Demand = append(report.Demand, fleet.Demand{Workspace: name, Rate: demand, GrantedRate: b.rate})
		}
	}
	return report
}
