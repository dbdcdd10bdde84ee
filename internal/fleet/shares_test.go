package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// BenchmarkReported measures a report on the leader at the size of a grown
// deployment.
func BenchmarkReported(b *testing.B) {
	const entries, workspaces = 89, 86
	state := config.NewState()
	for i := range workspaces {
		name := core.Workspace(fmt.Sprint("workspace-", i))
		state.Catalog.Tenants[name] = config.Tenancy{Name: name, Rate: 40, Burst: 40}
	}
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
