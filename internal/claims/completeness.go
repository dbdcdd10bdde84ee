package claims

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// DefaultTTL is how long a claim is held when the service does not say.
	DefaultTTL = 2 * time.Minute
	// clockSkew bounds the difference between the clocks of two VMs. It matters
	// only for the moment at which a service was created.
	clockSkew = time.Second
)

// TTL is how long a claim of the service is held.
func TTL(svc config.Service) time.Duration {
	if svc.IdempotencyTTL > 0 {
		return svc.IdempotencyTTL
	}
	return DefaultTTL
}

// Completeness says for which services a member remembers every claim that it
// may have granted. Claims are kept in memory only, so that a member which
// started has no vote until it fetched the claims of enough others, or every
// claim from before its start has expired, or the service is younger than it.
type Completeness struct {
	started time.Time
	synced  map[core.Service]bool
	heard   map[core.Service]map[core.VM]bool
}

// NewCompleteness returns that of a member which started at now.
func NewCompleteness(now time.Time) *Completeness {
	c := &Completeness{started: now}
	c.Forget()
	return c
}

// Forget drops what was fetched, after the members of the cell changed by more
// than one.
func (c *Completeness) Forget() {
	c.synced, c.heard = map[core.Service]bool{}, map[core.Service]map[core.VM]bool{}
}

// Restart counts everything as lost at now.
func (c *Completeness) Restart(now time.Time) {
	c.started = now
	c.Forget()
}

// Holds reports whether this member may vote on claims of the service.
func (c *Completeness) Holds(svc config.Service, now time.Time) bool {
	if c.synced[svc.Name] || now.Sub(c.started) >= TTL(svc) {
		return true
	}
	created := svc.Created
	return !created.IsZero() && !created.Before(c.started) && now.Sub(created) >= clockSkew
}

// Heard counts a complete member whose claims of the service were taken over.
func (c *Completeness) Heard(service core.Service, from core.VM, needed int) {
	if c.heard[service] == nil {
		c.heard[service] = map[core.VM]bool{}
	}
	c.heard[service][from] = true
	if len(c.heard[service]) >= needed {
		c.synced[service] = true
	}
}
