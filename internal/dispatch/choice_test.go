package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/exchange"
)

// simulation runs one pool and its targets in simulated time, with Poisson
// arrivals and log-normal service times whose mean is about 10 ms. A refused
// request counts as a latency of one minute.
type simulation struct {
	pool      *Pool
	random    *rand.Rand
	slowest   float64 // factor on the service times of target t0
	now       time.Time
	events    events
	arrived   map[Ticket]time.Time
	latencies []time.Duration
}

type event struct {
	at      time.Time
	slot    Slot
	started time.Time // zero: an arrival
	ticket  Ticket
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) take(grants []Grant) {
	for _, g := range grants {
		if g.Err != nil {
			s.latencies = append(s.latencies, time.Minute)
			continue
		}
		d := 9 * math.Exp(0.5*s.random.NormFloat64()) * float64(time.Millisecond)
		if g.Slot.Target.ID == "t0" {
			d *= s.slowest
		}
		heap.Push(&s.events, event{at: s.now.Add(time.Duration(d)), slot: g.Slot, started: s.now, ticket: g.Ticket})
	}
}

// arrive schedules the next arrival.
func (s *simulation) arrive(ticket Ticket, perSecond float64) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	heap.Push(&s.events, event{at: s.now.Add(gap), ticket: ticket})
}

func (s *simulation) run(requests Ticket, perSecond float64) {
	s.arrive(1, perSecond)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		if e.started.IsZero() {
			s.arrived[e.ticket] = s.now
			s.take(s.pool.Acquire(e.ticket, SlotRequest{Workspace: "w", Deadline: s.now.Add(time.Minute)}, s.now))
			if e.ticket < requests {
				s.arrive(e.ticket+1, perSecond)
			}
			continue
		}
		s.latencies = append(s.latencies, s.now.Sub(s.arrived[e.ticket]))
		s.take(s.pool.Release(e.slot, exchange.Attempt{Latency: s.now.Sub(e.started)}, s.now))
	}
}

// BenchmarkChoice compares the rules for the choice of a target, with 12 targets of
// 6 slots. Its figures are in docs/decisions/04-choice-of-target.md.
func BenchmarkChoice(b *testing.B) {
	rules := []struct {
		name   string
		make   func() Chooser
		ejects bool
	}{
		{"round-robin", func() Chooser { return &RoundRobin{} }, false},
		{"two-choices", func() Chooser { return TwoChoices{} }, false},
		{"least-in-flight", func() Chooser { return LeastInFlight{} }, false},
		{"hot-cold", func() Chooser { return &HotCold{} }, false},
		{"latency-aware", func() Chooser { return LatencyAware{} }, false},
		{"least-in-flight+ejection", func() Chooser { return LeastInFlight{} }, true},
		{"hot-cold+ejection", func() Chooser { return &HotCold{} }, true},
		{"latency-aware+ejection", func() Chooser { return LatencyAware{} }, true},
	}
	for _, slowest := range []float64{1, 10} {
		for _, load := range []float64{0.4, 0.8} {
			for _, rule := range rules {
				b.Run(fmt.Sprintf("slowest=%g/load=%g/%s", slowest, load, rule.name), func(b *testing.B) {
					for b.Loop() {
						s := &simulation{
							pool:   NewPool("s", 64, rule.make(), 1),
							random: rand.New(rand.NewPCG(1, 2)), slowest: slowest,
							now: start, arrived: map[Ticket]time.Time{},
						}
						warm(s.pool, targetsOf(6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6), start)
						if !rule.ejects {
							s.pool.evaluated = start.Add(24 * time.Hour)
						}
						s.run(100_000, load*72/0.0102)
						slices.Sort(s.latencies)
						for _, q := range []float64{0.5, 0.99, 0.999} {
							at := s.latencies[int(q*float64(len(s.latencies)))]
							b.ReportMetric(float64(at.Microseconds())/1000, fmt.Sprintf("p%g-ms", q*100))
						}
					}
				})
			}
		}
	}
}
