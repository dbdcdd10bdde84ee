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

// KeySpace is the number of keys of a keyed service, from 0.
const KeySpace = 1 << 16

// KeyRange is a range of keys and the one target that may hold it.
type KeyRange struct {
	First, Last uint32 // inclusive
	Owner       core.TargetID
	Life        core.Incarnation // of Owner; another life has lost what this one held
	Fence       core.Version     // rises with each change of owner of any of the keys
	Handover    string           // proof of release by the owner before, for Owner; empty: none
}

// Contains reports whether key is in r.
func (r KeyRange) Contains(key uint32) bool { return r.First <= key && key <= r.Last }

// KeyTable is the owners of a service's keys, in the order of the keys.
type KeyTable []KeyRange

// Find returns the range that contains key.
func (t KeyTable) Find(key uint32) (KeyRange, bool) {
	i, _ := slices.BinarySearchFunc(t, key, func(r KeyRange, k uint32) int {
		switch {
		case r.Last < k:
			return -1
		case r.First > k:
			return 1
		default:
			return 0
		}
	})
	if i < len(t) && t[i].Contains(key) {
		return t[i], true
	}
	return KeyRange{}, false
}

// AssignKeys gives ranges of keys new owners. The fence of each is the version
// that the change leads to.
type AssignKeys struct {
	Service core.Service
	Ranges  []KeyRange // disjoint; Fence is set by the state
}

func (c AssignKeys) apply(next *State) error {
	added := slices.SortedFunc(slices.Values(c.Ranges), func(a, b KeyRange) int { return int(a.First) - int(b.First) })
	for i, r := range added {
		if r.Last < r.First || r.Last >= KeySpace || i > 0 && added[i-1].Last >= r.First {
			return result.New(result.InvalidChange, "service %s: key ranges overlap or are out of bounds at %d", c.Service, r.First)
		}
		added[i].Fence = next.Version + 1
	}
	next.Keys[c.Service] = overlay(next.Keys[c.Service], added)
	return nil
}

// SplitKeys divides ranges without a change of owner or fence.
type SplitKeys struct {
	Service core.Service
	At      []uint32 // keys that begin a range
}

func (c SplitKeys) apply(next *State) error {
	table := slices.Clone(next.Keys[c.Service])
	for _, at := range c.At {
		i := slices.IndexFunc(table, func(r KeyRange) bool { return r.First < at && at <= r.Last })
		if i < 0 {
			continue // a range begins there already, or has no owner
		}
		second := table[i]
		second.First = at
		table[i].Last = at - 1
		table = slices.Insert(table, i+1, second)
	}
	next.Keys[c.Service] = table
	return nil
}

// overlay returns table with the parts that added covers replaced.
func overlay(table KeyTable, added []KeyRange) KeyTable {
	merged := make(KeyTable, 0, len(table)+2*len(added))
	merged = append(merged, added...)
	for _, old := range table {
		first := old.First
		for _, r := range added {
			if r.Last < first || r.First > old.Last {
				continue
			}
			if r.First > first {
				left := old
				left.First, left.Last = first, r.First-1
				merged = append(merged, left)
			}
			first = r.Last + 1
		}
		if first <= old.Last {
			old.First = first
			merged = append(merged, old)
		}
	}
	slices.SortFunc(merged, func(a, b KeyRange) int { return int(a.First) - int(b.First) })
	return merged
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
