package balance

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Request is what is known of a request when a target is chosen.
type Request struct {
	Route     config.Route
	Workspace core.Workspace // empty on a public route
	Service   core.Service   // chosen from the route's splits by Split
	HasKey    bool
	Key       uint32
	Priority  int
	Deadline  time.Time
	Tried     []core.TargetID // targets that it was sent to
}

// Choice is where a request goes.
type Choice struct {
	Target   core.Target
	Expected time.Duration // until its answer
	Load     float64       // requests there, as expected
	LoadAge  time.Duration // since the target told its load
	Ticket   uint64        // for Done
	Patience time.Duration // after which a repeatable request may go elsewhere too
}

// work is what one route's requests cost.
type work struct {
	mean time.Duration // on a target of usual speed without a queue
}

// firstWork is the part of a route's objective that its work is taken to need
// before any was seen.
const firstWork = 0.3

func (p *Pool) workOf(r config.Route) *work {
	w := p.work[r.Name]
	if w == nil {
		guess := time.Duration(float64(r.Objective) * firstWork)
		if guess <= 0 {
			guess = 100 * time.Millisecond
		}
		w = &work{mean: guess}
		p.work[r.Name] = w
	}
	return w
}

// spread makes callers that are refused together return one after the other.
func (p *Pool) spread(wait time.Duration) time.Duration {
	return time.Duration(float64(wait) * (1 + p.random()))
}

// Repeat reports whether the shared budget allows to send r once more.
func (p *Pool) Repeat(s core.Service, now time.Time) bool {
	if !p.mayRepeat(s, now) {
		return false
	}
	p.budgetOf(s, now).repeats++
	return true
}

// Choose returns the target for r and counts the request there. The error says
// that it has not run. wait asks to try again when something changed: the key
// of r has no owner that is ready.
func (p *Pool) Choose(r Request, ticket uint64, now time.Time) (choice Choice, wait bool, err *result.Error) {
	class, _ := p.state.Catalog.Service(r.Service)
	var best *target
	if class.Keyed {
		best, wait, err = p.owner(r, now)
	} else {
		best, err = p.leastExpected(r, now)
	}
	if best == nil {
		return Choice{}, wait, err
	}
	expected := p.expected(best, r, now)
	if left := r.Deadline.Sub(now); expected > left {
		e := result.New(result.DeadlineInQueue, "target %s would need %s, %s are left", best.ID, expected, left)
		e.RetryAfter = p.spread(expected - left + minWait)
		return Choice{}, false, e
	}
	if class.Keyed {
		p.heat.add(r.Service, r.Key, p.workOf(r.Route).mean, now)
	}
	best.inFlight++
	best.used = true
	best.sent[ticket] = now
	if best.cold(now) {
		best.coldSends = append(best.coldSends, now)
	}
	return Choice{
		Target: best.Target, Expected: expected, Load: best.expectedLoad(now, float64(p.entries)), LoadAge: now.Sub(best.loadAt),
		Ticket: ticket, Patience: p.hedgeAfter(expected, r),
	}, false, nil
}

// patience is how long an answer may take before the target counts as silent.
func (p *Pool) patience(t *target, r Request, now time.Time) time.Duration {
	return max(3*p.expected(t, r, now), 300*time.Millisecond)
}

// hedgeAfter is when a second sending could still be answered within the
// route's objective, but not before the first is late by its own standard.
// Load pattern: a target that turns slow while it works on the request.
func (p *Pool) hedgeAfter(expected time.Duration, r Request) time.Duration {
	const late = 1.6
	lastChance := r.Route.Objective - 3*p.workOf(r.Route).mean/2
	return max(time.Duration(late*float64(expected)), lastChance, 20*time.Millisecond)
}

// expected is the time until the answer of a request that is sent to t now.
func (p *Pool) expected(t *target, r Request, now time.Time) time.Duration {
	mean := float64(p.workOf(r.Route).mean) * t.speed * t.slowness(now)
	load := t.expectedLoad(now, float64(p.entries))
	queue := max(load+1-t.slots(), 0) / t.slots()
	return time.Duration(mean * (1 + queue))
}

// cost ranks targets: the expected time, made worse by a busy target, which may
// be slower than it says, and by failures, since a failed answer is worth
// nothing however early.
func (p *Pool) cost(t *target, r Request, now time.Time) float64 {
	const (
		busyWeight    = 0.25 // of a full target
		failureWeight = 8
		shedWeight    = 3
		awayWeight    = 0.1  // of another data centre: its bytes cost, and its links fail more often
		jitter        = 0.05 // so that entry VMs with equal knowledge differ
	)
	c := float64(p.expected(t, r, now))
	c *= 1 + busyWeight*min(t.expectedLoad(now, float64(p.entries))/t.slots(), 1)
	c *= 1 + failureWeight*t.failing + shedWeight*t.shedding
	if t.DataCentre != p.home {
		c *= 1 + awayWeight
	}
	return c * (1 + jitter*p.random())
}

const (
	// newcomersPart of the requests go to targets that have joined lately and
	// got none from this VM: enough for each to get one within a second or two.
	newcomersPart = 0.05
	// knownTargets is a number of targets that an entry VM uses all by itself.
	knownTargets = 40
	// newcomerFor is how long a target counts as one that has joined lately.
	newcomerFor = 8 * time.Second
	// firstNews is the time in which a VM that starts hears of the targets that
	// are there already.
	firstNews = 2 * time.Second
)

// newcomer is one of the targets that have joined lately, nil if there is none
// to try. Load pattern: targets are added where entry VMs know enough quick
// ones, and would not find out how quick the new ones are.
func (p *Pool) newcomer(r Request, now time.Time) *target {
	targets := p.services[r.Service]
	first := int(p.random() * float64(len(targets)))
	for i := range targets {
		t := targets[(first+i)%len(targets)]
		if t.used || t.joinedAt.IsZero() || now.Sub(t.joinedAt) >= newcomerFor {
			continue
		}
		if !p.leaves(t) && !slices.Contains(r.Tried, t.ID) && p.coldRoom(t, now) && !t.bad(now, p.patience(t, r, now)) {
			return t
		}
	}
	return nil
}

// leastExpected is the target with the least expected time. Load pattern:
// targets of unequal speed, some of them slow for a moment, some failing.
func (p *Pool) leastExpected(r Request, now time.Time) (*target, *result.Error) {
	if len(p.services[r.Service]) > knownTargets && p.random() < newcomersPart {
		if t := p.newcomer(r, now); t != nil {
			return t, nil
		}
	}
	var best *target
	var bestCost float64
	avoided := true
	for _, t := range p.services[r.Service] {
		if p.leaves(t) || slices.Contains(r.Tried, t.ID) || !p.coldRoom(t, now) {
			continue
		}
		bad := t.bad(now, p.patience(t, r, now))
		c := p.cost(t, r, now)
		if best == nil || avoided && !bad || avoided == bad && c < bestCost {
			best, bestCost, avoided = t, c, bad
		}
	}
	if best == nil {
		e := result.New(result.NoTarget, "service %s: none of %d targets takes a request", r.Service, len(p.services[r.Service]))
		e.RetryAfter = p.spread(200 * time.Millisecond)
		return nil, e
	}
	return best, nil
}

// leaves reports whether t gets no new work: it said so itself, or operators
// take its data centre out.
func (p *Pool) leaves(t *target) bool {
	return t.Draining || p.state.Evacuated[t.DataCentre] || p.state.IsRetired(t.ID, t.Incarnation)
}

// refusedKeyPause is how long a target that refused a key is not asked for it
// again while nothing new is known.
const refusedKeyPause = 300 * time.Millisecond

// ownerPatience multiplies the patience with an owner, since its keys have no
// other target.
const ownerPatience = 3

// owner is the target that holds the key of r. wait: it is not ready yet.
func (p *Pool) owner(r Request, now time.Time) (t *target, wait bool, err *result.Error) {
	if !r.HasKey {
		return nil, false, result.New(result.MissingKey, "service %s needs a key", r.Service)
	}
	held, ok := p.state.Keys[r.Service].Find(r.Key)
	if !ok {
		return nil, true, p.unowned(r, "key %d has no owner", r.Key)
	}
	t = p.targets[held.Owner]
	switch {
	case t == nil || t.Incarnation != held.Life:
		return nil, true, p.unowned(r, "owner %s of key %d is not known", held.Owner, r.Key)
	case t.granted < held.Fence:
		return nil, true, p.unowned(r, "owner %s of key %d has no grant of %d yet", held.Owner, r.Key, held.Fence)
	case t.notHeld == held.Fence && now.Sub(t.notHeldAt) < refusedKeyPause:
		return nil, true, p.unowned(r, "owner %s refused key %d", held.Owner, r.Key)
	case p.leaves(t):
		return nil, true, p.unowned(r, "owner %s of key %d leaves", held.Owner, r.Key)
	case t.bad(now, ownerPatience*p.patience(t, r, now)):
		return nil, true, p.unowned(r, "owner %s of key %d does not answer", held.Owner, r.Key)
	case !p.coldRoom(t, now):
		return nil, true, p.unowned(r, "owner %s of key %d is cold", held.Owner, r.Key)
	}
	return t, false, nil
}

func (p *Pool) unowned(_ Request, format string, args ...any) *result.Error {
	e := result.New(result.ShardUnassigned, format, args...)
	e.RetryAfter = p.spread(200 * time.Millisecond)
	return e
}

// Outcome is what became of one sending.
type Outcome struct {
	Ticket   uint64
	Target   core.TargetID
	Life     core.Incarnation
	Route    config.Route
	Key      uint32
	Latency  time.Duration
	Answered bool  // a whole answer came
	Failed   bool  // it was the target's failure, or none came for a reason at the target
	Refused  bool  // the target did not run it since it was full
	NotOwner bool  // the target does not hold the key
	Load     *Load // as the answer told; nil: it did not
	ColdFor  time.Duration
	At       time.Time
}

// Done takes the outcome of a sending.
func (p *Pool) Done(o Outcome) {
	t := p.targets[o.Target]
	if t == nil || t.Incarnation != o.Life {
		return
	}
	sentAt, ok := t.sent[o.Ticket]
	if !ok {
		return
	}
	delete(t.sent, o.Ticket)
	loadThen := t.expectedLoad(sentAt, float64(p.entries))
	t.inFlight--
	if o.Load != nil {
		t.load, t.loadAt, t.loadFlight = *o.Load, o.At, t.inFlight
		if t.load.Slowness <= 0 {
			t.load.Slowness = 1
		}
	}
	if o.ColdFor > 0 {
		t.coldUntil = o.At.Add(o.ColdFor)
	}
	t.failing += smoothing * (indicator(o.Failed) - t.failing)
	t.shedding += smoothing * (indicator(o.Refused) - t.shedding)
	switch {
	case o.NotOwner:
		if held, ok := p.state.Keys[t.Service].Find(o.Key); ok && held.Owner == t.ID {
			t.notHeld, t.notHeldAt = held.Fence, o.At
		}
	case o.Answered:
		t.answeredAt = o.At
		t.works(o.At)
		if !o.Failed && !o.Refused {
			p.learn(t, o, loadThen)
		}
	case o.Failed:
		t.avoid(o.At, p.entries)
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// learn updates the work of the route and the speed of the target.
func (p *Pool) learn(t *target, o Outcome, loadThen float64) {
	w := p.workOf(o.Route)
	queue := 1 + max(loadThen-t.slots(), 0)/t.slots()
	alone := float64(o.Latency) / queue / max(t.load.Slowness, 0.1)
	const workSmoothing = 0.02
	w.mean += time.Duration(workSmoothing * (alone/t.speed - float64(w.mean)))
	if w.mean < time.Millisecond {
		w.mean = time.Millisecond
	}
	ratio := min(max(alone/float64(w.mean), 0.2), 5)
	t.speed += smoothing / 2 * (ratio - t.speed)
	t.speed = min(max(t.speed, 0.3), 8)
	t.samples++
}

// split spreads a route's requests over its services exactly by weight.
type split struct{ credit map[core.Service]float64 }

// Split returns the service that the next request of a route goes to (smooth
// weighted round robin).
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
	for i, part := range r.Splits {
		total += float64(part.Weight)
		s.credit[part.Service] += float64(part.Weight)
		if i == 0 || s.credit[part.Service] > s.credit[best] {
			best = part.Service
		}
	}
	s.credit[best] -= total
	return best
}
