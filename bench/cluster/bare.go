package cluster

import "context"

// StartBare starts the stand-ins of d alone, for baselines without daemons.
func StartBare(ctx context.Context, d Deployment) (*Cluster, error) {
	c := &Cluster{Deployment: d, ended: make(chan error)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startTargets(); err != nil {
		_ = c.Stop()
		return nil, err
	}
	return c, nil
}

// Addresses returns the relays' addresses of a service's targets outside the
// data centre named out; "" leaves none out.
func (c *Cluster) Addresses(service, out string) []string {
	var all []string
	for _, t := range c.Targets {
		if t.Service == service && t.DataCentre != out {
			all = append(all, t.Relay.Address())
		}
	}
	return all
}
