package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// queueSimulation simulates a service without keys: entry VMs choose targets,
// which queue the requests that exceed their slots.
type queueSimulation struct {
	random  *rand.Rand
	now     time.Time
	book    *fleet.LeaderState
	pools   []*Pool
	known   []uint64 // sequence number of the newest update at each entry VM
	targets map[core.TargetID]*queueTarget
	ends    ends
	tickets uint64
	// Counts of measured requests: all, those sent to slow targets, and those
	// answered within queueObjective.
	all, onSlow, onTime int
}

type queueTarget struct {
	factor  float64 // processing time relative to queueProcessingTime
	got     int     // requests received
	running int
	queue   []queued
}

type queued struct {
	pool    *Pool
	choice  Choice
	began   time.Time
	measure bool
}

// end is the completion of a request at a target.
type end struct {
	at time.Time
	queued
}

type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	queueSlots          = 4
	queueProcessingTime = 240 * time.Millisecond
	queueObjective      = 800 * time.Millisecond
	fastTarget          = 0.7
	slowTarget          = 1.6
	queueWarmUp         = 10 * time.Second
)

// newQueueSimulation returns a simulation in which one target in three is slow.
func newQueueSimulation(t *testing.T, entryVMs, targets int) *queueSimulation {
	t.Helper()
	state := testState(t)
	sim := &queueSimulation{
		random: rand.New(rand.NewPCG(1, 3)), now: start, targets: map[core.TargetID]*queueTarget{}, known: make([]uint64, entryVMs),
		book: fleet.NewLeaderState(fleet.Parameters{HeartbeatInterval: time.Second, KeyLease: 3 * time.Second, Quota: testQuota}),
	}
	sim.book.BeginTerm(1, start)
	for i := range targets {
		factor := fastTarget
		if i%3 == 0 {
			factor = slowTarget
		}
		sim.join(fmt.Sprint("i-", i), factor, state, start)
	}
	for i := range entryVMs {
		p := NewPool("a", Bounds{BudgetWindow: 10 * time.Second}, rand.New(rand.NewPCG(uint64(i), 5)).Float64)
		p.ConfigChanged(state, start)
		sim.pools = append(sim.pools, p)
		sim.report(i, start)
	}
	return sim
}

func (sim *queueSimulation) join(id string, factor float64, state *config.State, now time.Time) {
	s := stateOf(id, open)
	s.Slots = queueSlots
	sim.book.ApplyHeartbeat(fleet.Heartbeat{Target: s.Target, Sequence: 1}, state, now)
	sim.targets[s.ID] = &queueTarget{factor: factor}
}

func (sim *queueSimulation) report(i int, now time.Time) {
	vm := core.VM(fmt.Sprint("entry-", i))
	p := sim.pools[i]
	_, entryVMs, index := sim.book.ApplyReport(p.Report(vm, now), p.state, now)
	changed := sim.book.ChangesSince(vm, 1, sim.known[i], now)
	slices.SortFunc(changed, func(x, y fleet.TargetState) int { return cmp.Compare(x.ID, y.ID) }) // makes runs reproducible
	sim.known[i] = sim.book.Sequence()
	p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: entryVMs, Index: index, Targets: changed}, now)
}

// run simulates perSecond requests per second for the duration d.
func (sim *queueSimulation) run(perSecond float64, d time.Duration) {
	for until := sim.now.Add(d); sim.now.Before(until); sim.now = sim.now.Add(time.Millisecond) {
		now := sim.now
		ms := int(now.Sub(start) / time.Millisecond)
		for len(sim.ends) > 0 && !sim.ends[0].at.After(now) {
			sim.finish(heap.Pop(&sim.ends).(end))
		}
		for i := range sim.pools {
			if (ms+5*i)%500 == 0 {
				sim.report(i, now)
			}
		}
		for expected := perSecond / 1000; sim.random.Float64() < expected; expected-- {
			sim.send(sim.pools[sim.random.IntN(len(sim.pools))], now, now.Sub(start) > queueWarmUp)
		}
	}
}

func (sim *queueSimulation) send(p *Pool, now time.Time, measure bool) {
	sim.tickets++
	r := request(open, now)
	r.Deadline = now.Add(time.Minute) // so that every request is answered, even past its objective
	c, _, err := p.Choose(r, sim.tickets, now)
	if err != nil {
		panic(err)
	}
	t := sim.targets[c.Target.ID]
	t.got++
	q := queued{p, c, now, measure}
	if measure {
		sim.all++
		if t.factor == slowTarget {
			sim.onSlow++
		}
	}
	if t.running == queueSlots {
		t.queue = append(t.queue, q)
		return
	}
	sim.start(t, q, now)
}

func (sim *queueSimulation) start(t *queueTarget, q queued, now time.Time) {
	t.running++
	const spread = 0.5 // standard deviation of the logarithm
	took := float64(queueProcessingTime) * t.factor * math.Exp(spread*sim.random.NormFloat64()-spread*spread/2)
	heap.Push(&sim.ends, end{now.Add(time.Duration(took)), q})
}

func (sim *queueSimulation) finish(e end) {
	t := sim.targets[e.choice.Target.ID]
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		sim.start(t, next, e.at)
	}
	latency := e.at.Sub(e.began)
	if e.measure && latency <= queueObjective {
		sim.onTime++
	}
	e.pool.Done(Outcome{
		Ticket: e.choice.Ticket, Target: e.choice.Target.ID, Incarnation: 1, Route: testRoute(open), Latency: latency, Answered: true, At: e.at,
		Load: &Load{Running: t.running, Waiting: len(t.queue), Slots: queueSlots, Slowness: 1},
	})
}

// TestFewRequestsMeetSlowOrBusyTargets simulates services of the size of
// current and of larger planned deployments, at a fraction of the capacity of
// the fast targets. At the larger size an entry VM sends a request to a given
// target only about every ten seconds, so its view is old: the entry VMs must
// not all choose the few targets that look best.
func TestFewRequestsMeetSlowOrBusyTargets(t *testing.T) {
	for _, c := range []struct {
		entryVMs, targets int
		load              float64 // fraction of the capacity of the fast targets
		overdue           float64 // largest allowed fraction of requests that miss their objective
	}{
		{12, 18, 0.5, 0.02},
		{12, 18, 0.8, 0.05},
		{89, 229, 0.5, 0.02},
		{89, 229, 0.8, 0.05},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d targets, load %.1f", c.entryVMs, c.targets, c.load), func(t *testing.T) {
			is := is.New(t)
			sim := newQueueSimulation(t, c.entryVMs, c.targets)
			fast := float64(c.targets) * 2 / 3
			sim.run(c.load*fast*queueSlots/(queueProcessingTime.Seconds()*fastTarget), queueWarmUp+20*time.Second)
			overdue := 1 - float64(sim.onTime)/float64(sim.all)
			t.Logf("%.3f missed their objective, %.3f were sent to slow targets", overdue, float64(sim.onSlow)/float64(sim.all))
			is.True(overdue <= c.overdue)
		})
	}
}

// joinBound is the time within which a target that joined must have got a
// request: four seconds for operators and entry VMs to notice it, and four
// more.
const joinBound = 8 * time.Second

// TestTargetThatJoinsIsTried simulates an entry VM of a larger deployment that
// sends fifteen requests per second and knows fifty fast targets. A target
// that is added must still get a request within joinBound.
func TestTargetThatJoinsIsTried(t *testing.T) {
	is := is.New(t)
	const targets, pace = 50, time.Second / 15
	p := testPool(testState(t))
	for i := range targets {
		p.applyTargets(start, stateOf(fmt.Sprint("i-", i), open))
	}
	now, ticket, got := start, uint64(0), map[core.TargetID]int{}
	send := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(pace) {
			ticket++
			c, _, err := p.Choose(request(open, now), ticket, now)
			is.True(err == nil)
			got[c.Target.ID]++
			p.Done(Outcome{
				Ticket: ticket, Target: c.Target.ID, Incarnation: 1, Route: testRoute(open), Answered: true, At: now.Add(pace / 2),
				Latency: time.Duration(fastTarget * float64(p.processingTimeOf(testRoute(open)).mean)),
			})
		}
	}
	send(20 * time.Second)
	p.applyTargets(now, stateOf("new", open))
	send(joinBound)
	is.True(got["new"] > 0)
}
