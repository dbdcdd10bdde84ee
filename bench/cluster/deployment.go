package cluster

import (
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// Deployment describes one installation of the system and its load.
type Deployment struct {
	Name        string
	DataCentres []DataCentre
	Services    []Service
	Workspaces  []Workspace
	Voters      int // voters of the registry; 0: defaultVoters
}

// DataCentre is one data centre with its entry VMs.
type DataCentre struct {
	Name string
	VMs  int // entry VMs
}

// Service describes one service and its targets.
type Service struct {
	Name     string
	Keyed    bool
	Shards   uint32
	Targets  int                // in all data centres together
	Deadline time.Duration      // 0: the system's default
	Target   faketarget.Options // without the ID, data centre and addresses, which differ by target
}

// Workspace is one tenant.
type Workspace struct {
	Name  string
	Rate  float64 // requests a second
	Burst float64 // requests
	Share float64 // share of the offered load, 0 to 1
}

const (
	shards         = 256
	vmsEach        = 4 // entry VMs in each data centre
	connectionCost = time.Millisecond
	work           = 25 * time.Millisecond // service time of one request
	ampleRate      = 5000                  // requests a second
)

// Vernicert returns the installation of the certificate services.
func Vernicert() Deployment {
	target := faketarget.Options{
		Slots: 6, Connections: 120, ServiceTime: work, ConnectionCost: connectionCost,
		WarmUp: 3 * time.Second, ColdSlots: 1, ChecksFence: true, StartsWarm: true,
	}
	return Deployment{
		Name:        "vernicert",
		DataCentres: []DataCentre{{"padana-a", vmsEach}, {"padana-b", vmsEach}, {"padana-c", vmsEach}},
		Services: []Service{
			{Name: "certdesk", Targets: 12, Target: target},
			{Name: "archivio", Keyed: true, Shards: shards, Targets: 18, Target: target},
		},
		Workspaces: tenants("colorificio"),
	}
}

// Tlaloc returns the installation of the return points.
func Tlaloc() Deployment {
	target := faketarget.Options{
		Slots: 4, Connections: 130, ServiceTime: work, ConnectionCost: connectionCost,
		WarmUp: 3 * time.Second, ColdSlots: 1, ChecksFence: true, StartsWarm: true,
	}
	return Deployment{
		Name:        "tlaloc",
		DataCentres: []DataCentre{{"puebla-a", vmsEach}, {"tlaxcala-b", vmsEach}, {"cholula-c", vmsEach}},
		Services: []Service{
			{Name: "lockers", Keyed: true, Shards: shards, Targets: 18, Target: target},
			{Name: "almacen", Targets: 18, Target: target},
		},
		Workspaces: tenants("clinica"),
	}
}

// tenants returns eight workspaces, of which two offer most of the load.
func tenants(prefix string) []Workspace {
	shares := []float64{0.35, 0.25, 0.1, 0.1, 0.08, 0.06, 0.04, 0.02}
	var all []Workspace
	for i, s := range shares {
		all = append(all, Workspace{
			Name: prefix + "-" + string(rune('1'+i)), Rate: ampleRate, Burst: ampleRate, Share: s,
		})
	}
	return all
}

// Deployments returns both installations.
func Deployments() []Deployment { return []Deployment{Vernicert(), Tlaloc()} }

// Small returns a copy of d with vms entry VMs in each data centre and with the
// number of each service's targets divided by n, rounded up.
func (d Deployment) Small(vms, n int) Deployment {
	small := d
	small.DataCentres = nil
	for _, dc := range d.DataCentres {
		small.DataCentres = append(small.DataCentres, DataCentre{dc.Name, vms})
	}
	small.Services = nil
	for _, s := range d.Services {
		s.Targets = (s.Targets + n - 1) / n
		small.Services = append(small.Services, s)
	}
	return small
}
