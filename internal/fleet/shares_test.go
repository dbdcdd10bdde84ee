package fleet

import (
	"fmt"
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

// TestNewLeaderGrantsNoHeldTokens checks that a draw from a new leader returns no
// tokens before the leader has collected the shares that entry VMs hold from the
// previous leader, and afterwards only tokens that no entry VM holds.
func TestNewLeaderGrantsNoHeldTokens(t *testing.T) {
	is := is.New(t)
	state := ratesState(1, 40)
	leader := NewLeaderState(testParameters)
	start := time.Unix(1000, 0)
	leader.BeginTerm(7, start)
	want := []quota.Want{{Workspace: "workspace-0", Tokens: 1000}}
	collecting := start.Add(reportCollectionTime - time.Millisecond)
	for i := range 4 { // together they hold the whole rate
		leader.ApplyReport(Report{VM: core.VM(fmt.Sprint("entry-", i)), Demand: []Demand{{Workspace: "workspace-0", Rate: 1, GrantedRate: 10}}}, state, collecting)
	}
	is.Equal(leader.Draw(want, state, collecting)[0].Tokens, 0)
	drawn := 0
	for ms := range 2000 {
		drawn += leader.Draw(want, state, collecting.Add(time.Duration(ms+1)*time.Millisecond))[0].Tokens
	}
	is.Equal(drawn, 0) // the whole rate is held
}

// TestUnknownWorkspaceGetsNoTokens checks that a draw for an unknown workspace
// returns no tokens, and the time after which to retry.
func TestUnknownWorkspaceGetsNoTokens(t *testing.T) {
	is := is.New(t)
	leader := NewLeaderState(testParameters)
	now := time.Unix(1000, 0)
	leader.BeginTerm(1, now)
	s := leader.Draw([]quota.Want{{Workspace: "gone", Tokens: 1}}, ratesState(1, 40), now.Add(time.Minute))
	is.Equal(s[0].Tokens, 0)
	is.True(s[0].RetryAfter > 0)
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
