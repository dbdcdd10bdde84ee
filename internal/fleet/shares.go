package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// allocation is the demand and the granted share of one entry VM for one workspace.
type allocation struct {
	demand  float64 // requests per second
	granted float64 // requests per second
}

// workspaceAllocation sums up the allocations of one workspace over all entry VMs.
type workspaceAllocation struct {
	demand  float64 // sum over entry VMs, requests per second
	granted float64 // sum over entry VMs, requests per second
}

// set changes the allocation of one entry VM and updates the sums.
func (a *workspaceAllocation) set(alloc *allocation, demand, granted float64) {
	a.demand = max(a.demand+demand-alloc.demand, 0)
	a.granted = max(a.granted+granted-alloc.granted, 0)
	alloc.demand, alloc.granted = demand, granted
}

func (l *LeaderState) allocationOf(w core.Workspace) *workspaceAllocation {
	a := l.allocations[w]
	if a == nil {
		a = &workspaceAllocation{}
		l.allocations[w] = a
	}
	return a
}

func (e *entryVM) grantedRate(w core.Workspace) float64 {
	if alloc := e.allocations[w]; alloc != nil {
		return alloc.granted
	}
	return 0
}

// recordDemand stores the demand that an entry VM reports. Workspaces that the
// report leaves out have no demand there.
func (l *LeaderState) recordDemand(e *entryVM, demand []Demand) {
	reported := make(map[core.Workspace]bool, len(demand))
	for _, d := range demand {
		reported[d.Workspace] = true
		alloc := e.allocations[d.Workspace]
		granted := d.GrantedRate // by a previous leader
		if alloc == nil {
			alloc = &allocation{}
			e.allocations[d.Workspace] = alloc
		} else {
			granted = alloc.granted
		}
		l.allocationOf(d.Workspace).set(alloc, d.Rate, granted)
	}
	for name, alloc := range e.allocations {
		if !reported[name] {
			l.allocationOf(name).set(alloc, 0, alloc.granted)
		}
	}
}

const (
	// minEvenFraction and maxEvenFraction limit the fraction of the divided rate that
	// is divided evenly among all entry VMs. An entry VM whose demand is not known
	// yet can so admit some requests while no leader is reachable.
	minEvenFraction = 0.1
	maxEvenFraction = 0.4
	// minEvenBurst is the burst that an even share should have, in requests. An even
	// share is useful only if its burst allows at least one request.
	minEvenBurst = 1.2
)

// share returns an entry VM's share of the divided part of a workspace's rate and
// burst reserve, mostly in proportion to demand. It grants only what other entry
// VMs don't hold: a share grows only after others have released theirs.
func (l *LeaderState) share(e *entryVM, t config.Tenancy, s *config.State, now time.Time) Share {
	a, alloc := l.allocationOf(t.Name), e.allocations[t.Name]
	if alloc == nil {
		alloc = &allocation{}
		e.allocations[t.Name] = alloc
	}
	divided := DividedFraction(t, l.parameters.Quota, s)
	reserve := divided * l.parameters.Quota.burstReserve(t)
	even := max(l.evenFraction(reserve), 1-a.demand/t.Rate) // what nobody uses, anybody may
	fair := even / float64(len(l.entryVMs))
	if a.demand > 0 {
		fair += (1 - even) * alloc.demand / a.demand
	}
	rate := divided * t.Rate
	others := a.granted - alloc.granted
	share := Share{Workspace: t.Name, Rate: min(fair*rate, max(rate-others, 0)), Burst: fair * reserve}
	if l.mayHoldUnreported(s, now) {
		share.Rate = min(share.Rate, alloc.granted)
	}
	if share.Burst < 1 {
		// The bucket could never hold a whole token, so the share is left for draws.
		share.Rate, share.Burst = 0, 0
	}
	a.set(alloc, alloc.demand, share.Rate)
	return share
}

// mayHoldUnreported reports whether an entry VM that has not reported in this term
// may hold shares from the previous leader. No share grows until then. Load
// pattern: an entry VM is cut off while the leader changes, and its callers go on.
func (l *LeaderState) mayHoldUnreported(s *config.State, now time.Time) bool {
	return len(l.entryVMs) < s.EntryVMs && now.Sub(l.termStart) < ShareLease
}

// evenFraction returns the fraction of the divided rate that is divided evenly.
// Load pattern: a few entry VMs can't reach the leader while callers move between
// entry VMs.
func (l *LeaderState) evenFraction(reserve float64) float64 {
	wanted := minEvenBurst * float64(len(l.entryVMs)) / max(reserve, 1)
	if wanted > maxEvenFraction {
		return minEvenFraction
	}
	return max(wanted, minEvenFraction)
}
