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

// queueWorld replays one open service: entry VMs choose targets, which queue
// what exceeds their slots.
type queueWorld struct {
	random  *rand.Rand
	now     time.Time
	book    *fleet.LeaderState
	pools   []*Pool
	known   []uint64 // sequence of the newest news
	targets map[core.TargetID]*queueTarget
	ends    ends
	tickets uint64
	// outcomes of measured requests
	all, onSlow, inAim int
}

type queueTarget struct {
	factor  float64 // of the work time
	got     int     // requests
	running int
	queue   []queued
}

type queued struct {
	pool    *Pool
	choice  Choice
	began   time.Time
	measure bool
}

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
	queueSlots    = 4
	queueWork     = 240 * time.Millisecond
	queueAim      = 800 * time.Millisecond
	quickTarget   = 0.7
	slowTarget    = 1.6
	queueLearning = 10 * time.Second
)

// newQueueWorld makes a world in which one target in three is slow.
func newQueueWorld(t *testing.T, entries, targets int) *queueWorld {
	t.Helper()
	state := testState(t)
	w := &queueWorld{
		random: rand.New(rand.NewPCG(1, 3)), now: start, targets: map[core.TargetID]*queueTarget{}, known: make([]uint64, entries),
		book: fleet.NewLeaderState(fleet.Parameters{HeartbeatInterval: time.Second, KeyLease: 3 * time.Second, Quota: testQuota}),
	}
	w.book.BeginTerm(1, start)
	for i := range targets {
		factor := quickTarget
		if i%3 == 0 {
			factor = slowTarget
		}
		w.join(fmt.Sprint("i-", i), factor, state, start)
	}
	for i := range entries {
		p := NewPool("a", Bounds{BudgetWindow: 10 * time.Second}, rand.New(rand.NewPCG(uint64(i), 5)).Float64)
		p.ConfigChanged(state, start)
		w.pools = append(w.pools, p)
		w.report(i, start)
	}
	return w
}

func (w *queueWorld) join(id string, factor float64, state *config.State, now time.Time) {
	s := stateOf(id, open)
	s.Slots = queueSlots
	w.book.ApplyHeartbeat(fleet.Heartbeat{Target: s.Target, Sequence: 1}, state, now)
	w.targets[s.ID] = &queueTarget{factor: factor}
}

func (w *queueWorld) report(i int, now time.Time) {
	vm := core.VM(fmt.Sprint("entry-", i))
	p := w.pools[i]
	_, n, place := w.book.ApplyReport(p.Report(vm, now), p.state, now)
	changed := w.book.ChangesSince(vm, 1, w.known[i], now)
	slices.SortFunc(changed, func(x, y fleet.TargetState) int { return cmp.Compare(x.ID, y.ID) }) // the same in each run
	w.known[i] = w.book.Sequence()
	p.Told(fleet.Update{Term: 1, EntryVMs: n, Index: place, Targets: changed}, now)
}

// run sends perSecond requests for d.
func (w *queueWorld) run(perSecond float64, d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); w.now = w.now.Add(time.Millisecond) {
		now := w.now
		ms := int(now.Sub(start) / time.Millisecond)
		for len(w.ends) > 0 && !w.ends[0].at.After(now) {
			w.finish(heap.Pop(&w.ends).(end))
		}
		for i := range w.pools {
			if (ms+5*i)%500 == 0 {
				w.report(i, now)
			}
		}
		for expected := perSecond / 1000; w.random.Float64() < expected; expected-- {
			w.send(w.pools[w.random.IntN(len(w.pools))], now, now.Sub(start) > queueLearning)
		}
	}
}

func (w *queueWorld) send(p *Pool, now time.Time, measure bool) {
	w.tickets++
	r := request(open, now)
	r.Deadline = now.Add(time.Minute) // all are answered, late or not
	c, _, err := p.Choose(r, w.tickets, now)
	if err != nil {
		panic(err)
	}
	t := w.targets[c.Target.ID]
	t.got++
	q := queued{p, c, now, measure}
	if measure {
		w.all++
		if t.factor == slowTarget {
			w.onSlow++
		}
	}
	if t.running == queueSlots {
		t.queue = append(t.queue, q)
		return
	}
	w.start(t, q, now)
}

func (w *queueWorld) start(t *queueTarget, q queued, now time.Time) {
	t.running++
	const spread = 0.5 // standard deviation of the logarithm
	took := float64(queueWork) * t.factor * math.Exp(spread*w.random.NormFloat64()-spread*spread/2)
	heap.Push(&w.ends, end{now.Add(time.Duration(took)), q})
}

func (w *queueWorld) finish(e end) {
	t := w.targets[e.choice.Target.ID]
	t.running--
	if len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		w.start(t, next, e.at)
	}
	latency := e.at.Sub(e.began)
	if e.measure && latency <= queueAim {
		w.inAim++
	}
	e.pool.Done(Outcome{
		Ticket: e.choice.Ticket, Target: e.choice.Target.ID, Life: 1, Route: testRoute(open), Latency: latency, Answered: true, At: e.at,
		Load: &Load{Running: t.running, Waiting: len(t.queue), Slots: queueSlots, Slowness: 1},
	})
}

// TestFewRequestsMeetSlowOrBusyTargets replays services of today's and of the
// grown size, at a part of what the quick targets can do. At the grown size an
// entry VM sees a target about once in ten seconds: the VMs must not all choose
// the targets that look best.
func TestFewRequestsMeetSlowOrBusyTargets(t *testing.T) {
	for _, c := range []struct {
		entries, targets int
		load             float64 // of the quick targets
		late             float64 // largest part of requests that miss their objective
	}{
		{12, 18, 0.5, 0.02},
		{12, 18, 0.8, 0.05},
		{89, 229, 0.5, 0.02},
		{89, 229, 0.8, 0.05},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d targets, load %.1f", c.entries, c.targets, c.load), func(t *testing.T) {
			is := is.New(t)
			w := newQueueWorld(t, c.entries, c.targets)
			quick := float64(c.targets) * 2 / 3
			w.run(c.load*quick*queueSlots/(queueWork.Seconds()*quickTarget), queueLearning+20*time.Second)
			late := 1 - float64(w.inAim)/float64(w.all)
			t.Logf("%.3f late, %.3f on slow targets", late, float64(w.onSlow)/float64(w.all))
			is.True(late <= c.late)
		})
	}
}

// joinBound is by when a target that joined must have got a request: four
// seconds after operators and entry VMs had as long to notice it.
const joinBound = 8 * time.Second

// TestTargetThatJoinsIsTried replays an entry VM of a grown deployment that
// sends fifteen requests a second and knows fifty targets that are quick: one
// that is added gets a request in time all the same.
func TestTargetThatJoinsIsTried(t *testing.T) {
	is := is.New(t)
	const targets, pace = 50, time.Second / 15
	p := testPool(testState(t))
	for i := range targets {
		p.tellAll(start, stateOf(fmt.Sprint("i-", i), open))
	}
	now, ticket, got := start, uint64(0), map[core.TargetID]int{}
	send := func(d time.Duration) {
		for until := now.Add(d); now.Before(until); now = now.Add(pace) {
			ticket++
			c, _, err := p.Choose(request(open, now), ticket, now)
			is.True(err == nil)
			got[c.Target.ID]++
			p.Done(Outcome{
				Ticket: ticket, Target: c.Target.ID, Life: 1, Route: testRoute(open), Answered: true, At: now.Add(pace / 2),
				Latency: time.Duration(quickTarget * float64(p.workOf(testRoute(open)).mean)),
			})
		}
	}
	send(20 * time.Second)
	p.tellAll(now, stateOf("new", open))
	send(joinBound)
	is.True(got["new"] > 0)
}
