package cluster

import (
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// Deployment is the size and shape of one installation.
type Deployment struct {
	Name        string
	DataCentres []DataCentre
	Services    []Service
	Workspaces  []Workspace
	Voters      int // of the registry; 0: 3
}

// DataCentre is one data centre with its entry VMs.
type DataCentre struct {
	Name string
	VMs  int
}

// Service is one kind of target and how many run over all data centres.
type Service struct {
	Name     string
	Keyed    bool
	Shards   uint32
	Targets  int
	Deadline time.Duration      // 0: the system's default
	Target   faketarget.Options // ID, data centre and addresses are filled in
}

// Workspace is one tenant.
type Workspace struct {
	Name  string
	Rate  float64 // requests a second
	Burst float64 // requests
	Share float64 // of the offered load
}

const (
	shards         = 256
	vmsEach        = 4
	connectionCost = time.Millisecond
	work           = 25 * time.Millisecond
	ampleRate      = 5000 // requests a second
)

// Vernicert is the certificate services' installation.
func Vernicert() Deployment {
	target := faketarget.Options{
		Slots: 6, Connections: 120, Work: work, ConnectionCost: connectionCost,
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

// Tlaloc is the return points' installation.
func Tlaloc() Deployment {
	target := faketarget.Options{
		Slots: 4, Connections: 130, Work: work, ConnectionCost: connectionCost,
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

// tenants returns eight workspaces, two of them large.
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

// Small returns d with vms entry VMs in each data centre and targets of each
// service divided by n, rounded up.
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
