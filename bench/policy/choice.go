// Package policy simulates how dispatch chooses targets, in virtual time, so that
// the figures do not depend on the machine. It has decisions only; the command
// slopes prints its results.
package policy

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Load is one service under an open-loop load.
type Load struct {
	Targets, Slots int
	Work           time.Duration // mean service time; exponentially distributed
	Utilised       float64       // fraction of all targets' slots that the load occupies at normal speed
	Stragglers     int           // number of slow targets
	Factor         float64       // service time of a straggler, in multiples of the normal one
	Length         time.Duration
	Seed           uint64
}

// Outcome holds the results of one simulation.
type Outcome struct {
	P50, P99, P999 time.Duration
	Refused        int
	OnStragglers   float64 // fraction of the requests that ran on stragglers
}

const (
	queuePerSlot     = 16
	deadline         = 10 * time.Second
	pumpPeriod       = 5 * time.Millisecond
	maxLatencyMicros = 60_000_000
)

// event is a callback at a virtual time since the start of the simulation.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

// events is a heap of events, the earliest first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// run is the state of one simulation.
type run struct {
	load         Load
	pool         *dispatch.Pool
	random       *rand.Rand
	queue        events
	epoch        time.Time // start of the virtual time
	sent         map[dispatch.Ticket]time.Duration
	latency      *hdrhistogram.Histogram
	outcome      Outcome
	served       int // requests that got a slot
	onStragglers int // requests that got a slot on a straggler
}

// Simulate runs the load on a dispatch pool that uses the given chooser.
func Simulate(l Load, chooser dispatch.Chooser) Outcome {
	r := &run{
		load: l, pool: dispatch.NewPool("certdesk", queuePerSlot, chooser, l.Seed+1),
		random: rand.New(rand.NewPCG(l.Seed, 2)), epoch: time.Unix(0, 0).Add(time.Hour),
		sent:    map[dispatch.Ticket]time.Duration{},
		latency: hdrhistogram.New(1, maxLatencyMicros, 3),
	}
	var targets []core.Target
	for i := range l.Targets {
		targets = append(targets, core.Target{ID: targetID(i), Service: "certdesk", Incarnation: 1, Slots: l.Slots})
	}
	r.handleGrants(r.pool.Update(targets, r.epoch), 0)
	r.schedule(0, r.arrive)
	r.schedule(pumpPeriod, r.pump)
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(e.at)
	}
	r.outcome.P50 = micros(r.latency.ValueAtQuantile(50))
	r.outcome.P99 = micros(r.latency.ValueAtQuantile(99))
	r.outcome.P999 = micros(r.latency.ValueAtQuantile(99.9))
	r.outcome.OnStragglers = float64(r.onStragglers) / float64(max(1, r.served))
	return r.outcome
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func targetID(i int) core.TargetID { return core.TargetID("t" + strconv.Itoa(i)) }

func (r *run) schedule(t time.Duration, do func(now time.Duration)) {
	heap.Push(&r.queue, event{at: t, do: do})
}

func (r *run) arrive(now time.Duration) {
	if now > r.load.Length {
		return
	}
	ticket := dispatch.Ticket(len(r.sent) + 1)
	r.sent[ticket] = now
	at := r.epoch.Add(now)
	r.handleGrants(r.pool.Acquire(ticket, dispatch.SlotRequest{Service: "certdesk", Workspace: "w", Deadline: at.Add(deadline)}, at), now)
	perSecond := float64(r.load.Targets*r.load.Slots) / r.load.Work.Seconds() * r.load.Utilised
	r.schedule(now+time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), r.arrive)
}

func (r *run) pump(now time.Duration) {
	r.handleGrants(r.pool.Tick(r.epoch.Add(now)), now)
	if now < r.load.Length+deadline {
		r.schedule(now+pumpPeriod, r.pump)
	}
}

func (r *run) handleGrants(grants []dispatch.Grant, now time.Duration) {
	for _, g := range append([]dispatch.Grant(nil), grants...) {
		if g.Err != nil {
			r.outcome.Refused++
			continue
		}
		r.startRequest(g, now)
	}
}

func (r *run) startRequest(g dispatch.Grant, now time.Duration) {
	serviceTime := time.Duration(r.random.ExpFloat64() * float64(r.load.Work))
	straggler := false
	for i := range r.load.Stragglers {
		straggler = straggler || g.Slot.Target.ID == targetID(i)
	}
	r.served++
	if straggler {
		serviceTime = time.Duration(float64(serviceTime) * r.load.Factor)
		r.onStragglers++
	}
	r.schedule(now+serviceTime, func(end time.Duration) {
		_ = r.latency.RecordValue(max(1, (end - r.sent[g.Ticket]).Microseconds()))
		a := exchange.Attempt{Ran: result.HasRun, Latency: serviceTime, Status: 200}
		r.handleGrants(r.pool.FirstByte(g.Slot, a, r.epoch.Add(end)), end)
		r.handleGrants(r.pool.Release(g.Slot, a, r.epoch.Add(end)), end)
	})
}
