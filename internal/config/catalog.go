package config

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Revision is the version that an operator gives to an item of the catalog. For
// each name the highest revision is in force, whether it sets or drops the item.
type Revision uint64

// Item holds the fields that all items of the catalog have.
type Item struct {
	Revision Revision
	Dropped  bool // this revision drops the item; the other fields are empty
	// Text is the item as the operator wrote it, returned when it is read; not
	// interpreted here. What isn't valid UTF-8 is in Source instead.
	Text   string `json:",omitempty"`
	Source []byte `json:",omitempty"`
}

// WithSource returns the item with what the operator wrote. Encoded as text it takes
// half of the space that it takes in base64, also after compression.
func (i Item) WithSource(written []byte) Item {
	if utf8.Valid(written) {
		i.Text = string(written)
	} else {
		i.Source = bytes.Clone(written)
	}
	return i
}

// Written returns what the operator wrote.
func (i Item) Written() []byte {
	if i.Text != "" {
		return []byte(i.Text)
	}
	return i.Source
}

// Split is the share of a route's traffic that one service gets. It is
// proportional to Weight.
type Split struct {
	Service core.Service
	Weight  uint32
}

// Route states which services run the requests for a host and path prefix, and
// how.
type Route struct {
	Item
	Name       string
	Host       string
	Prefix     string // begins and ends with a slash
	Splits     []Split
	Timeout    time.Duration // maximum time that a caller waits for an answer; 0: no limit
	Objective  time.Duration // latency within which an answer has its full value to the caller; 0: not stated
	Attempts   int           // maximum number of targets to which one request is sent
	Priority   int           // 0 is the most urgent
	Public     bool          // callers need no caller key
	Repeatable bool          // requests are idempotent: they may run more than once
}

// Tenancy is the catalog item of a workspace, with its limits and the keys of
// its callers.
type Tenancy struct {
	Item
	Name     core.Workspace
	Rate     float64  // requests per second, as the sum over all VMs; 0: no limit
	Burst    float64  // requests
	Priority int      // 0 is the most urgent
	Keys     []string // the caller keys' secrets in plain text, as the operator wrote them
}

// TargetClass is the catalog item of a service, with the properties that all its
// targets share.
type TargetClass struct {
	Item
	Name           core.Service
	HealthPath     string
	MaxConnections int           // that one target accepts from all VMs together; 0: not stated
	ColdDuration   time.Duration // how long a target stays cold after its start
	ColdRate       float64       // requests per second that a cold target sustains; 0: no limit
	Keyed          bool          // each key has one owner, which alone may run its requests
	WarmUp         time.Duration // how long a key stays slow on a new owner that got no handover from the previous one
}

// Limits is the catalog item with the limits on callers' HTTP requests and
// connections.
type Limits struct {
	Item
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Catalog is the part of the configuration whose items operators change
// individually. It is immutable: a patch creates a new catalog.
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

// Service returns the service with this name, unless it is dropped.
func (c *Catalog) Service(name core.Service) (TargetClass, bool) {
	s, ok := c.Services[name]
	return s, ok && !s.Dropped
}

// KnowsService reports whether a service with this name is or was configured. An empty
// catalog knows every service: targets may announce themselves before the first
// configuration arrives.
func (c *Catalog) KnowsService(name core.Service) bool {
	_, ok := c.Services[name]
	return ok || len(c.Services) == 0
}

// PatchCatalog sets and drops items. An item whose revision is not higher than
// the stored one changes nothing, so that a resend has no effect.
type PatchCatalog struct {
	Routes   []Route
	Tenants  []Tenancy
	Services []TargetClass
	Limits   *Limits
}

// AppliedIn reports whether s, a state that the registry has accepted, already has every
// item of the patch at its revision or a higher one, so that the patch is valid and
// changes nothing. Since revisions never fall, this holds for all later states too.
func (c PatchCatalog) AppliedIn(s *State) bool {
	catalog := s.catalog()
	for _, r := range c.Routes {
		if held, ok := catalog.Routes[r.Name]; !ok || r.Revision > held.Revision {
			return false
		}
	}
	for _, t := range c.Tenants {
		if held, ok := catalog.Tenants[t.Name]; !ok || t.Revision > held.Revision {
			return false
		}
	}
	for _, service := range c.Services {
		if held, ok := catalog.Services[service.Name]; !ok || service.Revision > held.Revision {
			return false
		}
	}
	if c.Limits != nil && c.Limits.Revision > catalog.Limits.Revision {
		return false
	}
	_, err := s.Apply(Command{Change: c})
	return err == nil
}

func (c PatchCatalog) apply(next *State) error {
	current := next.catalog()
	draft := &Catalog{
		Routes:   maps.Clone(current.Routes),
		Tenants:  maps.Clone(current.Tenants),
		Services: maps.Clone(current.Services),
		Limits:   current.Limits,
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
		if err := draft.checkRoute(r, current); err != nil {
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

// checkRoute refuses a route to an unknown or dropped service. A route that is
// not newer than the one in current may name a service that has been dropped
// since: it is a resend of a change that was accepted.
func (c *Catalog) checkRoute(r Route, current *Catalog) error {
	if r.Dropped {
		return nil
	}
	old, known := current.Routes[r.Name]
	stale := known && r.Revision <= old.Revision
	for _, s := range r.Splits {
		service, ok := c.Services[s.Service]
		if !ok || service.Dropped && !stale {
			return result.New(result.InvalidChange, "route %s: unknown service %s", r.Name, s.Service)
		}
	}
	return nil
}

// checkKeys refuses a patch after which two workspaces share a caller key. It
// also refuses a patch that itself gives one key to two workspaces, even if one
// of the two items is outdated and changes nothing.
func (c *Catalog) checkKeys(patched []Tenancy) error {
	patchOwner := map[string]core.Workspace{}
	for _, t := range patched {
		for _, key := range t.Keys {
			if other, ok := patchOwner[key]; ok && other != t.Name {
				return result.New(result.InvalidChange, "workspaces %s and %s share a caller key", other, t.Name)
			}
			patchOwner[key] = t.Name
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

// Retirement records up to which incarnation a target drains.
type Retirement struct {
	Life    core.Incarnation // the target's newest retired incarnation
	Version core.Version     // version of the change that recorded it
}

// maxRetired limits the number of stored retirements. The oldest are removed
// first, since their targets have long been deregistered.
const maxRetired = 1024

// RetireTarget stops new requests to one incarnation of a target, and to earlier
// ones. A target is told that it may stop only after this change was accepted.
type RetireTarget struct {
	Target core.TargetID
	Life   core.Incarnation // the target's newest incarnation to retire
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

// CountEntryVMs stores the number of entry VMs. An entry VM that starts while no
// leader divides the workspaces' rates derives its share from this number.
type CountEntryVMs struct{ Count int }

func (c CountEntryVMs) apply(next *State) error {
	if c.Count <= 0 {
		return result.New(result.InvalidChange, "number of entry VMs is %d, want a positive number", c.Count)
	}
	next.EntryVMs = c.Count
	return nil
}

// IsRetired reports whether an incarnation of a target is retired and gets no
// new requests.
func (s *State) IsRetired(id core.TargetID, incarnation core.Incarnation) bool {
	r, ok := s.Retired[id]
	return ok && r.Life >= incarnation
}

// SetEvacuated stops new requests to all targets of a data centre, or permits
// them again.
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

// RouteOf returns the route for a host with the longest prefix that matches path. Of
// several routes with one host and prefix it returns the one with the highest revision,
// on all VMs the same.
func (c *Catalog) RouteOf(host, path string) (Route, bool) {
	var best Route
	found := false
	for _, r := range c.Routes {
		if !r.Dropped && r.Host == host && strings.HasPrefix(path, r.Prefix) && (!found || r.precedes(best)) {
			best, found = r, true
		}
	}
	return best, found
}

// precedes reports whether r is used in place of other, which also matches a request.
func (r Route) precedes(other Route) bool {
	return cmp.Or(
		cmp.Compare(len(r.Prefix), len(other.Prefix)), cmp.Compare(r.Revision, other.Revision), cmp.Compare(other.Name, r.Name),
	) > 0
}

// catalog returns the current catalog. States stored by older versions may have
// none.
func (s *State) catalog() *Catalog {
	if s.Catalog == nil {
		return newCatalog()
	}
	return s.Catalog
}

// WorkspaceOf returns the workspace to which the caller key with this secret
// belongs.
func (c *Catalog) WorkspaceOf(secret string) (Tenancy, bool) {
	for _, t := range c.Tenants {
		if !t.Dropped && slices.Contains(t.Keys, secret) {
			return t, true
		}
	}
	return Tenancy{}, false
}
