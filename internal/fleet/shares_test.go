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

// TestYoungTenureHandsOutNoTokens holds that a leader draws nothing before it
// knows what the entry VMs hold of the leader before, and then no more than
// nobody holds.
func TestYoungTenureHandsOutNoTokens(t *testing.T) {
	is := is.New(t)
	state := ratesState(1, 40)
	book := NewBook(testTerms)
	start := time.Unix(1000, 0)
	book.Begin(7, start)
	want := []quota.Want{{Workspace: "workspace-0", Tokens: 1000}}
	young := start.Add(reportCollectionTime - time.Millisecond)
	for i := range 4 { // they hold the whole rate
		book.Reported(Report{VM: core.VM(fmt.Sprint("entry-", i)), Demand: []Demand{{Workspace: "workspace-0", Rate: 1, Held: 10}}}, state, young)
	}
	is.Equal(book.Draw(want, state, young)[0].Tokens, 0)
	drawn := 0
	for ms := range 2000 {
		drawn += book.Draw(want, state, young.Add(time.Duration(ms+1)*time.Millisecond))[0].Tokens
	}
	is.Equal(drawn, 0) // all of the rate is held
}

// TestUnknownWorkspaceGetsNoTokens holds that a draw for a workspace that is
// gone or has no rate brings nothing and says when to ask again.
func TestUnknownWorkspaceGetsNoTokens(t *testing.T) {
	is := is.New(t)
	book := NewBook(testTerms)
	now := time.Unix(1000, 0)
	book.Begin(1, now)
	s := book.Draw([]quota.Want{{Workspace: "gone", Tokens: 1}}, ratesState(1, 40), now.Add(time.Minute))
	is.Equal(s[0].Tokens, 0)
	is.True(s[0].RetryAfter > 0)
}

// BenchmarkReported measures a report on the leader at the size of a grown
// deployment.
func BenchmarkReported(b *testing.B) {
	const entries, workspaces = 89, 86
	state := ratesState(workspaces, 40)
	book := NewBook(testTerms)
	now := time.Unix(1000, 0)
	book.Begin(1, now)
	now = now.Add(time.Minute)
	reports := make([]Report, entries)
	for i := range reports {
		reports[i].VM = core.VM(fmt.Sprint("entry-", i))
		for name := range state.Catalog.Tenants {
			reports[i].Demand = append(reports[i].Demand, Demand{Workspace: name, Rate: float64(i % 3)})
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		book.Reported(reports[i%entries], state, now)
	}
}
