package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// ratesSimulation simulates in virtual time the callers of one workspace at many
// entry VMs, which share the workspace's rate through a leader.
type ratesSimulation struct {
	random  *rand.Rand
	now     time.Time
	state   *config.State
	rate    float64
	burst   float64
	book    *fleet.Book
	pools   []*Pool
	callers []int       // index of the entry VM that each caller uses throughout
	sent    []time.Time // times of admitted requests
	asked   int
	refused int
	draws   int
	// partitioned holds the entry VMs that can't reach the leader; while
	// leaderless is set, none can.
	partitioned map[int]bool
	leaderless  bool
}

var testQuota = fleet.Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const (
	ratesReportPeriod = 500 * time.Millisecond // between reports of an entry VM
	ratesStep         = time.Millisecond
)

func newRatesSimulation(t *testing.T, seed uint64, entryVMs, callers int, rate, burst float64) *ratesSimulation {
	t.Helper()
	w := &ratesSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, rate: rate, burst: burst,
		state: testState(t, config.PatchCatalog{Tenants: []config.Tenancy{
			{Item: config.Item{Revision: 2}, Name: "lab", Rate: rate, Burst: burst},
		}}, config.CountEntryVMs{Count: entryVMs}),
		book: fleet.NewBook(fleet.Terms{HeartbeatInterval: time.Second, KeyLease: 3 * time.Second, Quota: testQuota}),
	}
	w.book.Begin(1, w.now)
	w.partitioned = map[int]bool{}
	for range entryVMs {
		w.pools = append(w.pools, testPool(w.state))
	}
	for range callers {
		w.callers = append(w.callers, w.random.IntN(entryVMs))
	}
	return w
}

// run simulates callers that together send perSecond requests per second for the
// duration d. The requests enter the statistics only if count is set.
func (w *ratesSimulation) run(d time.Duration, perSecond float64, count bool) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(ratesStep) {
		tick := int(w.now.Sub(start) / ratesStep)
		for i, p := range w.pools {
			if !w.partitioned[i] && !w.leaderless && (tick+7*i)%int(ratesReportPeriod/ratesStep) == 0 {
				w.report(p, i)
			}
		}
		for expected := perSecond * ratesStep.Seconds(); w.random.Float64() < expected; expected-- {
			w.ask(w.callers[w.random.IntN(len(w.callers))], count)
		}
	}
}

func (w *ratesSimulation) report(p *Pool, i int) {
	r := p.Report(core.VM(fmt.Sprint("entry-", i)), w.now)
	shares, entryVMs, index := w.book.Reported(r, w.state, w.now)
	p.ApplyUpdate(fleet.News{Term: w.book.Term(), Entries: entryVMs, Place: index, Shares: shares}, w.now)
}

func (w *ratesSimulation) ask(entry int, count bool) {
	r := request(open, w.now)
	r.Workspace = "lab"
	pool := w.pools[entry]
	draw, err := pool.Admit(r, w.now)
	admitted := !draw && err == nil
	switch {
	case draw && (w.partitioned[entry] || w.leaderless):
		pool.DrawFailed("lab", w.now)
	case draw:
		w.draws++
		supply := w.book.Draw([]quota.Want{{Workspace: "lab", Tokens: 1}}, w.state, w.now)[0]
		admitted = pool.ApplySupply(supply, 1, w.now) == 1
	}
	if admitted {
		w.sent = append(w.sent, w.now)
	}
	if count {
		w.asked++
		if !admitted {
			w.refused++
		}
	}
}

// setPartitioned partitions an entry VM from the leader, or ends the partition.
func (w *ratesSimulation) setPartitioned(entry int, partitioned bool) {
	w.partitioned[entry] = partitioned
}

// restart restarts an entry VM, which loses its state.
func (w *ratesSimulation) restart(entry int) {
	p := NewPool("a", Bounds{BudgetWindow: 10 * time.Second}, w.random.Float64)
	p.ConfigChanged(w.state, w.now)
	w.pools[entry] = p
}

// mostInWindow returns the largest number of admitted requests in any quota
// window.
func (w *ratesSimulation) mostInWindow() int {
	most, first := 0, 0
	for i, at := range w.sent {
		for at.Sub(w.sent[first]) > testQuota.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns the number of requests that the quota allows in one window.
func (w *ratesSimulation) bound() float64 {
	return (w.rate*testQuota.Window.Seconds()+w.burst)*(1+testQuota.Overage) + testQuota.Slack
}

// TestRequestsInsideARateAreAdmitted simulates callers that each use one entry
// VM and together send less than their workspace's rate, with the numbers of
// entry VMs of current and of larger planned deployments.
func TestRequestsInsideARateAreAdmitted(t *testing.T) {
	for _, c := range []struct {
		entryVMs, callers int
		rate, part        float64 // part is the fraction of the rate that callers use
	}{
		{10, 12, 60, 0.6},
		{10, 40, 200, 0.6},
		{61, 12, 30, 0.6},
		{89, 12, 40, 0.37},
		{89, 12, 40, 0.62},
		{89, 60, 200, 0.62},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d callers, %.0f a second, part %.2f", c.entryVMs, c.callers, c.rate, c.part), func(t *testing.T) {
			is := is.New(t)
			w := newRatesSimulation(t, 1, c.entryVMs, c.callers, c.rate, c.rate)
			w.run(10*time.Second, c.part*c.rate, false)
			w.run(30*time.Second, c.part*c.rate, true)
			t.Logf("refused %d of %d, %d draws, most in a window %d of %.0f", w.refused, w.asked, w.draws, w.mostInWindow(), w.bound())
			is.True(w.refused*100 <= w.asked) // at most one in a hundred
			is.True(float64(w.mostInWindow()) <= w.bound())
		})
	}
}

// TestQuotaHoldsWhenAWorkspaceAsksForManyTimesItsRate simulates a workspace
// that sends little at first and then many times its rate, at a few or at all
// entry VMs.
func TestQuotaHoldsWhenAWorkspaceAsksForManyTimesItsRate(t *testing.T) {
	for _, c := range []struct {
		entryVMs, callers int
		rate, times       float64
	}{
		{10, 12, 60, 10}, {10, 40, 200, 5}, {61, 12, 30, 20}, {89, 500, 40, 20}, {89, 12, 10, 50}, {89, 500, 10, 50},
	} {
		t.Run(fmt.Sprintf("%d VMs, %d callers, %.0f a second, times %.0f", c.entryVMs, c.callers, c.rate, c.times), func(t *testing.T) {
			is := is.New(t)
			w := newRatesSimulation(t, 1, c.entryVMs, c.callers, c.rate, c.rate)
			w.run(10*time.Second, 0.3*c.rate, false)
			w.run(10*time.Second, c.times*c.rate, true)
			served := float64(w.asked-w.refused) / 10 / c.rate
			t.Logf("served %.2f of the rate, %d draws, most in a window %d of %.0f", served, w.draws, w.mostInWindow(), w.bound())
			is.True(float64(w.mostInWindow()) <= w.bound())
			is.True(served >= 0.9)
		})
	}
}
