package bench_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// TestCellServesEachKeyAtOneOwner checks the promise "every key has exactly one
// rightful owner" in a cell of three daemons and two targets: a key's requests
// reach the same target through every daemon.
func TestCellServesEachKeyAtOneOwner(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	c, err := cluster.Start(ctx, cluster.Deployment{
		DataCentres: []cluster.DataCentre{{Name: "padana-a", VMs: 3}},
		Services: []cluster.Service{{
			Name: "archivio", Keyed: true, Shards: 16, Targets: 2,
			Target: faketarget.Options{Slots: 4, Connections: 120, ChecksFence: true},
		}},
		Workspaces: []cluster.Workspace{{Name: "lab", Rate: 1e6, Burst: 1e6}},
	}, cluster.Options{Folder: t.TempDir()})
	is.NoErr(err)
	owners := map[string]bool{}
	for key := range 12 {
		owner := ""
		for _, callers := range c.Callers() {
			url := fmt.Sprintf("http://%s/archivio/batch-%d", callers, key)
			body := callUntilServed(t, ctx, url, c.Secrets["lab"])
			is.True(owner == "" || owner == body["target"]) // same owner through every daemon
			owner = body["target"]
		}
		owners[owner] = true
	}
	is.Equal(len(owners), 2) // both targets own keys
	is.NoErr(c.Stop())
}
