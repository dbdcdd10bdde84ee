package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
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
	active  int     // number of entry VMs with demand
	// undivided holds the tokens that are not divided into shares. It is empty when
	// a term begins, since shares from the previous leader may still be in use.
	undivided quota.Bucket
}

// set changes the allocation of one entry VM and updates the sums.
func (a *workspaceAllocation) set(alloc *allocation, demand, granted float64) {
	switch {
	case alloc.demand == 0 && demand > 0:
		a.active++
	case alloc.demand > 0 && demand == 0:
		a.active--
	}
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
	// minDividedFraction and maxDividedFraction limit the fraction of a rate and of
	// its burst reserve that is divided into shares. Entry VMs draw from the rest
	// when they run out of tokens.
	minDividedFraction = 0.2
	maxDividedFraction = 0.8
	// dividedPerToken is the divided fraction for each token that the reserve holds
	// for each entry VM with demand.
	dividedPerToken = 0.2
	// overDemandDividedFraction is the divided fraction of a rate when demand exceeds
	// the rate. All shares are then used up, and draws would find no tokens.
	overDemandDividedFraction = 0.9
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
	divided := l.dividedFraction(t)
	reserve := divided * l.burstReserve(t)
	even := l.evenFraction(reserve)
	fair := even / float64(len(l.entryVMs))
	if a.demand > 0 {
		fair += (1 - even) * alloc.demand / a.demand
	}
	rate := divided * t.Rate
	if a.demand > t.Rate {
		rate = overDemandDividedFraction * t.Rate
	}
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

// dividedFraction returns the fraction of a workspace's rate and burst reserve that
// is divided into shares. Load pattern: small workspaces on many entry VMs, whose
// shares hold few tokens, so that some VMs run out while others have tokens left.
func (l *LeaderState) dividedFraction(t config.Tenancy) float64 {
	active := l.allocationOf(t.Name).active
	if active == 0 {
		return minDividedFraction
	}
	return min(max(dividedPerToken*l.burstReserve(t)/float64(active), minDividedFraction), maxDividedFraction)
}

// Draw returns tokens from the part of each workspace's rate and burst reserve that
// is not divided into shares.
func (l *LeaderState) Draw(wants []quota.Want, s *config.State, now time.Time) []quota.Supply {
	supplies := make([]quota.Supply, 0, len(wants))
	for _, w := range wants {
		supplies = append(supplies, l.supply(w, s, now))
	}
	return supplies
}

func (l *LeaderState) supply(w quota.Want, s *config.State, now time.Time) quota.Supply {
	supply := quota.Supply{Workspace: w.Workspace, RetryAfter: minDrawRetry}
	t, ok := s.Catalog.Tenants[w.Workspace]
	if !ok || t.Dropped {
		return supply
	}
	a := l.allocationOf(t.Name)
	undivided := 1 - l.dividedFraction(t)
	rate := max(t.Rate-a.granted, 0)
	if now.Sub(l.termStart) < reportCollectionTime || l.mayHoldUnreported(s, now) {
		// The previous leader never divided more than the rest.
		rate = min(rate, undivided*t.Rate)
	}
	if a.undivided == (quota.Bucket{}) {
		a.undivided = quota.NewBucket(rate, undivided*l.burstReserve(t), l.termStart)
	}
	a.undivided.SetRate(rate, undivided*l.burstReserve(t), now)
	supply.Tokens = a.undivided.Take(w.Tokens, now)
	if wait, never := a.undivided.NextToken(); !never {
		supply.RetryAfter = min(max(wait, minDrawRetry), maxDrawRetry)
	}
	return supply
}

// minDrawRetry is the minimum time before an entry VM whose draw wasn't fully
// satisfied draws again. Without it, callers above the rate would cause a draw for
// each of their requests.
const minDrawRetry = 250 * time.Millisecond

// maxDrawRetry bounds that time: entry VMs return their shares at any moment.
const maxDrawRetry = time.Second

// burstReserve returns the number of requests of a workspace that all entry VMs
// together may admit at once. It is as high as the limit of Quota on any window
// permits: an entry VM receives a small part of the requests, so its demand varies
// much more than the total.
func (l *LeaderState) burstReserve(t config.Tenancy) float64 {
	q := l.parameters.Quota
	inWindow := t.Rate*q.Window.Seconds() + t.Burst
	return max(reserveFraction*(inWindow*(1+q.Overage)+q.Slack-t.Rate*q.Window.Seconds()), t.Burst/2)
}

// reserveFraction is the part of the limit that is used. The rest allows for
// requests that take different times to arrive.
const reserveFraction = 0.85
