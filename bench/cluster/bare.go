package cluster

import "context"

// StartTargetsOnly starts only the fake targets of d, for baselines without daemons.
func StartTargetsOnly(ctx context.Context, d Deployment) (*Cluster, error) {
	c := &Cluster{Deployment: d, ended: make(chan error)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startTargets(); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// Addresses returns the addresses of the relays in front of a service's targets,
// except those in the data centre out, which may be empty.
func (c *Cluster) Addresses(service, out string) []string {
	var all []string
	for _, t := range c.Targets {
		if t.Service == service && t.DataCentre != out {
			all = append(all, t.Relay.Address())
		}
	}
	return all
}
