package config

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Revision is an operator's version of one item. The highest one of a name is
// in force, whether it sets the item or drops it.
type Revision uint64

// Item is what every item of the catalog carries.
type Item struct {
	Revision Revision
	Dropped  bool   // the revision dropped the item; its content is empty
	Source   []byte // the item as the operator wrote it, for reading it back; not interpreted here
}

// Split is one part of a route's traffic.
type Split struct {
	Service core.Service
	Weight  uint32
}

// Route says which service runs requests of one host and path prefix, and how.
type Route struct {
	Item
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Splits     []Split
	Timeout    time.Duration // longest wait of a caller; 0: none
	Objective  time.Duration // latency within which an answer has its full value; 0: none stated
	Attempts   int           // targets that one request may be sent to
	Priority   int           // 0 is the most urgent
	Public     bool          // callers need no key
	Repeatable bool          // a request may run more than once
}

// Tenancy is a workspace as an item: its limits and the keys of its callers.
type Tenancy struct {
	Item
	Name     core.Workspace
	Rate     float64 // requests a second over all VMs; 0: no limit
	Burst    float64 // requests
	Priority int     // 0 is the most urgent
	Keys     []string
}

// TargetClass is a service as an item: what all of its targets have in common.
type TargetClass struct {
	Item
	Name           core.Service
	HealthPath     string
	MaxConnections int           // that one target accepts from all VMs; 0: not stated
	ColdDuration   time.Duration // after the start of a target
	ColdRate       float64       // requests a second that a cold target bears; 0: no limit
	Keyed          bool          // keys have one owner each
	WarmUp         time.Duration // while a key without a handover is slow
}

// Limits bound what a caller may send.
type Limits struct {
	Item
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is the part of the configuration that operators change item by item.
// It is immutable: a patch makes another.
type Catalog struct {
	Routes   map[string]Route
	Tenants  map[core.Workspace]Tenancy
	Services map[core.Service]TargetClass
	Limits   Limits
}

func newCatalog() *Catalog {
	return &Catalog{
		Routes:   map[string]Route{},
		Tenants:  map[core.Workspace]Tenancy{},
		Services: map[core.Service]TargetClass{},
	}
}

// Service returns a service that is in force.
func (c *Catalog) Service(name core.Service) (TargetClass, bool) {
	s, ok := c.Services[name]
	return s, ok && !s.Dropped
}

// PatchCatalog sets and drops items. Items that are not newer than what is
// held change nothing, which makes a resend harmless.
type PatchCatalog struct {
	Routes   []Route
	Tenants  []Tenancy
	Services []TargetClass
	Limits   *Limits
}

func (c PatchCatalog) apply(next *State) error {
	held := next.catalog()
	draft := &Catalog{
		Routes:   maps.Clone(held.Routes),
		Tenants:  maps.Clone(held.Tenants),
		Services: maps.Clone(held.Services),
		Limits:   held.Limits,
	}
	for _, s := range c.Services {
		if old, ok := draft.Services[s.Name]; !ok || s.Revision > old.Revision {
			draft.Services[s.Name] = s
		}
	}
	for _, t := range c.Tenants {
		if old, ok := draft.Tenants[t.Name]; !ok || t.Revision > old.Revision {
			draft.Tenants[t.Name] = t
		}
	}
	for _, r := range c.Routes {
		if err := draft.checkRoute(r, held); err != nil {
			return err
		}
		if old, ok := draft.Routes[r.Name]; !ok || r.Revision > old.Revision {
			draft.Routes[r.Name] = r
		}
	}
	if c.Limits != nil && c.Limits.Revision > draft.Limits.Revision {
		draft.Limits = *c.Limits
	}
	if err := draft.checkKeys(c.Tenants); err != nil {
		return err
	}
	next.Catalog = draft
	return nil
}

// checkRoute refuses a route to a service that was never known. A route that
// is not newer than the held one may name a service that was dropped since: it
// is a resend of a change that was accepted.
func (c *Catalog) checkRoute(r Route, held *Catalog) error {
	if r.Dropped {
		return nil
	}
	old, known := held.Routes[r.Name]
	stale := known && r.Revision <= old.Revision
	for _, s := range r.Splits {
		service, ok := c.Services[s.Service]
		if !ok || service.Dropped && !stale {
			return result.New(result.InvalidChange, "route %s: unknown service %s", r.Name, s.Service)
		}
	}
	return nil
}

// checkKeys refuses a patch after which two workspaces share a caller key, or
// which gives one key to two workspaces itself.
func (c *Catalog) checkKeys(patched []Tenancy) error {
	own := map[string]core.Workspace{}
	for _, t := range patched {
		for _, key := range t.Keys {
			if other, ok := own[key]; ok && other != t.Name {
				return result.New(result.InvalidChange, "workspaces %s and %s share a caller key", other, t.Name)
			}
			own[key] = t.Name
		}
	}
	owner := map[string]core.Workspace{}
	for _, t := range c.Tenants {
		for _, key := range t.Keys {
			if other, ok := owner[key]; ok && other != t.Name {
				return result.New(result.InvalidChange, "workspaces %s and %s share a caller key", other, t.Name)
			}
			owner[key] = t.Name
		}
	}
	return nil
}

// Retirement is the life of a target that leaves.
type Retirement struct {
	Life    core.Incarnation
	Version core.Version // at which it was accepted
}

// maxRetired bounds the retirements that are kept; the oldest go first, whose
// targets are long gone.
const maxRetired = 1024

// RetireTarget ends new work for one life of a target. A target is told that
// it may go only after this was accepted.
type RetireTarget struct {
	Target core.TargetID
	Life   core.Incarnation
}

func (c RetireTarget) apply(next *State) error {
	if c.Target == "" {
		return result.New(result.InvalidChange, "retirement without a target")
	}
	if old, ok := next.Retired[c.Target]; ok && old.Life >= c.Life {
		return nil
	}
	next.Retired[c.Target] = Retirement{Life: c.Life, Version: next.Version + 1}
	if len(next.Retired) > maxRetired {
		oldest := c.Target
		for id, r := range next.Retired {
			if r.Version < next.Retired[oldest].Version {
				oldest = id
			}
		}
		delete(next.Retired, oldest)
	}
	return nil
}

// CountEntryVMs keeps how many entry VMs there are, so that those that start
// while no leader divides rates among them know what part they may use.
type CountEntryVMs struct{ Count int }

func (c CountEntryVMs) apply(next *State) error {
	if c.Count <= 0 {
		return result.New(result.InvalidChange, "%d entry VMs", c.Count)
	}
	next.EntryVMs = c.Count
	return nil
}

// IsRetired reports whether a life of a target gets no new work.
func (s *State) IsRetired(id core.TargetID, life core.Incarnation) bool {
	r, ok := s.Retired[id]
	return ok && r.Life >= life
}

// SetEvacuated takes the targets of a data centre out of service, or back in.
type SetEvacuated struct {
	DataCentre core.DataCentre
	Evacuated  bool
}

func (c SetEvacuated) apply(next *State) error {
	if c.DataCentre == "" {
		return result.New(result.InvalidChange, "evacuation without a data centre")
	}
	if c.Evacuated {
		next.Evacuated[c.DataCentre] = true
	} else {
		delete(next.Evacuated, c.DataCentre)
	}
	return nil
}

// RouteOf returns the route of a host with the longest prefix of path.
func (c *Catalog) RouteOf(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if !r.Dropped && r.Host == host && strings.HasPrefix(path, r.Prefix) && (!found || len(r.Prefix) > len(best.Prefix)) {
			best, found = r, true
		}
	}
	return best, found
}

// catalog returns the catalog in force; an older stored state may have none.
func (s *State) catalog() *Catalog {
	if s.Catalog == nil {
		return newCatalog()
	}
	return s.Catalog
}

// WorkspaceOf returns the workspace that a caller key belongs to.
func (c *Catalog) WorkspaceOf(secret string) (Tenancy, bool) {
	for _, t := range c.Tenants {
		if !t.Dropped && slices.Contains(t.Keys, secret) {
			return t, true
		}
	}
	return Tenancy{}, false
}
