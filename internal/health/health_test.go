package health

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

func healthyView() View {
	state := config.NewState()
	state.Version = 3
	state.DataCentres["padana-a"] = config.DataCentre{Name: "padana-a", Status: config.DataCentreActive}
	state.Services["archivio"] = config.Service{Name: "archivio", Keyed: true, Shards: 2}
	state.Homes["archivio"] = config.ShardHomes{Cells: []core.Cell{"padana-a"}, Home: []uint16{0, 0}}
	table := cell.NewTable("padana-a")
	table.Targets["t1"] = cell.TargetEntry{Target: core.Target{ID: "t1", Service: "archivio"}, Dispatcher: "vm-1"}
	table.Shards["archivio"] = []cell.Assignment{{Target: "t1"}, {Target: "t1"}}
	return View{
		Self: "vm-1", DataCentre: "padana-a", State: state, Table: table,
		LeaseLive: true, LeaderKnown: true, Coordinator: "vm-1",
	}
}

// TestHealthyDaemonHasNoProblems holds that status is quiet when all is well.
func TestHealthyDaemonHasNoProblems(t *testing.T) {
	is := is.New(t)
	v := healthyView()
	is.Equal(Problems(v), nil)
	_, ready := Ready(v)
	is.True(ready)
}

// TestEachFaultIsNamed holds that status says what is wrong and what the system
// does about it, for each fault alone.
func TestEachFaultIsNamed(t *testing.T) {
	cases := []struct {
		name, what string
		code       result.Code
		ready      bool
		harm       func(*View)
	}{
		{"leader", "no registry leader", result.NoLeader, true, func(v *View) { v.LeaderKnown = false }},
		{"coordinator", "no coordinator", result.OK, true, func(v *View) { v.Coordinator = "" }},
		{"lease", "holds no member lease", result.NoLease, false, func(v *View) { v.LeaseLive = false }},
		{"data centre", "data centre padana-a is out", result.OK, false, func(v *View) {
			v.State.DataCentres["padana-a"] = config.DataCentre{Status: config.DataCentreOutOfService}
		}},
		{"target", "no target in cell", result.NoTarget, true, func(v *View) {
			v.Table.Targets["t1"] = cell.TargetEntry{Target: core.Target{ID: "t1", Service: "archivio", Draining: true}}
		}},
		{"shard", "1 shards of service archivio", result.ShardUnassigned, true, func(v *View) {
			v.Table.Shards["archivio"][1] = cell.Assignment{}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := healthyView()
			c.harm(&v)
			found := Problems(v)
			is.Equal(len(found), 1)
			is.True(strings.Contains(found[0].What, c.what))
			is.True(found[0].Doing != "")
			is.Equal(found[0].Code, c.code)
			_, ready := Ready(v)
			is.Equal(ready, c.ready)
		})
	}
}

// TestStoppingIsNotReady holds that a planned stop takes the daemon out of the
// balancer first.
func TestStoppingIsNotReady(t *testing.T) {
	is := is.New(t)
	v := healthyView()
	v.Stopping = true
	_, ready := Ready(v)
	is.True(!ready)
}
