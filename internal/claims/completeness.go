package claims

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// DefaultTTL is how long a claim is held if the service sets no TTL.
	DefaultTTL = 2 * time.Minute
	// clockSkew bounds the difference between the clocks of two VMs. It is used
	// only to compare a service's creation time with the local clock.
	clockSkew = time.Second
)

// TTL returns how long a claim of the service is held.
func TTL(svc config.Service) time.Duration {
	if svc.IdempotencyTTL > 0 {
		return svc.IdempotencyTTL
	}
	return DefaultTTL
}

// Completeness tracks for which services a member knows every claim that it may
// have granted. Claims are kept in memory only, so a restarted member may vote
// on a service only after it has copied the claims of enough other members, or
// every claim from before its start has expired, or if the service was created
// after its start.
type Completeness struct {
	started    time.Time
	synced     map[core.Service]bool
	syncedFrom map[core.Service]map[core.VM]bool
}

// NewCompleteness returns the completeness of a member that started at now.
func NewCompleteness(now time.Time) *Completeness {
	c := &Completeness{started: now}
	c.Forget()
	return c
}

// Forget discards the record of which members' claims were copied.
func (c *Completeness) Forget() {
	c.synced, c.syncedFrom = map[core.Service]bool{}, map[core.Service]map[core.VM]bool{}
}

// Restart treats the member as if it had lost all claims at now.
func (c *Completeness) Restart(now time.Time) {
	c.started = now
	c.Forget()
}

// IsComplete reports whether this member may vote on claims of the service.
func (c *Completeness) IsComplete(svc config.Service, now time.Time) bool {
	if c.synced[svc.Name] || now.Sub(c.started) >= TTL(svc) {
		return true
	}
	created := svc.Created
	return !created.IsZero() && !created.Before(c.started) && now.Sub(created) >= clockSkew
}

// RecordCopy records that the claims of the service were copied from a member
// that knew all of its own. The service is complete after copies from needed
// members.
func (c *Completeness) RecordCopy(service core.Service, from core.VM, needed int) {
	if c.syncedFrom[service] == nil {
		c.syncedFrom[service] = map[core.VM]bool{}
	}
	c.syncedFrom[service][from] = true
	if len(c.syncedFrom[service]) >= needed {
		c.synced[service] = true
	}
}
