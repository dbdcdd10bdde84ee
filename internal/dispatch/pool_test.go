package dispatch

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func targetsOf(slots ...int) []core.Target {
	var targets []core.Target
	for i, n := range slots {
		targets = append(targets, core.Target{ID: core.TargetID(fmt.Sprintf("t%d", i)), Slots: n, Incarnation: 1})
	}
	return targets
}

// held is a request that holds a slot.
type held struct {
	Slot
	streams bool
}

// model counts granted and ended requests, as the reference for the pool.
type model struct {
	pool         *Pool
	slots        map[core.TargetID]int
	waiting      map[Ticket]SlotRequest
	held         []held
	incarnations map[core.TargetID]core.Incarnation
	cold         map[core.TargetID]bool // no answer since it was added or restarted
	next         Ticket
	now          time.Time
}

func newModel() *model {
	return &model{
		pool:         NewPool("s", 3, LatencyAware{}, 1),
		slots:        map[core.TargetID]int{},
		waiting:      map[Ticket]SlotRequest{},
		cold:         map[core.TargetID]bool{},
		incarnations: map[core.TargetID]core.Incarnation{},
		now:          start,
	}
}

func (m *model) inFlight(id core.TargetID) int {
	n := 0
	for _, s := range m.held {
		if s.Target.ID == id {
			n++
		}
	}
	return n
}

// checkGrants checks each grant or refusal and records it.
func (m *model) checkGrants(t *rapid.T, grants []Grant) {
	for _, g := range grants {
		request, ok := m.waiting[g.Ticket]
		if !ok {
			t.Fatalf("ticket %d was answered twice, or after it was cancelled", g.Ticket)
		}
		delete(m.waiting, g.Ticket)
		if g.Err != nil {
			if result.From(g.Err).Ran != result.NotRun {
				t.Fatalf("refusal %v does not report that the request has not run", g.Err)
			}
			continue
		}
		id := g.Slot.Target.ID
		if request.Target != "" && id != request.Target {
			t.Fatalf("a request for %s was granted %s", request.Target, id)
		}
		if _, ok := m.slots[id]; !ok {
			t.Fatalf("granted %s, which this daemon does not dispatch", id)
		}
		if !m.now.Before(request.Deadline) {
			t.Fatalf("granted after the deadline")
		}
		m.held = append(m.held, held{Slot: g.Slot})
		if m.inFlight(id) > m.slots[id] {
			t.Fatalf("%d requests on %d slots of %s", m.inFlight(id), m.slots[id], id)
		}
		if m.cold[id] && m.inFlight(id) > 1 {
			t.Fatalf("%d requests at once on cold %s", m.inFlight(id), id)
		}
	}
}

var outcomes = []result.Code{
	result.OK, result.OK, result.OK, result.OK, result.TargetRefused, result.ConnectFailed,
	result.TargetTimeout, result.CallerGone,
}

func (m *model) acquire(t *rapid.T) {
	m.next++
	request := SlotRequest{
		Workspace: core.Workspace(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace")),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "left")) * time.Millisecond),
		Attempt:   rapid.IntRange(0, 1).Draw(t, "attempt"),
		NoWait:    rapid.IntRange(0, 4).Draw(t, "if free") == 0,
	}
	if rapid.Bool().Draw(t, "keyed") {
		request.Target = core.TargetID(fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "target")))
	}
	m.waiting[m.next] = request
	m.checkGrants(t, m.pool.Acquire(m.next, request, m.now))
}

func (m *model) release(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "slot")
	h := m.held[i]
	a := exchange.Attempt{Code: rapid.SampledFrom(outcomes).Draw(t, "outcome"), Latency: time.Millisecond}
	if !h.streams && a.Code == result.OK && h.Target.Incarnation == m.incarnations[h.Target.ID] {
		m.cold[h.Target.ID] = false
	}
	if !h.streams && rapid.Bool().Draw(t, "stream") {
		m.held[i].streams = true
		m.checkGrants(t, m.pool.FirstByte(h.Slot, a, m.now))
		return
	}
	a.Streamed = h.streams
	m.held = append(m.held[:i:i], m.held[i+1:]...)
	m.checkGrants(t, m.pool.Release(h.Slot, a, m.now))
}

func (m *model) cancel(t *rapid.T) {
	for ticket := Ticket(1); ticket <= m.next; ticket++ {
		if _, ok := m.waiting[ticket]; ok {
			delete(m.waiting, ticket)
			if !m.pool.Cancel(ticket) {
				t.Fatalf("ticket %d was not waiting", ticket)
			}
			return
		}
	}
}

func (m *model) update(t *rapid.T) {
	var targets []core.Target
	for _, info := range targetsOf(1, 2, 4, 6) {
		if !rapid.Bool().Draw(t, "present") {
			delete(m.slots, info.ID)
			continue
		}
		info.Incarnation = core.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation"))
		if _, ok := m.slots[info.ID]; !ok || info.Incarnation != m.incarnations[info.ID] {
			m.cold[info.ID] = true
		}
		m.incarnations[info.ID] = info.Incarnation
		m.slots[info.ID] = info.Slots
		targets = append(targets, info)
	}
	m.checkGrants(t, m.pool.Update(targets, m.now))
}

// TestSlotsQueueAndColdStart runs random operations on a pool and checks that the
// requests in flight never exceed a target's slots, or one on a cold target, that
// every request is answered exactly once, and that no slot is lost.
func TestSlotsQueueAndColdStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				m.acquire(t)
			case 4, 5, 6:
				m.release(t)
			case 7:
				m.cancel(t)
			case 8:
				m.update(t)
			default:
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
				m.checkGrants(t, m.pool.Tick(m.now))
			}
			if len(m.waiting) != len(m.pool.waiting) || len(m.waiting) != len(m.pool.expiry) {
				t.Fatalf("%d requests wait, the pool has %d", len(m.waiting), len(m.pool.waiting))
			}
		}
		m.settle(t)
	})
}

// settle ends every request and checks that no slot was lost.
func (m *model) settle(t *rapid.T) {
	for len(m.held) > 0 {
		h := m.held[0]
		m.held = m.held[1:]
		m.checkGrants(t, m.pool.Release(h.Slot, exchange.Attempt{Code: result.CallerGone, Streamed: h.streams}, m.now))
	}
	m.now = m.now.Add(time.Minute)
	m.checkGrants(t, m.pool.Tick(m.now))
	if len(m.waiting) != 0 || len(m.held) != 0 {
		t.Fatalf("%d requests wait and %d run past all deadlines", len(m.waiting), len(m.held))
	}
	for _, target := range m.pool.targets {
		if target.inFlight != 0 || target.streaming != 0 || !target.assigned {
			t.Fatalf("%s is left with %d in flight, %d streams", target.info.ID, target.inFlight, target.streaming)
		}
	}
}

// warm serves requests until every target has left slow start.
func warm(p *Pool, targets []core.Target, now time.Time) {
	p.Update(targets, now)
	for _, t := range p.assigned {
		for t.window.Cold() {
			t.inFlight++
			p.Release(Slot{Target: t.info}, exchange.Attempt{Latency: time.Millisecond}, now)
		}
	}
}

// TestManyColdTargetsDoNotStampede checks that each cold target gets one request
// however many wait, as after the return of a data centre.
func TestManyColdTargetsDoNotStampede(t *testing.T) {
	is := is.New(t)
	p := NewPool("s", 100, LatencyAware{}, 1)
	targets := targetsOf(6, 6, 6, 6, 6, 6)
	p.Update(targets, start)
	granted := 0
	for i := range 200 {
		granted += len(p.Acquire(Ticket(i+1), SlotRequest{Workspace: "w", Deadline: start.Add(time.Minute)}, start))
	}
	is.Equal(granted, 6)
}

// TestFullQueueRefusesTheFloodingWorkspace checks that a full queue refuses the
// newest request of the workspace that filled it in favour of another workspace,
// whose request is among the next two served.
func TestFullQueueRefusesTheFloodingWorkspace(t *testing.T) {
	is := is.New(t)
	p := NewPool("s", 4, LatencyAware{}, 1)
	warm(p, targetsOf(2), start)
	deadline := start.Add(time.Minute)
	refused := 0
	for i := range 100 {
		for _, g := range p.Acquire(Ticket(i+1), SlotRequest{Workspace: "flood", Deadline: deadline}, start) {
			if g.Err != nil {
				refused++
				is.Equal(result.CodeOf(g.Err), result.Overloaded)
			}
		}
	}
	is.Equal(refused, 100-2-8)
	g := p.Acquire(1000, SlotRequest{Workspace: "small", Deadline: deadline}, start)
	is.Equal(len(g), 1)
	is.True(g[0].Ticket != 1000 && g[0].Err != nil) // the newest request of workspace flood was refused
	served := false
	for range 2 {
		for _, g := range p.Release(Slot{Target: p.assigned[0].info}, exchange.Attempt{}, start) {
			served = served || g.Ticket == 1000
		}
	}
	is.True(served)
}

// TestStuckTargetIsPassedOver checks that a target that stops answering with
// requests in flight gets no further requests while others answer.
func TestStuckTargetIsPassedOver(t *testing.T) {
	is := is.New(t)
	p := NewPool("s", 4, &RoundRobin{}, 1)
	warm(p, targetsOf(4, 4, 4), start)
	now, held := start, 0
	for i := range 30 {
		g := p.Acquire(Ticket(i+1), SlotRequest{Workspace: "w", Deadline: now.Add(time.Minute)}, now)
		is.Equal(len(g), 1)
		now = now.Add(20 * time.Millisecond)
		if g[0].Slot.Target.ID == "t0" {
			held++ // never answers
			continue
		}
		p.Release(g[0].Slot, exchange.Attempt{Latency: time.Millisecond}, now)
	}
	is.True(held >= 1 && held < 4)
}

// TestRetriesTakeFromTheBudget checks that retries are refused once they have spent
// the initial budget, to which only first attempts add.
func TestRetriesTakeFromTheBudget(t *testing.T) {
	is := is.New(t)
	p := NewPool("s", 4, LatencyAware{}, 1)
	warm(p, targetsOf(6), start)
	refused := 0
	for i := range 50 {
		g := p.Acquire(Ticket(i+1), SlotRequest{Workspace: "w", Attempt: 1, Deadline: start.Add(time.Minute)}, start)
		if g[0].Err != nil {
			is.Equal(result.CodeOf(g[0].Err), result.RetryBudgetSpent)
			refused++
			continue
		}
		p.Release(g[0].Slot, exchange.Attempt{Latency: time.Millisecond}, start)
	}
	is.Equal(refused, 40)
}

func BenchmarkAcquireRelease(b *testing.B) {
	b.ReportAllocs()
	p := NewPool("s", 16, LatencyAware{}, 1)
	warm(p, targetsOf(6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6), start)
	n := SlotRequest{Workspace: "w", Deadline: start.Add(time.Minute)}
	ticket := Ticket(0)
	for b.Loop() {
		ticket++
		g := p.Acquire(ticket, n, start)
		p.Release(g[0].Slot, exchange.Attempt{Latency: time.Millisecond}, start)
	}
}

func BenchmarkQueued(b *testing.B) {
	b.ReportAllocs()
	p := NewPool("s", 16, LatencyAware{}, 1)
	warm(p, targetsOf(6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6, 6), start)
	n := SlotRequest{Workspace: "w", Deadline: start.Add(time.Minute)}
	ticket := Ticket(0)
	var slot Slot
	for range 200 {
		ticket++
		for _, g := range p.Acquire(ticket, n, start) {
			slot = g.Slot
		}
	}
	for b.Loop() {
		ticket++
		p.Acquire(ticket, n, start)
		slot = p.Release(slot, exchange.Attempt{Latency: time.Millisecond}, start)[0].Slot
	}
}
