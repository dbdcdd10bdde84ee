package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// bucket is this VM's part of one workspace's rate.
type bucket struct {
	rate, burst float64
	tokens      float64
	shared      bool // it had a share before; its first one begins full
	at          time.Time
	asked       float64 // requests a second, moving average
	askedAt     time.Time
	promised    time.Time // token that the newest refused caller was told of
	drawAt      time.Time // no draw from the leader before
}

// demandMemory is the time constant of a workspace's demand.
const demandMemory = 2 * time.Second

// leastDemand is the demand below which nothing is reported, in requests a
// second: one request some ten seconds ago.
const leastDemand = 0.005

func (p *Pool) bucketOf(w core.Workspace) *bucket {
	b := p.buckets[w]
	if b == nil {
		b = &bucket{}
		p.buckets[w] = b
	}
	return b
}

func (b *bucket) setShare(s fleet.Share, now time.Time) {
	b.refill(now)
	if !b.shared {
		b.tokens, b.shared = s.Burst, true
	}
	b.rate, b.burst = s.Rate, s.Burst
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), b.burst)
	}
	b.at = now
}

// ask counts a request for the demand.
func (b *bucket) ask(now time.Time) {
	b.asked = b.demand(now) + 1/demandMemory.Seconds()
	b.askedAt = now
}

func (b *bucket) demand(now time.Time) float64 {
	if b.askedAt.IsZero() {
		return 0
	}
	return b.asked * exponentialDecay(now.Sub(b.askedAt), demandMemory)
}

// exponentialDecay is exponential decay, approximated so that it needs no exponential:
// (1 + x/4)^-4.
func exponentialDecay(age, memory time.Duration) float64 {
	x := 1 + float64(age)/float64(memory)/4
	return 1 / (x * x * x * x)
}

// take takes one token.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextToken returns when a refused caller is likely to find a token: after
// those for all that were refused before. Load pattern: a workspace asks for
// many times its rate; told of the next token, all would return for it at once.
func (b *bucket) nextToken(now time.Time) time.Duration {
	if b.rate <= 0 {
		return noShareWait
	}
	each := time.Duration(float64(time.Second) / b.rate)
	if next := now.Add(time.Duration((1 - b.tokens) * float64(each))); b.promised.Before(next) {
		b.promised = next
	} else {
		b.promised = b.promised.Add(each)
	}
	if limit := now.Add(maxPromise); b.promised.After(limit) {
		b.promised = limit
	}
	return max(b.promised.Sub(now), minWait)
}

// maxPromise is the longest time after which a refused caller is told to
// return; by then the demand is another.
const maxPromise = 5 * time.Second

// noShareWait is when a caller may return to a VM without a share of a rate:
// the leader has divided it anew by then.
const noShareWait = time.Second

// minWait is the least time after which a refused caller may return.
const minWait = 5 * time.Millisecond

// budget bounds the repeats to one service, as this VM's part of what all may
// send.
type budget struct {
	requests, repeats float64
	at                time.Time
}

func (p *Pool) budgetOf(s core.Service, now time.Time) *budget {
	b := p.budgets[s]
	if b == nil {
		b = &budget{at: now}
		p.budgets[s] = b
	}
	d := exponentialDecay(now.Sub(b.at), p.bounds.BudgetWindow/2)
	b.requests, b.repeats, b.at = b.requests*d, b.repeats*d, now
	return b
}

// budgetPart of the allowed repeats is used: windows slide, and this VM's part
// is only estimated.
const budgetPart = 0.6

func (p *Pool) mayRepeat(s core.Service, now time.Time) bool {
	b := p.budgetOf(s, now)
	if p.bounds.BudgetRatio == 0 && p.bounds.BudgetExtra == 0 {
		return true
	}
	allowed := b.requests*p.bounds.BudgetRatio + p.bounds.BudgetExtra/float64(p.entries)/2
	return b.repeats+1 <= allowed*budgetPart
}

// coldWindow is a little more than the second in which a cold target's requests
// are counted, since they travel for unequal times.
const coldWindow = 1100 * time.Millisecond

// coldAllowance is how many requests this VM may send to t in one second: what
// the leader allowed, or on probation, of which the leader does not know, its
// part by its place among the entry VMs.
func (p *Pool) coldAllowance(t *target, now time.Time) int {
	if t.coldUntil.After(now) {
		return t.allowance
	}
	return p.allowanceByPlace(t)
}

// allowanceByPlace is this VM's part of a cold target's allowance while no
// leader has divided it: the first VMs have one, as many as the allowance has
// requests.
func (p *Pool) allowanceByPlace(t *target) int {
	class, _ := p.state.Catalog.Service(t.Service)
	total, limited := p.bounds.Cold.ColdTotal(class)
	switch {
	case !limited:
		return fleet.NoLimit
	case p.place < total:
		return max(total/p.entries, 1)
	default:
		return 0
	}
}

// coldRoom reports whether a cold target may get one more request now.
func (p *Pool) coldRoom(t *target, now time.Time) bool {
	if !t.cold(now) {
		return true
	}
	for len(t.coldSends) > 0 && now.Sub(t.coldSends[0]) > coldWindow {
		t.coldSends = t.coldSends[1:]
	}
	allowance := p.coldAllowance(t, now)
	return allowance == fleet.NoLimit || len(t.coldSends) < allowance
}
