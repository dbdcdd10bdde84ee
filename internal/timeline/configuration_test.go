package timeline

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestConfigurationEventsShowChanges checks that the time line shows why a caller
// key is no longer accepted, and why shards moved when a data centre was taken
// out of service.
func TestConfigurationEventsShowChanges(t *testing.T) {
	is := is.New(t)
	prev := config.NewState()
	prev.Version = 4
	prev.DataCentres["padana-a"] = config.DataCentre{Name: "padana-a", Status: config.DataCentreActive}
	prev.CallerKeys[config.HashSecret("s")] = config.CallerKey{ID: "k1", Workspace: "lab"}
	prev.Services["archivio"] = config.Service{Name: "archivio", Keyed: true, Shards: 3}
	cells := []core.Cell{"padana-a", "padana-b"}
	prev.Homes["archivio"] = config.ShardHomes{Cells: cells, Home: []uint16{0, 1, 0}}
	next := config.NewState()
	next.Version = 5
	next.DataCentres["padana-a"] = config.DataCentre{Name: "padana-a", Status: config.DataCentreOutOfService}
	next.Services["archivio"] = prev.Services["archivio"]
	next.Homes["archivio"] = config.ShardHomes{Cells: cells, Home: []uint16{1, 1, 1}}

	events := ConfigurationEvents(prev, next)
	is.Equal(len(events), 4)
	is.Equal(events[0].Ref, "version 5")
	for _, e := range events[1:] {
		is.Equal(e.Cause, "version 5")
	}
	is.Equal(events[1].Detail, "caller key k1")
	is.Equal(events[2].DataCentre, core.DataCentre("padana-a"))
	is.Equal(events[2].Detail, "out, was in")
	is.Equal(events[3].Count, uint64(2))
	is.Equal(events[3].Shards, ShardSet("0,2"))
	is.Equal(len(ConfigurationEvents(nil, next)), 1)
	is.Equal(len(ConfigurationEvents(next, next)), 0)
}
