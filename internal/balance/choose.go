package balance

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Request holds the properties of a request that determine its target.
type Request struct {
	Route     config.Route
	Workspace core.Workspace // empty on a public route
	Service   core.Service   // chosen from the route's splits by Split; empty before the first attempt
	HasKey    bool
	Key       uint32
	Priority  int
	Deadline  time.Time
	Tried     []core.TargetID // targets of earlier attempts
}

// Choice is the target chosen for a request.
type Choice struct {
	Target     core.Target
	Expected   time.Duration // expected time until the answer
	Load       float64       // expected number of requests at the target
	LoadAge    time.Duration // time since the target reported its load
	Ticket     uint64        // identifies the attempt in Outcome
	HedgeDelay time.Duration // delay after which a retryable request may also be sent to another target
}

// processingTime estimates how long targets take for requests of one route.
type processingTime struct {
	mean time.Duration // on a target of average speed, without time spent in a queue
}

// initialProcessingFraction is the assumed processing time of a route before
// any request was measured, as a fraction of the route's latency objective.
const initialProcessingFraction = 0.3

func (p *Pool) processingTimeOf(r config.Route) *processingTime {
	w := p.processingTimes[r.Name]
	if w == nil {
		guess := time.Duration(float64(r.Objective) * initialProcessingFraction)
		if guess <= 0 {
			guess = 100 * time.Millisecond
		}
		w = &processingTime{mean: guess}
		p.processingTimes[r.Name] = w
	}
	return w
}

// withJitter adds random jitter of up to 100 % to a retry time, so that
// callers that are refused together do not return together.
func (p *Pool) withJitter(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + p.random()))
}

// chargeRetry charges a retry to the budget of a service.
func (p *Pool) chargeRetry(s core.Service, now time.Time) { p.budgetOf(s, now).retries++ }

// retryBudgetSpent returns the error for a request whose retry the budget doesn't
// allow.
func (p *Pool) retryBudgetSpent(s core.Service) *result.Error {
	e := result.New(result.RetryBudgetSpent, "the retry budget of service %s is used up", s)
	e.RetryAfter = p.withJitter(200 * time.Millisecond)
	return e
}

// Choose returns the target for r and counts the request as in flight there.
// Every error states that the request has not run. With an error, wait reports
// that the owner of the request's key is not ready, and that Choose may
// succeed after the next update or configuration change.
func (p *Pool) Choose(r Request, ticket uint64, now time.Time) (choice Choice, wait bool, err *result.Error) {
	class, _ := p.state.Catalog.Service(r.Service)
	var best *target
	if class.Keyed {
		best, wait, err = p.owner(r, now)
	} else {
		best, err = p.cheapestTarget(r, now)
	}
	if best == nil {
		return Choice{}, wait, err
	}
	expected := p.expected(best, r, now)
	if left := r.Deadline.Sub(now); expected > left {
		e := result.New(result.DeadlineInQueue, "target %s is expected to need %s, but the deadline is in %s", best.ID, expected, left)
		e.RetryAfter = p.withJitter(expected - left + minRetryAfter)
		return Choice{}, false, e
	}
	best.inFlight++
	best.tried = true
	best.pending[ticket] = now
	if best.cold(now) {
		best.coldSends = append(best.coldSends, now)
	}
	return Choice{
		Target: best.Target, Expected: expected, Load: best.expectedLoad(now, float64(p.entryVMs)), LoadAge: now.Sub(best.loadAt),
		Ticket: ticket, HedgeDelay: p.hedgeDelay(expected, r),
	}, false, nil
}

// responseTimeout returns how long an answer may take before the target counts as
// unresponsive.
func (p *Pool) responseTimeout(t *target, r Request, now time.Time) time.Duration {
	return max(3*p.expected(t, r, now), 300*time.Millisecond)
}

// hedgeDelay returns the delay after which a second attempt may start: the latest
// time at which its answer can be expected within the route's latency objective,
// but not before the first attempt is overdue. It covers targets that become slow
// while they process a request.
func (p *Pool) hedgeDelay(expected time.Duration, r Request) time.Duration {
	const overdueFactor = 1.6 // of the expected time
	latestStart := r.Route.Objective - 3*p.processingTimeOf(r.Route).mean/2
	return max(time.Duration(overdueFactor*float64(expected)), latestStart, 20*time.Millisecond)
}

// expected returns the expected time until the answer to a request that is sent
// to t now.
func (p *Pool) expected(t *target, r Request, now time.Time) time.Duration {
	mean := float64(p.processingTimeOf(r.Route).mean) * t.speed * t.slowness(now)
	load := t.expectedLoad(now, float64(p.entryVMs))
	queue := max(load+1-t.slots(), 0) / t.slots()
	return time.Duration(mean * (1 + queue))
}

// cost ranks targets; the lowest cost is the best. It is the expected time,
// increased for busy targets, which may be slower than they report, for targets
// that fail, since an early failure is no gain, and for remote targets.
func (p *Pool) cost(t *target, r Request, now time.Time) float64 {
	const (
		busyWeight    = 0.25 // for a target whose slots are all taken
		failureWeight = 8
		shedWeight    = 3
		remoteWeight  = 1    // another data centre: traffic costs money, and its links fail more often
		jitter        = 0.05 // makes entry VMs with the same view choose different targets
	)
	cost := float64(p.expected(t, r, now))
	cost *= 1 + busyWeight*min(t.expectedLoad(now, float64(p.entryVMs))/t.slots(), 1)
	cost *= 1 + failureWeight*t.failureRate + shedWeight*t.refusalRate
	if t.DataCentre != p.home {
		cost *= 1 + remoteWeight
	}
	return cost * (1 + jitter*p.random())
}

const (
	// newTargetFraction is the fraction of requests sent to new targets that
	// have got none from this VM: enough for each to get one within a second
	// or two.
	newTargetFraction = 0.05
	// explorationThreshold is the number of targets up to which an entry VM
	// sends requests to all of them anyway, so that new ones need no special
	// treatment.
	explorationThreshold = 40
	// newTargetPeriod is how long a target counts as new after it joined.
	newTargetPeriod = 8 * time.Second
	// startupPeriod is the time after the first update in which a starting VM
	// learns the existing targets. Targets reported within it do not count as
	// new.
	startupPeriod = 2 * time.Second
)

// untriedTarget returns a new target that has got no request from this VM yet,
// or nil if there is none to try. An entry VM that knows enough fast targets
// would otherwise never learn how fast the added ones are.
func (p *Pool) untriedTarget(r Request, now time.Time) *target {
	targets := p.services[r.Service]
	first := int(p.random() * float64(len(targets)))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		if t.tried || t.joinedAt.IsZero() || now.Sub(t.joinedAt) >= newTargetPeriod {
			continue
		}
		if !p.draining(t) && !t.resting(now) && !slices.Contains(r.Tried, t.ID) && p.withinColdAllowance(t, now) && !t.suspect(now, p.responseTimeout(t, r, now)) {
			return t
		}
	}
	return nil
}

// cheapestTarget returns the target with the lowest cost. Targets differ in
// speed, some are slow for a moment and some fail; one that failed recently or
// does not respond is chosen only if there is no other.
func (p *Pool) cheapestTarget(r Request, now time.Time) (*target, *result.Error) {
	if len(p.services[r.Service]) > explorationThreshold && p.random() < newTargetFraction {
		if t := p.untriedTarget(r, now); t != nil {
			return t, nil
		}
	}
	best, suspect := p.cheapestOf(p.subset(r.Service), r, now)
	if best == nil || suspect {
		if other, _ := p.cheapestOf(p.services[r.Service], r, now); other != nil {
			best = other
		}
	}
	if best == nil {
		e := result.New(result.NoTarget, "service %s: none of its %d known targets accepts a request", r.Service, len(p.services[r.Service]))
		e.RetryAfter = p.withJitter(200 * time.Millisecond)
		return nil, e
	}
	return best, nil
}

// cheapestOf returns the target of a list with the lowest cost that accepts a
// request, and whether it is suspect.
func (p *Pool) cheapestOf(targets []*target, r Request, now time.Time) (best *target, bestSuspect bool) {
	var bestCost float64
	for _, t := range targets {
		if p.draining(t) || t.resting(now) || slices.Contains(r.Tried, t.ID) || !p.withinColdAllowance(t, now) {
			continue
		}
		suspect := t.suspect(now, p.responseTimeout(t, r, now))
		cost := p.cost(t, r, now)
		if best == nil || bestSuspect && !suspect || bestSuspect == suspect && cost < bestCost {
			best, bestCost, bestSuspect = t, cost, suspect
		}
	}
	return best, bestSuspect
}

// refusedKeyPause is how long a target that refused a key gets no further
// requests for keys of the same assignment.
const refusedKeyPause = 300 * time.Millisecond

// ownerTimeoutFactor multiplies the response timeout of a key's owner, since
// no other target can serve the key.
const ownerTimeoutFactor = 3

// owner returns the target that owns the key of r. With an error, wait reports
// that the owner may become ready soon.
func (p *Pool) owner(r Request, now time.Time) (t *target, wait bool, err *result.Error) {
	if !r.HasKey {
		return nil, false, result.New(result.MissingKey, "service %s needs a key", r.Service)
	}
	held, ok := p.state.Keys[r.Service].Find(r.Key)
	if !ok {
		return nil, true, p.ownerUnavailable(r, "key %d has no owner", r.Key)
	}
	t = p.targets[held.Owner]
	switch {
	case t == nil || t.Incarnation != held.Life:
		return nil, true, p.ownerUnavailable(r, "owner %s of key %d is unknown on this entry VM", held.Owner, r.Key)
	case t.granted < held.Fence:
		return nil, true, p.ownerUnavailable(r, "owner %s of key %d has not received the grant with fence %d yet", held.Owner, r.Key, held.Fence)
	case t.refusedFence == held.Fence && now.Sub(t.refusedAt) < refusedKeyPause:
		return nil, true, p.ownerUnavailable(r, "owner %s refused key %d", held.Owner, r.Key)
	case p.draining(t) && !t.servesDraining(held.Fence, now):
		return nil, true, p.ownerUnavailable(r, "owner %s of key %d is draining", held.Owner, r.Key)
	case t.resting(now):
		err := p.ownerUnavailable(r, "owner %s of key %d is full and wants no requests from this entry VM for a while", held.Owner, r.Key)
		rest := t.restUntil.Sub(now)
		err.RetryAfter = p.withJitter(rest)
		return nil, rest < maxRestWait, err
	case t.suspect(now, ownerTimeoutFactor*p.responseTimeout(t, r, now)):
		return nil, true, p.ownerUnavailable(r, "owner %s of key %d does not respond", held.Owner, r.Key)
	case !p.withinColdAllowance(t, now):
		return nil, true, p.ownerUnavailable(r, "owner %s of key %d is cold and has used its request allowance", held.Owner, r.Key)
	}
	return t, false, nil
}

// ownerUnavailable returns the error for a key that has no owner, or whose owner
// can't take a request now. Its code is ShardUnassigned in both cases.
func (p *Pool) ownerUnavailable(_ Request, format string, args ...any) *result.Error {
	e := result.New(result.ShardUnassigned, format, args...)
	e.RetryAfter = p.withJitter(200 * time.Millisecond)
	return e
}

// split is the state of the smooth weighted round robin of one route.
type split struct{ credit map[core.Service]float64 }

// Split returns the service for the next request of a route, by smooth weighted
// round robin, which follows the weights exactly.
func (p *Pool) Split(r config.Route) core.Service {
	if len(r.Splits) == 1 {
		return r.Splits[0].Service
	}
	s := p.splits[r.Name]
	if s == nil {
		s = &split{credit: map[core.Service]float64{}}
		p.splits[r.Name] = s
	}
	var total float64
	var best core.Service
	for i, option := range r.Splits {
		total += float64(option.Weight)
		s.credit[option.Service] += float64(option.Weight)
		if i == 0 || s.credit[option.Service] > s.credit[best] {
			best = option.Service
		}
	}
	s.credit[best] -= total
	return best
}
