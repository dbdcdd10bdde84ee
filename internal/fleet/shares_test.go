package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

func ratesState(workspaces int, rate float64) *config.State {
	state := config.NewState()
	for i := range workspaces {
		name := core.Workspace(fmt.Sprint("workspace-", i))
		state.Catalog.Tenants[name] = config.Tenancy{Name: name, Rate: rate, Burst: rate}
	}
	return state
}

// TestCounterKeepsToItsPart checks that a counter and its backup together supply no
// more than the undivided part of a rate and its reserve, also when the rate of a
// workspace is lowered and when the counter is new.
func TestCounterKeepsToItsPart(t *testing.T) {
	is := is.New(t)
	for _, entryVMs := range []int{3, 285} {
		state := ratesState(1, 40)
		state.EntryVMs = entryVMs
		tenancy := state.Catalog.Tenants["workspace-0"]
		q := testParameters.Quota
		undivided := 1 - DividedFraction(tenancy, q, state)
		is.True(undivided > 0)
		counter, backup := NewCounter(q), NewCounter(q)
		start := time.Unix(1000, 0)
		want := []quota.Want{{Workspace: "workspace-0", Tokens: 1000}}
		drawn := 0
		for ms := range 5000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			drawn += counter.Supply(want, false, state, now)[0].Tokens + backup.Supply(want, true, state, now)[0].Tokens
		}
		limit := undivided*(40*5+q.burstReserve(tenancy)) + 2*headStartTokens
		t.Logf("%d entry VMs: %d tokens, limit %.0f", entryVMs, drawn, limit)
		is.True(float64(drawn) <= limit)
		inWindow := 40*q.Window.Seconds() + tenancy.Burst
		is.True(float64(drawn) <= inWindow*(1+q.Overage)+q.Slack) // what the quota allows altogether
		is.True(float64(drawn) >= 0.9*undivided*40*5)
	}
}

// TestNewLeaderGrantsNoHeldRate checks that a new leader divides nothing of a rate that
// entry VMs hold from the previous leader, and lets no share grow while one that
// hasn't reported may still hold one.
func TestNewLeaderGrantsNoHeldRate(t *testing.T) {
	is := is.New(t)
	state := ratesState(1, 40)
	state.EntryVMs = 4
	start := time.Unix(1000, 0)
	held := largestDividedFraction * 40 / 4
	report := func(leader *LeaderState, vm string, rate, granted float64, now time.Time) float64 {
		r := Report{VM: core.VM(vm), Demand: []Demand{{Workspace: "workspace-0", Rate: rate, GrantedRate: granted}}}
		shares, _, _ := leader.ApplyReport(r, state, now)
		if len(shares) == 0 {
			return 0
		}
		return shares[0].Rate
	}
	for _, reported := range []int{4, 2} {
		leader := NewLeaderState(testParameters)
		leader.BeginTerm(7, start)
		for i := range reported { // while the leader collects, all keep what they hold
			is.Equal(report(leader, fmt.Sprint("entry-", i), 1, held, start.Add(time.Millisecond)), 0.0)
		}
		now := start.Add(reportCollectionTime)
		is.Equal(report(leader, "new", 1000, 0, now), 0.0)
		is.True(report(leader, "entry-0", 1000, held, now) <= held+1e-9)
	}
}

// TestUnknownWorkspaceGetsNoTokens checks that a draw for an unknown workspace
// returns no tokens, and the time after which to retry.
func TestUnknownWorkspaceGetsNoTokens(t *testing.T) {
	is := is.New(t)
	s := NewCounter(testParameters.Quota).Supply([]quota.Want{{Workspace: "gone", Tokens: 1}}, false, ratesState(1, 40), time.Unix(1000, 0))
	is.Equal(s[0].Tokens, 0)
	is.True(s[0].RetryAfter > 0)
}

// TestWorkspacesAreCountedEverywhere checks that control VMs count about equally many
// workspaces, that all entry VMs choose alike, and that few workspaces change their
// counter when a control VM is replaced.
func TestWorkspacesAreCountedEverywhere(t *testing.T) {
	is := is.New(t)
	const workspaces = 1900
	before := []string{"10.1.0.1:7", "10.1.0.2:7", "10.2.0.1:7", "10.3.0.1:7", "10.4.0.1:7"}
	after := []string{"10.1.0.1:7", "10.1.0.2:7", "10.2.0.1:7", "10.3.0.1:7", "10.5.0.9:7"}
	counted, moved := map[string]int{}, 0
	for i := range workspaces {
		w := core.Workspace(fmt.Sprint("workspace-", i))
		counter, backup := counterOf(w, before)
		is.True(counter != backup && backup != "")
		counted[counter]++
		if now, _ := counterOf(w, after); now != counter {
			moved++
		}
	}
	for _, n := range counted {
		is.True(n > workspaces/len(before)*3/4 && n < workspaces/len(before)*5/4)
	}
	is.True(moved < 2*workspaces/len(before))
	counter, backup := counterOf("w", nil)
	is.Equal(counter+backup, "")
	_, backup = counterOf("w", before[:1])
	is.Equal(backup, "")

	var twoDataCentres []string
	for i := range 6 {
		twoDataCentres = append(twoDataCentres, fmt.Sprintf("10.%d.0.%d:7", i/3+1, i))
	}
	for i := range 100 {
		counter, backup := counterOf(core.Workspace(fmt.Sprint("w-", i)), twoDataCentres)
		is.True(counter[:5] != backup[:5]) // one data centre that is cut off takes only one of them
	}
	is.Equal(countersAmong(before, before[2]), append(slices.Clone(before[:2]), before[3:]...)) // the leader counts none
	is.Equal(countersAmong(before[:2], before[0]), before[:2])
}

// BenchmarkReported measures the processing of one report on the leader of a large
// deployment.
func BenchmarkReported(b *testing.B) {
	const entryVMs, workspaces = 89, 86
	state := ratesState(workspaces, 40)
	leader := NewLeaderState(testParameters)
	now := time.Unix(1000, 0)
	leader.BeginTerm(1, now)
	now = now.Add(time.Minute)
	reports := make([]Report, entryVMs)
	for i := range reports {
		reports[i].VM = core.VM(fmt.Sprint("entry-", i))
		for name := range state.Catalog.Tenants {
			reports[i].Demand = append(reports[i].Demand, Demand{Workspace: name, Rate: float64(i % 3)})
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		leader.ApplyReport(reports[i%entryVMs], state, now)
	}
}

// TestSlowUpdateDoesNotExtendTheLease guards against shares that an entry VM uses after
// the leader has given them to others, because the update that granted them took long.
func TestSlowUpdateDoesNotExtendTheLease(t *testing.T) {
	is := is.New(t)
	reported := time.Now()
	for _, took := range []time.Duration{0, askTimeout, 10 * askTimeout} {
		received := reported.Add(took)
		until := SharesUntil(Update{RequestedAt: reported}, received)
		is.True(until.Before(reported.Add(entryVMTimeout)))
		is.True(!until.After(received.Add(ShareLease)))
	}
}
