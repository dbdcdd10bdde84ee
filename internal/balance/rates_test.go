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
	book    *fleet.LeaderState
	pools   []*Pool
	callers []int       // index of the entry VM that each caller uses throughout
	sent    []time.Time // times of admitted requests
	asked   int
	refused int
	draws   int
	// counters are the control VMs that count the workspace and its backup;
	// counterDown means that the first can't be reached.
	counters    [2]*fleet.Counter
	counterDown bool
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
	sim := &ratesSimulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, rate: rate, burst: burst,
		state: testState(t, config.PatchCatalog{Tenants: []config.Tenancy{
			{Item: config.Item{Revision: 2}, Name: "lab", Rate: rate, Burst: burst},
		}}, config.CountEntryVMs{Count: entryVMs}),
		book: fleet.NewLeaderState(fleet.Parameters{HeartbeatInterval: time.Second, KeyLease: 3 * time.Second, Quota: testQuota}),
	}
	sim.book.BeginTerm(1, sim.now)
	for i := range sim.counters {
		sim.counters[i] = fleet.NewCounter(testQuota)
	}
	sim.partitioned = map[int]bool{}
	for range entryVMs {
		sim.pools = append(sim.pools, testPool(sim.state))
	}
	for range callers {
		sim.callers = append(sim.callers, sim.random.IntN(entryVMs))
	}
	return sim
}

// run simulates callers that together send perSecond requests per second for the
// duration d. The requests enter the statistics only if count is set.
func (sim *ratesSimulation) run(d time.Duration, perSecond float64, count bool) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(ratesStep) {
		tick := int(sim.now.Sub(start) / ratesStep)
		for i, p := range sim.pools {
			if !sim.partitioned[i] && !sim.leaderless && (tick+7*i)%int(ratesReportPeriod/ratesStep) == 0 {
				sim.report(p, i)
			}
		}
		for expected := perSecond * ratesStep.Seconds(); sim.random.Float64() < expected; expected-- {
			sim.ask(sim.callers[sim.random.IntN(len(sim.callers))], count)
		}
	}
}

func (sim *ratesSimulation) report(p *Pool, i int) {
	r := p.Report(core.VM(fmt.Sprint("entry-", i)), sim.now)
	shares, entryVMs, index := sim.book.ApplyReport(r, sim.state, sim.now)
	p.ApplyUpdate(fleet.Update{Term: sim.book.Term(), EntryVMs: entryVMs, Index: index, Shares: shares}, sim.now)
}

func (sim *ratesSimulation) ask(entry int, count bool) {
	r := request(open, sim.now)
	r.Workspace = "lab"
	pool := sim.pools[entry]
	draw, err := pool.Admit(r, sim.now)
	admitted := !draw && err == nil
	switch {
	case draw && sim.partitioned[entry]:
		pool.DrawFailed("lab", sim.now)
	case draw:
		sim.draws++
		counter := 0
		if sim.counterDown {
			counter = 1
		}
		supply := sim.counters[counter].Supply([]quota.Want{{Workspace: "lab", Tokens: 1}}, counter == 1, sim.state, sim.now)[0]
		admitted = pool.ApplySupply(supply, 1, sim.now) == 1
	}
	if admitted {
		sim.sent = append(sim.sent, sim.now)
	}
	if count {
		sim.asked++
		if !admitted {
			sim.refused++
		}
	}
}

// setPartitioned partitions an entry VM from the leader, or ends the partition.
func (sim *ratesSimulation) setPartitioned(entry int, partitioned bool) {
	sim.partitioned[entry] = partitioned
}

// restart restarts an entry VM, which loses its state.
func (sim *ratesSimulation) restart(entry int) {
	p := NewPool("a", Bounds{BudgetWindow: 10 * time.Second, Quota: testQuota}, sim.random.Float64)
	p.ConfigChanged(sim.state, sim.now)
	sim.pools[entry] = p
}

// mostInWindow returns the largest number of admitted requests in any quota
// window.
func (sim *ratesSimulation) mostInWindow() int {
	most, first := 0, 0
	for i, at := range sim.sent {
		for at.Sub(sim.sent[first]) > testQuota.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// bound returns the number of requests that the quota allows in one window.
func (sim *ratesSimulation) bound() float64 {
	return (sim.rate*testQuota.Window.Seconds()+sim.burst)*(1+testQuota.Overage) + testQuota.Slack
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
			sim := newRatesSimulation(t, 1, c.entryVMs, c.callers, c.rate, c.rate)
			sim.run(10*time.Second, c.part*c.rate, false)
			sim.run(30*time.Second, c.part*c.rate, true)
			t.Logf("refused %d of %d, %d draws, most in a window %d of %.0f", sim.refused, sim.asked, sim.draws, sim.mostInWindow(), sim.bound())
			is.True(sim.refused*100 <= sim.asked) // at most one in a hundred
			is.True(float64(sim.mostInWindow()) <= sim.bound())
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
			sim := newRatesSimulation(t, 1, c.entryVMs, c.callers, c.rate, c.rate)
			sim.run(10*time.Second, 0.3*c.rate, false)
			sim.run(10*time.Second, c.times*c.rate, true)
			served := float64(sim.asked-sim.refused) / 10 / c.rate
			t.Logf("served %.2f of the rate, %d draws, most in a window %d of %.0f", served, sim.draws, sim.mostInWindow(), sim.bound())
			is.True(float64(sim.mostInWindow()) <= sim.bound())
			is.True(served >= 0.9)
		})
	}
}
