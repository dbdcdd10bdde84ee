// Package cluster runs real daemons and fake targets on loopback, in this process.
// Every address has a relay in front of it, which injects network faults.
//
// deployment.go describes installations, cluster.go and vm.go start and stop
// daemons and targets, operators.go calls the operators' API, and serving.go waits
// until all services answer.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/go-kit/log"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/relay"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// Cluster is one running installation. Only one goroutine at a time may use it;
// the addresses and secrets that it returns may be passed to others.
type Cluster struct {
	Deployment Deployment
	VMs        []*VM
	Targets    []*Target
	Secrets    map[string]string // caller key of each workspace

	ctx    context.Context
	cancel context.CancelFunc
	parts  int        // goroutines started by run
	ended  chan error // receives the result of each part
}

// Target is one fake target with the relay in front of it.
type Target struct {
	*faketarget.Target
	Relay      *relay.Relay
	Service    string
	DataCentre string
}

// Options configure Start.
type Options struct {
	Folder string // parent folder of the voters' data folders
	Logger log.Logger
}

// Start starts the daemons and fake targets of d and puts its services,
// workspaces and caller keys into the configuration.
func Start(ctx context.Context, d Deployment, o Options) (*Cluster, error) {
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	c := &Cluster{Deployment: d, Secrets: map[string]string{}, ended: make(chan error)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	err := c.start(o)
	if err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(o Options) error {
	if err := c.bindVMs(o); err != nil {
		return err
	}
	for _, vm := range c.VMs {
		if err := vm.Start(); err != nil {
			return err
		}
	}
	if err := c.configure(); err != nil {
		return err
	}
	return c.startTargets()
}

// Stop stops all parts of the cluster and returns the first error of one.
func (c *Cluster) Stop() error {
	c.cancel()
	var failure error
	for range c.parts {
		if err := <-c.ended; failure == nil {
			failure = err
		}
	}
	return failure
}

// run starts one part in a goroutine of its own. Its context ends when the cluster
// is stopped.
func (c *Cluster) run(part func(ctx context.Context) error) {
	c.parts++
	go func() { c.ended <- part(c.ctx) }()
}

func (c *Cluster) newRelay() (*relay.Relay, error) {
	r, err := relay.New()
	if err != nil {
		return nil, err
	}
	c.run(r.Run)
	return r, nil
}

const defaultVoters = 3

// voters returns the names of the VMs that are voters of the registry: the first VM
// of each data centre, then the second of each, and so on.
func (c *Cluster) voters() []string {
	count := c.Deployment.Voters
	if count == 0 {
		count = defaultVoters
	}
	var names []string
	for i, found := 0, true; found && len(names) < count; i++ {
		found = false
		for _, dc := range c.Deployment.DataCentres {
			if i < dc.VMs && len(names) < count {
				names, found = append(names, vmName(dc.Name, i)), true
			}
		}
	}
	return names
}

func vmName(dataCentre string, i int) string { return fmt.Sprintf("%s-%d", dataCentre, i+1) }

// bindVMs creates the VMs with their inner relays and their settings, but starts
// no daemon.
func (c *Cluster) bindVMs(o Options) error {
	voters := c.voters()
	var bootstrap settings.Bootstrap
	for _, dc := range c.Deployment.DataCentres {
		cell := settings.BootstrapCell{Name: dc.Name, DataCentre: dc.Name}
		for i := range dc.VMs {
			inner, err := c.newRelay()
			if err != nil {
				return err
			}
			name := vmName(dc.Name, i)
			vm := &VM{Name: name, DataCentre: dc.Name, Voter: slices.Contains(voters, name), Inner: inner, cluster: c, logger: o.Logger}
			c.VMs = append(c.VMs, vm)
			peer := settings.Peer{VM: name, Inner: inner.Address()}
			cell.Members = append(cell.Members, peer)
			if vm.Voter {
				bootstrap.Voters = append(bootstrap.Voters, peer)
			}
		}
		bootstrap.Cells = append(bootstrap.Cells, cell)
	}
	var seeds []string
	for _, v := range bootstrap.Voters {
		seeds = append(seeds, v.Inner)
	}
	for _, vm := range c.VMs {
		vm.settings = vmSettings(vm, bootstrap, seeds)
		if vm.Voter {
			vm.settings.Registry = &settings.Registry{DataFolder: filepath.Join(o.Folder, vm.Name)}
		}
	}
	return nil
}

// startTargets starts the targets of each service, in the data centres in turn.
func (c *Cluster) startTargets() error {
	for _, s := range c.Deployment.Services {
		for i := range s.Targets {
			dc := c.Deployment.DataCentres[i%len(c.Deployment.DataCentres)].Name
			if err := c.startTarget(s, fmt.Sprintf("%s-%d", s.Name, i+1), dc); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) startTarget(s Service, id, dc string) error {
	r, err := c.newRelay()
	if err != nil {
		return err
	}
	o := s.Target
	o.ID, o.Service, o.DataCentre = id, s.Name, dc
	if s.Keyed {
		o.Shards = s.Shards
	}
	o.Advertise = r.Address()
	for _, vm := range c.VMs {
		if vm.DataCentre == dc {
			o.Daemons = append(o.Daemons, vm.Targets.Address())
		}
	}
	t, err := faketarget.New(o)
	if err != nil {
		return err
	}
	r.SetTarget(t.Address())
	c.run(t.Run)
	c.Targets = append(c.Targets, &Target{Target: t, Relay: r, Service: s.Name, DataCentre: dc})
	return nil
}

// Callers returns the callers' addresses of all VMs.
func (c *Cluster) Callers() []string {
	var all []string
	for _, vm := range c.VMs {
		all = append(all, vm.Callers.Address())
	}
	return all
}
