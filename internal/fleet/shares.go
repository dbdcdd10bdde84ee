package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// part is what one entry VM asks for and holds of one workspace's rate.
type part struct {
	demand  float64 // requests a second
	granted float64 // requests a second
}

// account is one workspace's rate over all entry VMs.
type account struct {
	demand  float64 // sum of the parts
	granted float64 // sum of the parts
	// rest is what is not divided. It is empty when a tenure begins: shares of the
	// leader before may still be in use.
	rest quota.Bucket
}

// change sets a part and keeps the sums.
func (a *account) change(p *part, demand, granted float64) {
	a.demand = max(a.demand+demand-p.demand, 0)
	a.granted = max(a.granted+granted-p.granted, 0)
	p.demand, p.granted = demand, granted
}

func (b *Book) account(w core.Workspace) *account {
	a := b.accounts[w]
	if a == nil {
		a = &account{}
		b.accounts[w] = a
	}
	return a
}

func (e *entry) granted(w core.Workspace) float64 {
	if p := e.parts[w]; p != nil {
		return p.granted
	}
	return 0
}

// noteDemand takes what an entry VM reports; workspaces that it leaves out have
// no demand there.
func (b *Book) noteDemand(e *entry, demand []Demand) {
	reported := make(map[core.Workspace]bool, len(demand))
	for _, d := range demand {
		reported[d.Workspace] = true
		p := e.parts[d.Workspace]
		granted := d.Held // by a leader before this one
		if p == nil {
			p = &part{}
			e.parts[d.Workspace] = p
		} else {
			granted = p.granted
		}
		b.account(d.Workspace).change(p, d.Rate, granted)
	}
	for name, p := range e.parts {
		if !reported[name] {
			b.account(name).change(p, 0, p.granted)
		}
	}
}

const (
	// leastEven and mostEven bound the part of what is divided that goes to all
	// entry VMs alike, so that one whose demand is not known yet has some while no
	// leader answers.
	leastEven = 0.1
	mostEven  = 0.4
	// evenTokens is the burst that an even part should hold, in requests: it is
	// worth dividing only if it holds a whole one.
	evenTokens = 1.2
	// leastDivided and mostDivided are the parts of a rate and of its reserve that
	// are divided; entry VMs draw the rest when they lack tokens. Load pattern: an
	// entry VM sees less than one request a second of a workspace, so that no
	// share fits what it needs next.
	leastDivided = 0.5
	mostDivided  = 0.9
	// steadyRate is a rate for each entry VM, in requests a second, whose demand
	// there varies little enough for half of what lies between the two.
	steadyRate = 4
	// busyDividedPart is the same when callers ask for more than the rate: they
	// use up every share, and draws would only find nothing.
	busyDividedPart = 0.9
)

// share divides a part of a workspace's rate and of its reserve by demand. It
// gives out only what the other entry VMs do not hold: they give back first.
func (b *Book) share(e *entry, t config.Tenancy) Share {
	a, p := b.account(t.Name), e.parts[t.Name]
	if p == nil {
		p = &part{}
		e.parts[t.Name] = p
	}
	divided := b.dividedPart(t)
	reserve := divided * b.reserve(t)
	even := b.evenPart(reserve)
	fair := even / float64(len(b.entries))
	if a.demand > 0 {
		fair += (1 - even) * p.demand / a.demand
	}
	rate := divided * t.Rate
	if a.demand > t.Rate {
		rate = busyDividedPart * t.Rate
	}
	others := a.granted - p.granted
	share := Share{Workspace: t.Name, Rate: min(fair*rate, max(rate-others, 0)), Burst: fair * reserve}
	if share.Burst < 1 {
		// It could never hold a token: the share is left to be drawn.
		share.Rate, share.Burst = 0, 0
	}
	a.change(p, p.demand, share.Rate)
	return share
}

// evenPart is the part of a rate that all entry VMs get alike. Load pattern: a
// few entry VMs lose the leader while callers move between them.
func (b *Book) evenPart(reserve float64) float64 {
	wanted := evenTokens * float64(len(b.entries)) / max(reserve, 1)
	if wanted > mostEven {
		return leastEven
	}
	return max(wanted, leastEven)
}

// dividedPart is the part of a rate and of its reserve that is divided.
func (b *Book) dividedPart(t config.Tenancy) float64 {
	each := t.Rate / float64(max(len(b.entries), 1))
	return leastDivided + (mostDivided-leastDivided)*each/(each+steadyRate)
}

// Draw hands out tokens that no entry VM has a share of: the rest of a
// workspace's rate, and of its reserve.
func (b *Book) Draw(wants []quota.Want, s *config.State, now time.Time) []quota.Supply {
	supplies := make([]quota.Supply, 0, len(wants))
	for _, w := range wants {
		supplies = append(supplies, b.supply(w, s, now))
	}
	return supplies
}

func (b *Book) supply(w quota.Want, s *config.State, now time.Time) quota.Supply {
	none := quota.Supply{Workspace: w.Workspace, RetryAfter: emptyRetry}
	t, ok := s.Catalog.Tenants[w.Workspace]
	if !ok || t.Dropped || now.Sub(b.from) < reportSettle {
		return none
	}
	a := b.account(t.Name)
	a.rest.SetRate(max(t.Rate-a.granted, 0), (1-b.dividedPart(t))*b.reserve(t), now)
	none.Tokens = a.rest.Take(w.Tokens, now)
	if wait, never := a.rest.NextToken(); !never {
		none.RetryAfter = max(wait, emptyRetry)
	}
	return none
}

// emptyRetry is the least time until an entry VM that got too little asks
// again: callers beyond the rate must not make each VM ask for each request.
const emptyRetry = 250 * time.Millisecond

// reserve is the number of requests of a workspace that all entry VMs together
// may admit at once: as many as keep what is admitted in any window within the
// quota's bound. An entry VM sees a small part of the callers, so that its
// demand varies much more than the whole.
func (b *Book) reserve(t config.Tenancy) float64 {
	q := b.terms.Quota
	inWindow := t.Rate*q.Window.Seconds() + t.Burst
	return max(reservePart*(inWindow*(1+q.Overage)+q.Slack-t.Rate*q.Window.Seconds()), t.Burst/2)
}

// reservePart of the bound is used, since requests travel for unequal times.
const reservePart = 0.85
