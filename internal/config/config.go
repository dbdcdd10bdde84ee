// Package config is the live configuration: what operators have accepted, as
// one immutable state, and the commands that turn one state into the next. It
// is a decisions layer only. The registry replicates the commands; every daemon
// holds a copy of the state.
package config

import (
	"crypto/sha256"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// KeyHash is the SHA-256 of a caller key's secret. The secret itself is never
// part of the state.
type KeyHash [sha256.Size]byte

// HashSecret returns the hash under which a caller key is stored.
func HashSecret(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// DataCentreStatus says whether a data centre takes new work.
type DataCentreStatus uint8

// The statuses of a data centre.
const (
	DataCentreActive       DataCentreStatus = iota + 1 // takes work
	DataCentreDraining                                 // hands its shards over
	DataCentreOutOfService                             // takes no work
	DataCentreDead                                     // stated dead by an operator: its leases count as ended
)

// DataCentre is one data centre.
type DataCentre struct {
	Name   core.DataCentre
	Region core.Region
	Status DataCentreStatus
}

// Cell is one cell and its members.
type Cell struct {
	Name       core.Cell
	DataCentre core.DataCentre
	Members    []core.VM  // sorted
	Epoch      core.Epoch // raised at each change of Members
	Previous   []core.VM  // members before the newest change, until the cell confirmed it
	// FloorPending is set on a new cell until every other cell has stopped using
	// the larger floors of the division without it.
	FloorPending bool
}

// VM is one VM of the system.
type VM struct {
	Name         core.VM
	Cell         core.Cell
	InnerAddress string // host:port of the inner listener
}

// Workspace is one tenant and its limits, counted over all VMs together.
type Workspace struct {
	Name  core.Workspace
	Rate  float64 // requests a second
	Burst float64 // requests
}

// CallerKey is one credential of a workspace.
type CallerKey struct {
	ID        string // public identifier
	Workspace core.Workspace
	Hash      KeyHash
}

// Service is one kind of target.
type Service struct {
	Name             core.Service
	Keyed            bool   // requests carry a key that has one owner
	KeyHeader        string // header with the key; empty: the first path segment after the service
	Shards           uint32 // divisions of the key space; 0 unless Keyed
	ChecksFence      bool   // targets refuse orders with an old fence
	RepeatableGET    bool   // GET and HEAD may be sent twice
	Deadline         time.Duration
	MaxBodyBytes     int64
	MaxHeldBytes     int64 // answers up to this size are held until whole
	QueuePerSlot     int   // waiting requests for each slot
	IdempotencyTTL   time.Duration
	Created          time.Time // when the service was first accepted; zero: not known
	DispatchGroup    int       // targets of one cell that one member dispatches, at most
	ConnectionsLimit int       // for each target, over the cell; 0: as announced
}

// ShardHomes says which cell is home to each shard of a service.
type ShardHomes struct {
	Cells  []core.Cell
	Home   []uint16                // index into Cells for each shard
	Moving map[core.Shard]HomeMove // homes that their cells are asked to give up
}

// State is one accepted configuration. It is immutable: Apply returns another.
type State struct {
	Version     core.Version
	DataCentres map[core.DataCentre]DataCentre
	Cells       map[core.Cell]Cell
	VMs         map[core.VM]VM
	Workspaces  map[core.Workspace]Workspace
	CallerKeys  map[KeyHash]CallerKey
	Services    map[core.Service]Service
	Homes       map[core.Service]ShardHomes
	Drained     map[core.TargetID]bool    // targets that operators drain
	Catalog     *Catalog                  // routes, workspaces and services that are changed item by item
	Evacuated   map[core.DataCentre]bool  // data centres whose targets get no new work
	Keys        map[core.Service]KeyTable // owners of the keys of keyed services
	// Retired are targets that said that they leave; they get no new work.
	Retired map[core.TargetID]Retirement
	// EntryVMs is about how many entry VMs there are; 0: not known yet.
	EntryVMs int
	Answered Answers
}

// NewState returns the empty configuration, version 0.
func NewState() *State {
	return &State{
		DataCentres: map[core.DataCentre]DataCentre{},
		Cells:       map[core.Cell]Cell{},
		VMs:         map[core.VM]VM{},
		Workspaces:  map[core.Workspace]Workspace{},
		CallerKeys:  map[KeyHash]CallerKey{},
		Services:    map[core.Service]Service{},
		Homes:       map[core.Service]ShardHomes{},
		Drained:     map[core.TargetID]bool{},
		Catalog:     newCatalog(),
		Evacuated:   map[core.DataCentre]bool{},
		Keys:        map[core.Service]KeyTable{},
		Retired:     map[core.TargetID]Retirement{},
		Answered:    newAnswers(),
	}
}

// Authenticate returns the workspace of a caller key's secret. The look-up is
// by hash, so that its timing tells nothing about other secrets.
func (s *State) Authenticate(secret string) (core.Workspace, bool) {
	k, ok := s.CallerKeys[HashSecret(secret)]
	return k.Workspace, ok
}

// Home returns the home cell of a shard.
func (s *State) Home(service core.Service, shard core.Shard) (core.Cell, bool) {
	h, ok := s.Homes[service]
	if !ok || int(shard) >= len(h.Home) {
		return "", false
	}
	return h.Cells[h.Home[shard]], true
}
