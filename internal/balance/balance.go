// Package balance decides on an entry VM which target runs a request, from the
// VM's own requests in flight and from what targets say of their load. It also
// counts what is divided among the entry VMs: rates of workspaces, the
// allowance of cold targets, and the budget of repeats. Decisions: this file,
// admission.go, choose.go, heat.go, limits.go, target.go. Task: task.go,
// task_draw.go.
package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// Bounds are what the deployment allows over all entry VMs.
type Bounds struct {
	Cold         fleet.Cold
	BudgetRatio  float64 // repeats for each request, in any BudgetWindow
	BudgetExtra  float64 // repeats beyond that
	BudgetWindow time.Duration
}

// Pool is what an entry VM knows of all targets. Its owner alone calls it.
type Pool struct {
	home     core.DataCentre // of this VM
	bounds   Bounds
	random   func() float64 // 0 to 1
	state    *config.State
	targets  map[core.TargetID]*target
	services map[core.Service][]*target
	entries  int       // entry VMs that share the limits
	place    int       // of this one
	told     bool      // a leader has told both
	since    time.Time // of the first news
	term     uint64
	buckets  map[core.Workspace]*bucket
	budgets  map[core.Service]*budget
	work     map[string]*work // by route
	splits   map[string]*split
	heat     heat
}

// NewPool returns the pool of a VM in a data centre, without targets.
func NewPool(home core.DataCentre, bounds Bounds, random func() float64) *Pool {
	return &Pool{
		home: home, bounds: bounds, random: random, state: config.NewState(),
		targets: map[core.TargetID]*target{}, services: map[core.Service][]*target{},
		entries: 1, buckets: map[core.Workspace]*bucket{}, budgets: map[core.Service]*budget{},
		work: map[string]*work{}, splits: map[string]*split{}, heat: newHeat(),
	}
}

// ConfigChanged takes the configuration in force. Targets of a data centre that
// is taken back may have become cold meanwhile.
func (p *Pool) ConfigChanged(s *config.State, now time.Time) {
	for _, t := range p.targets {
		if p.state.Evacuated[t.DataCentre] && !s.Evacuated[t.DataCentre] {
			t.treatAsCold(now.Add(probation))
		}
	}
	p.state = s
	if !p.told && s.EntryVMs > 0 {
		p.provide(now)
	}
}

// provide gives this VM an even part of every rate until a leader divides them.
// Load pattern: all VMs were lost at once, callers return before the leader
// knows who is there.
func (p *Pool) provide(now time.Time) {
	p.entries, p.place = p.state.EntryVMs, p.state.EntryVMs
	part := 1 / float64(p.state.EntryVMs)
	for name, t := range p.state.Catalog.Tenants {
		b := p.bucketOf(name)
		if b.rate == 0 && !t.Dropped && t.Rate > 0 {
			b.setShare(fleet.Share{Workspace: name, Rate: part * t.Rate, Burst: max(part*t.Burst, 1)}, now)
		}
	}
}

// Told takes news of the fleet.
func (p *Pool) Told(n fleet.Update, now time.Time) {
	if p.since.IsZero() {
		p.since = now
	}
	if n.Term != p.term {
		p.term = n.Term
		for _, t := range p.targets {
			t.confirmed = false
		}
	}
	if n.EntryVMs > 0 {
		p.entries, p.place, p.told = n.EntryVMs, n.Index, true
	}
	for _, s := range n.Targets {
		p.tell(s, now)
	}
	for _, s := range n.Shares {
		p.bucketOf(s.Workspace).setShare(s, now)
	}
}

func (p *Pool) tell(s fleet.TargetState, now time.Time) {
	t := p.targets[s.ID]
	switch {
	case s.Gone && t == nil:
		return
	case s.Gone && (s.Incarnation >= t.Incarnation || s.Incarnation == 0):
		p.remove(t)
		return
	case t == nil || s.Incarnation > t.Incarnation:
		if t != nil {
			p.remove(t)
		}
		t = newTarget(s.Target, now)
		if now.Sub(p.since) > firstNews {
			t.joinedAt = now
		}
		p.targets[s.ID] = t
		p.services[s.Service] = append(p.services[s.Service], t)
	}
	t.Target, t.granted, t.confirmed = s.Target, s.Granted, true
	wasCold := t.coldUntil.After(now)
	t.coldUntil = now.Add(s.ColdFor)
	switch {
	case s.ColdAllowance != fleet.Undecided:
		t.allowance = s.ColdAllowance
	case !wasCold:
		t.allowance = p.allowanceByPlace(t)
	}
}

func (p *Pool) remove(t *target) {
	delete(p.targets, t.ID)
	list := p.services[t.Service]
	for i, o := range list {
		if o == t {
			p.services[t.Service] = append(append([]*target(nil), list[:i]...), list[i+1:]...)
			return
		}
	}
}

// Report is what this VM tells the leader.
func (p *Pool) Report(self core.VM, now time.Time) fleet.Report {
	r := fleet.Report{VM: self, NoShares: !p.told, KeyLoads: p.heat.report(now)}
	for id, t := range p.targets {
		if t.samples >= minSamples && p.state.Catalog.Services[t.Service].Keyed {
			r.ServiceTimes = append(r.ServiceTimes, fleet.TargetServiceTime{Target: id, Factor: t.speed})
			t.samples = 0
		}
	}
	for name, b := range p.buckets {
		if d := b.demand(now); d >= leastDemand || b.rate > 0 {
			r.Demand = append(r.Demand, fleet.Demand{Workspace: name, Rate: d, GrantedRate: b.rate})
		}
	}
	return r
}
