package config

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Command is a request to change the configuration.
type Command struct {
	RequestID string       // the same on a resend, which gets the first answer
	Expected  core.Version // version on which the change is based; the command is refused at any other; 0: any version
	Change    Change
	At        time.Time // when the proposer received the command; zero: unknown
	Digest    Digest    // of Change, identical on all replicas; distinguishes a resend from another change with the same id
}

// Change is one change of the configuration. Only types of this package
// implement it.
type Change interface {
	// apply modifies next, a copy of the state whose maps may be written. It makes
	// all checks before its first modification: after an error next is unchanged.
	apply(next *State) error
}

// Bootstrap is the first change, by which an empty registry gets its data
// centres and cells.
type Bootstrap struct {
	DataCentres []DataCentre
	Cells       []PutCell
}

// PutDataCentre adds a data centre or changes its status.
type PutDataCentre struct{ DataCentre DataCentre }

// PutCell adds a cell or replaces its members. Cell.Epoch is ignored: the state
// assigns the next epoch.
type PutCell struct {
	Cell Cell
	VMs  []VM
}

// ActivateFloor lets a new cell use its durable shares (floors) of the
// workspaces' rates. The leader proposes it once every other cell uses the
// smaller floors that take the new cell into account.
type ActivateFloor struct{ Cell core.Cell }

// PutWorkspace adds a workspace or replaces its limits.
type PutWorkspace struct{ Workspace Workspace }

// DeleteWorkspace removes a workspace and its caller keys.
type DeleteWorkspace struct{ Name core.Workspace }

// PutCallerKey adds a caller key.
type PutCallerKey struct{ Key CallerKey }

// DeleteCallerKey removes the caller key with a public identifier.
type DeleteCallerKey struct{ ID string }

// PutService adds a service or replaces its properties.
type PutService struct{ Service Service }

// DeleteService removes a service.
type DeleteService struct{ Name core.Service }

// Apply returns the state after c. The receiver is not modified. For a resend of
// an answered request it returns the receiver and no error.
func (s *State) Apply(c Command) (*State, error) {
	d := s.Draft()
	v, err := d.Apply(c)
	if err != nil || v <= s.Version {
		return s, err
	}
	return d.State(), nil
}

// Draft is a modifiable copy of a state, to which several commands are applied
// before the result is published. Commands must be applied in log order.
type Draft struct{ next *State }

// Draft returns a draft with a copy of s.
func (s *State) Draft() Draft { return Draft{s.clone()} }

// State returns the resulting state. The draft must not be used afterwards.
func (d Draft) State() *State { return d.next }

// Version returns the current version of the draft.
func (d Draft) Version() core.Version { return d.next.Version }

// Apply applies c and returns the resulting version. For a resend it returns the
// version of the first answer and changes nothing. After an error the draft is
// unchanged.
func (d Draft) Apply(c Command) (core.Version, error) {
	next := d.next
	if a, ok := next.Answered.Find(c.RequestID); ok {
		if a.Digest != c.Digest {
			return 0, result.New(result.RequestIDReused,
				"request id %s was already used for a different change, accepted as version %d", c.RequestID, a.Version)
		}
		return a.Version, nil
	}
	if c.Expected != 0 && c.Expected != next.Version {
		return 0, result.New(result.VersionConflict,
			"version %d is in force, the change expects %d", next.Version, c.Expected)
	}
	before := next.Services
	if _, ok := c.Change.(PutService); ok {
		before = maps.Clone(before)
	}
	if err := c.Change.apply(next); err != nil {
		return 0, fmt.Errorf("apply %T: %w", c.Change, err)
	}
	if put, ok := c.Change.(PutService); ok {
		next.setCreated(put.Service.Name, before, c.At)
	}
	next.Version++
	next.Answered.add(c.RequestID, Answer{Version: next.Version, Digest: c.Digest})
	return next.Version, nil
}

// setCreated sets the time at which a service was first accepted. A service that
// is replaced keeps its time.
func (s *State) setCreated(name core.Service, before map[core.Service]Service, at time.Time) {
	svc := s.Services[name]
	svc.Created = at
	if old, ok := before[name]; ok {
		svc.Created = old.Created
	}
	s.Services[name] = svc
}

func (s *State) clone() *State {
	return &State{
		Version:     s.Version,
		DataCentres: maps.Clone(s.DataCentres),
		Cells:       maps.Clone(s.Cells),
		VMs:         maps.Clone(s.VMs),
		Workspaces:  maps.Clone(s.Workspaces),
		CallerKeys:  maps.Clone(s.CallerKeys),
		Services:    maps.Clone(s.Services),
		Homes:       maps.Clone(s.Homes),
		Drained:     maps.Clone(s.Drained),
		Catalog:     s.Catalog,
		Evacuated:   maps.Clone(s.Evacuated),
		Keys:        maps.Clone(s.Keys),
		Retired:     maps.Clone(s.Retired),
		EntryVMs:    s.EntryVMs,
		Answered:    s.Answered.clone(),
	}
}

func (c Bootstrap) apply(next *State) error {
	if next.Version != 0 {
		return result.New(result.InvalidChange, "bootstrap needs an empty registry, but it has version %d", next.Version)
	}
	draft := next.clone()
	for _, dc := range c.DataCentres {
		if err := (PutDataCentre{dc}).apply(draft); err != nil {
			return err
		}
	}
	for _, cell := range c.Cells {
		if err := cell.apply(draft); err != nil {
			return err
		}
	}
	*next = *draft
	return nil
}

func (c PutDataCentre) apply(next *State) error {
	if c.DataCentre.Name == "" {
		return result.New(result.InvalidChange, "data centre without a name")
	}
	next.DataCentres[c.DataCentre.Name] = c.DataCentre
	next.placeHomes()
	return nil
}

func (c PutCell) apply(next *State) error {
	if _, ok := next.DataCentres[c.Cell.DataCentre]; !ok {
		return result.New(result.InvalidChange, "cell %s: unknown data centre %s", c.Cell.Name, c.Cell.DataCentre)
	}
	cell := c.Cell
	cell.Members = slices.Sorted(slices.Values(cell.Members))
	prev, known := next.Cells[cell.Name]
	cell, err := changeMembers(prev, cell, next.DataCentres[cell.DataCentre].Status)
	if err != nil {
		return err
	}
	cell.FloorPending = prev.FloorPending || !known && len(next.Workspaces) > 0
	next.Cells[cell.Name] = cell
	for _, vm := range c.VMs {
		vm.Cell = cell.Name
		next.VMs[vm.Name] = vm
	}
	next.placeHomes()
	return nil
}

func (c ActivateFloor) apply(next *State) error {
	cell, ok := next.Cells[c.Cell]
	if !ok {
		return result.New(result.NotFound, "no cell is named %s", c.Cell)
	}
	cell.FloorPending = false
	next.Cells[c.Cell] = cell
	return nil
}

func (c PutWorkspace) apply(next *State) error {
	w := c.Workspace
	if w.Name == "" || w.Rate < 0 || w.Burst < 0 {
		return result.New(result.InvalidChange, "workspace %q: want a name, and a rate and a burst that are not negative", w.Name)
	}
	next.Workspaces[w.Name] = w
	return nil
}

func (c DeleteWorkspace) apply(next *State) error {
	if _, ok := next.Workspaces[c.Name]; !ok {
		return result.New(result.NotFound, "no workspace is named %s", c.Name)
	}
	delete(next.Workspaces, c.Name)
	maps.DeleteFunc(next.CallerKeys, func(_ KeyHash, k CallerKey) bool { return k.Workspace == c.Name })
	return nil
}

func (c PutCallerKey) apply(next *State) error {
	if _, ok := next.Workspaces[c.Key.Workspace]; !ok {
		return result.New(result.InvalidChange, "caller key %s: unknown workspace %s", c.Key.ID, c.Key.Workspace)
	}
	next.CallerKeys[c.Key.Hash] = c.Key
	return nil
}

func (c DeleteCallerKey) apply(next *State) error {
	before := len(next.CallerKeys)
	maps.DeleteFunc(next.CallerKeys, func(_ KeyHash, k CallerKey) bool { return k.ID == c.ID })
	if len(next.CallerKeys) == before {
		return result.New(result.NotFound, "no caller key has the id %s", c.ID)
	}
	return nil
}

func (c PutService) apply(next *State) error {
	if c.Service.Name == "" {
		return result.New(result.InvalidChange, "service without a name")
	}
	if c.Service.Keyed && c.Service.Shards == 0 {
		return result.New(result.InvalidChange, "service %s: a keyed service needs shards", c.Service.Name)
	}
	if old, ok := next.Services[c.Service.Name]; ok && old.Keyed && (!c.Service.Keyed || old.Shards != c.Service.Shards) {
		return result.New(result.InvalidChange, "service %s: the number of shards cannot be changed, since keys would change owners", c.Service.Name)
	}
	next.Services[c.Service.Name] = c.Service
	next.placeHomes()
	return nil
}

func (c DeleteService) apply(next *State) error {
	if _, ok := next.Services[c.Name]; !ok {
		return result.New(result.NotFound, "no service is named %s", c.Name)
	}
	delete(next.Services, c.Name)
	delete(next.Homes, c.Name)
	return nil
}
