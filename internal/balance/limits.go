package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// bucket is the token bucket for this VM's share of one workspace's rate. It
// also measures the demand and spaces the retry times of refused callers.
type bucket struct {
	rate, burst float64 // tokens per second, and the most that accumulate
	tokens      float64
	hasShare    bool // a share was assigned before
	refilledAt  time.Time
	// recentDemand and usualDemand are decaying averages of the demand at demandAt
	// in requests per second, with demandTimeConstant and usualDemandTimeConstant.
	recentDemand, usualDemand float64
	demandAt                  time.Time
	retryAt                   time.Time // time for which the newest refused caller was asked to retry
	noDrawBefore              time.Time // earliest time of the next draw from the counter
}

const (
	// demandTimeConstant is short, so that callers that are new here get a share
	// after their first requests.
	demandTimeConstant = 2 * time.Second
	// usualDemandTimeConstant is long, so that callers that send less than one
	// request per second keep their share between two requests.
	usualDemandTimeConstant = 5 * time.Second
)

// minReportedDemand is the smallest demand that is reported, in requests per
// second. A single request falls below it after some ten seconds.
const minReportedDemand = 0.005

func (p *Pool) bucketOf(w core.Workspace) *bucket {
	b := p.buckets[w]
	if b == nil {
		b = &bucket{}
		p.buckets[w] = b
	}
	return b
}

// firstTokens is the number of tokens that come with a VM's first share. It is
// small: before a restart, or at another VM that had the share, the burst may just
// have been spent.
const firstTokens = 1

func (b *bucket) setShare(s fleet.Share, now time.Time) {
	b.refill(now)
	if !b.hasShare {
		b.tokens, b.hasShare = min(s.Burst, firstTokens), true
	}
	b.rate, b.burst = s.Rate, s.Burst
	b.tokens = min(b.tokens, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), b.burst)
	}
	b.refilledAt = now
}

// countDemand adds a request to the demand, whether or not it is admitted.
func (b *bucket) countDemand(now time.Time) {
	b.decayDemand(now)
	b.recentDemand += 1 / demandTimeConstant.Seconds()
	b.usualDemand += 1 / usualDemandTimeConstant.Seconds()
}

func (b *bucket) decayDemand(now time.Time) {
	if !b.demandAt.IsZero() {
		b.recentDemand *= exponentialDecay(now.Sub(b.demandAt), demandTimeConstant)
		b.usualDemand *= exponentialDecay(now.Sub(b.demandAt), usualDemandTimeConstant)
	}
	b.demandAt = now
}

// demand returns the demand in requests per second: the recent or the usual one,
// whichever is higher.
func (b *bucket) demand(now time.Time) float64 {
	b.decayDemand(now)
	return max(b.recentDemand, b.usualDemand)
}

// exponentialDecay approximates exp(-x), with x = age/timeConstant, by
// (1 + x/4)^-4, which is cheaper to compute.
func exponentialDecay(age, timeConstant time.Duration) float64 {
	base := 1 + float64(age)/float64(timeConstant)/4
	return 1 / (base * base * base * base)
}

// take takes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// nextToken returns the time after which a refused caller should retry. Each
// refused caller gets a later token than the one before it: if a workspace asks
// for many times its rate, all its callers would otherwise return at once for
// the next token.
func (b *bucket) nextToken(now time.Time) time.Duration {
	if b.rate <= 0 {
		return noShareRetryAfter
	}
	interval := time.Duration(float64(time.Second) / max(b.rate, minSpacingRate))
	if next := now.Add(time.Duration((1 - b.tokens) * float64(interval))); b.retryAt.Before(next) {
		b.retryAt = next
	} else {
		b.retryAt = b.retryAt.Add(interval)
	}
	if limit := now.Add(maxRetryAfter); b.retryAt.After(limit) {
		b.retryAt = limit
	}
	return max(b.retryAt.Sub(now), minRetryAfter)
}

// minSpacingRate bounds the time between two refused callers' retries: a share can
// be so small that its inverse overflows a time.Duration.
const minSpacingRate = 0.01 // requests per second

// maxRetryAfter is the longest retry time given to a refused caller; the demand
// beyond it can't be predicted.
const maxRetryAfter = 5 * time.Second

// noShareRetryAfter is the retry time given to callers while this VM has no
// share of the rate; by then the leader has divided the rate again.
const noShareRetryAfter = time.Second

// minRetryAfter is the shortest retry time given to a refused caller.
const minRetryAfter = 5 * time.Millisecond

// retryBudget bounds the retries that this VM sends to one service. It is this
// VM's estimated part of a limit that holds for all entry VMs together.
type retryBudget struct {
	requests, retries float64 // decaying counts, as of updatedAt
	updatedAt         time.Time
}

func (p *Pool) budgetOf(s core.Service, now time.Time) *retryBudget {
	b := p.budgets[s]
	if b == nil {
		b = &retryBudget{updatedAt: now}
		p.budgets[s] = b
	}
	decay := exponentialDecay(now.Sub(b.updatedAt), p.bounds.BudgetWindow/2)
	b.requests, b.retries, b.updatedAt = b.requests*decay, b.retries*decay, now
	return b
}

// usableBudgetFraction is the fraction of the allowed retries that is used.
// The rest is a margin, since the window slides and this VM's part of the
// limit is estimated.
const usableBudgetFraction = 0.6

// retryAllowed reports whether the budget allows one more retry. Bounds without a
// ratio and without extra retries set no limit.
func (p *Pool) retryAllowed(s core.Service, now time.Time) bool {
	b := p.budgetOf(s, now)
	if p.bounds.BudgetRatio == 0 && p.bounds.BudgetExtra == 0 {
		return true
	}
	allowed := b.requests*p.bounds.BudgetRatio + p.bounds.BudgetExtra/float64(p.entryVMs)/2
	return b.retries+1 <= allowed*usableBudgetFraction
}

// coldWindow is the window in which requests to a cold target are counted. It is
// longer than the one second of the allowance because network delays differ
// between requests.
const coldWindow = 1100 * time.Millisecond

// coldAllowance returns how many requests per second this VM may send to the
// cold target t. The leader assigns the allowance of targets that reported to be
// cold; for targets on probation, which the leader does not know of, this VM
// derives its part from its index.
func (p *Pool) coldAllowance(t *target, now time.Time) int {
	if t.coldUntil.After(now) {
		return t.allowance
	}
	return p.allowanceByIndex(t)
}

// allowanceByIndex returns this VM's part of a cold target's allowance while no
// leader has divided it. If there are more entry VMs than allowed requests, only
// those with the lowest indexes get one request each.
func (p *Pool) allowanceByIndex(t *target) int {
	class, _ := p.state.Catalog.Service(t.Service)
	total, limited := p.bounds.Cold.ColdTotal(class)
	switch {
	case !limited:
		return fleet.NoLimit
	case p.index < total:
		return max(total/p.entryVMs, 1)
	default:
		return 0
	}
}

// withinColdAllowance reports whether t may get one more request now. Targets
// that are not cold always may.
func (p *Pool) withinColdAllowance(t *target, now time.Time) bool {
	if !t.cold(now) {
		return true
	}
	for len(t.coldSends) > 0 && now.Sub(t.coldSends[0]) > coldWindow {
		t.coldSends = t.coldSends[1:]
	}
	allowance := p.coldAllowance(t, now)
	return allowance == fleet.NoLimit || len(t.coldSends) < allowance
}
