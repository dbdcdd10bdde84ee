// Package policy measures decisions of dispatch alone, in virtual time, so that
// the figures do not depend on the machine. It is a decisions layer only; the
// command slopes prints its findings.
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
	Work           time.Duration // mean of an exponential distribution
	Utilised       float64       // part of the healthy targets' slots
	Stragglers     int
	Factor         float64 // slower work of a straggler
	Length         time.Duration
	Seed           uint64
}

// Outcome is what a chooser made of a load.
type Outcome struct {
	P50, P99, P999 time.Duration
	Refused        int
	OnStragglers   float64 // part of the requests
}

const (
	queuePerSlot  = 16
	deadline      = 10 * time.Second
	pumpPeriod    = 5 * time.Millisecond
	highestMicros = 60_000_000
)

type event struct {
	at time.Duration
	do func(now time.Duration)
}

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

// run is one load on one pool.
type run struct {
	load    Load
	pool    *dispatch.Pool
	random  *rand.Rand
	queue   events
	zero    time.Time
	sent    map[dispatch.Ticket]time.Duration
	latency *hdrhistogram.Histogram
	outcome Outcome
	served  int
	slow    int
}

// Simulate puts the load on a pool with the chooser.
func Simulate(l Load, chooser dispatch.Chooser) Outcome {
	r := &run{
		load: l, pool: dispatch.NewPool("certdesk", queuePerSlot, chooser, l.Seed+1),
		random: rand.New(rand.NewPCG(l.Seed, 2)), zero: time.Unix(0, 0).Add(time.Hour),
		sent:    map[dispatch.Ticket]time.Duration{},
		latency: hdrhistogram.New(1, highestMicros, 3),
	}
	var targets []core.Target
	for i := range l.Targets {
		targets = append(targets, core.Target{ID: targetID(i), Service: "certdesk", Incarnation: 1, Slots: l.Slots})
	}
	r.deliver(r.pool.Update(targets, r.zero), 0)
	r.at(0, r.arrive)
	r.at(pumpPeriod, r.pump)
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		e.do(e.at)
	}
	r.outcome.P50 = micros(r.latency.ValueAtQuantile(50))
	r.outcome.P99 = micros(r.latency.ValueAtQuantile(99))
	r.outcome.P999 = micros(r.latency.ValueAtQuantile(99.9))
	r.outcome.OnStragglers = float64(r.slow) / float64(max(1, r.served))
	return r.outcome
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

func targetID(i int) core.TargetID { return core.TargetID("t" + strconv.Itoa(i)) }

func (r *run) at(t time.Duration, do func(now time.Duration)) {
	heap.Push(&r.queue, event{at: t, do: do})
}

func (r *run) arrive(now time.Duration) {
	if now > r.load.Length {
		return
	}
	ticket := dispatch.Ticket(len(r.sent) + 1)
	r.sent[ticket] = now
	at := r.zero.Add(now)
	r.deliver(r.pool.Acquire(ticket, dispatch.SlotRequest{Service: "certdesk", Workspace: "w", Deadline: at.Add(deadline)}, at), now)
	perSecond := float64(r.load.Targets*r.load.Slots) / r.load.Work.Seconds() * r.load.Utilised
	r.at(now+time.Duration(r.random.ExpFloat64()/perSecond*float64(time.Second)), r.arrive)
}

func (r *run) pump(now time.Duration) {
	r.deliver(r.pool.Tick(r.zero.Add(now)), now)
	if now < r.load.Length+deadline {
		r.at(now+pumpPeriod, r.pump)
	}
}

func (r *run) deliver(grants []dispatch.Grant, now time.Duration) {
	for _, g := range append([]dispatch.Grant(nil), grants...) {
		if g.Err != nil {
			r.outcome.Refused++
			continue
		}
		r.start(g, now)
	}
}

func (r *run) start(g dispatch.Grant, now time.Duration) {
	work := time.Duration(r.random.ExpFloat64() * float64(r.load.Work))
	straggler := false
	for i := range r.load.Stragglers {
		straggler = straggler || g.Slot.Target.ID == targetID(i)
	}
	r.served++
	if straggler {
		work = time.Duration(float64(work) * r.load.Factor)
		r.slow++
	}
	r.at(now+work, func(end time.Duration) {
		_ = r.latency.RecordValue(max(1, (end - r.sent[g.Ticket]).Microseconds()))
		a := exchange.Attempt{Ran: result.HasRun, Latency: work, Status: 200}
		r.deliver(r.pool.FirstByte(g.Slot, a, r.zero.Add(end)), end)
		r.deliver(r.pool.Release(g.Slot, a, r.zero.Add(end)), end)
	})
}
