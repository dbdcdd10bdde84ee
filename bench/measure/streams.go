package measure

import (
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/load"
)

const (
	distinctKeys = 2000
	hotShare     = 0.02 // of a keyed stream's requests, for its hot key
	writeShare   = 0.4  // of a service's requests
)

// kindNames are the names of each service's read and write requests.
var kindNames = map[string][2]string{
	"certdesk": {"read certificate", "issue certificate"},
	"archivio": {"look up batch", "file batch"},
	"lockers":  {"locker state", "drop-off"},
	"almacen":  {"ready aids", "reserve aid"},
}

// capacity returns the requests per second that all slots of s can serve.
func capacity(s cluster.Service) float64 {
	return float64(s.Targets*s.Target.Slots) / s.Target.ServiceTime.Seconds()
}

// tenantStreams divides the load of each service among workspaces and kinds.
func tenantStreams(d cluster.Deployment, c Config) []load.Stream {
	var all []load.Stream
	for _, s := range d.Services {
		for _, w := range d.Workspaces {
			for i, part := range []float64{1 - writeShare, writeShare} {
				stream := load.Stream{
					Workspace: w.Name, Kind: kindNames[s.Name][i], Service: s.Name, Post: i == 1,
					PerSecond: capacity(s) * c.Utilised * w.Share * part, Rate: w.Rate, Burst: w.Burst,
				}
				if s.Keyed {
					stream.Keys, stream.HotShare = distinctKeys, hotShare
				}
				all = append(all, stream)
			}
		}
	}
	return all
}

// at returns the time since the start of the run at a fraction of its length.
func at(c Config, part float64) time.Duration {
	return time.Duration(part * float64(c.Length))
}
