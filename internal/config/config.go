// Package config defines the live configuration as one immutable state, and the
// commands that turn one state into the next. The registry replicates the
// commands; every daemon holds a copy of the state. The package does no input or
// output and contains no encoding.
//
// The state serves two kinds of process. A daemon (package daemon) reads
// Workspaces, CallerKeys, Services, Homes and Drained. The control and entry VMs of
// package platform read Catalog, Keys, Evacuated, Retired and EntryVMs instead: there
// a workspace is a Tenancy, and a service is a TargetClass.
package config

import (
	"crypto/sha256"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// KeyHash is the SHA-256 of a caller key's secret. State.CallerKeys holds only
// hashes; the catalog holds secrets in plain text (Tenancy.Keys).
type KeyHash [sha256.Size]byte

// HashSecret returns the hash by which the caller key with this secret is stored.
func HashSecret(secret string) KeyHash { return sha256.Sum256([]byte(secret)) }

// DataCentreStatus states whether a data centre serves requests and may own
// shards. Its numbers are stored.
type DataCentreStatus uint8

// The statuses of a data centre.
const (
	DataCentreActive       DataCentreStatus = iota + 1 // serves requests
	DataCentreDraining                                 // hands its shards over to other data centres
	DataCentreOutOfService                             // serves no requests
	DataCentreDead                                     // declared dead by an operator: its leases count as expired
)

// DataCentre is one data centre.
type DataCentre struct {
	Name   core.DataCentre
	Region core.Region
	Status DataCentreStatus
}

// Cell is a cell and the VMs that are its members.
type Cell struct {
	Name       core.Cell
	DataCentre core.DataCentre
	Members    []core.VM  // sorted
	Epoch      core.Epoch // increases with each change of the cell
	Previous   []core.VM  // members before the latest change; empty once the cell has confirmed the change
	// FloorPending is set on a new cell that must not use its durable shares
	// (floors) of the workspaces' rates yet: other cells may still use the larger
	// floors that they had before this cell was added.
	FloorPending bool
}

// VM is a VM that runs a daemon.
type VM struct {
	Name         core.VM
	Cell         core.Cell
	InnerAddress string // host:port of the inner listener
}

// Workspace is a tenant with its limits, which apply to the sum over all VMs.
type Workspace struct {
	Name  core.Workspace
	Rate  float64 // requests per second
	Burst float64 // requests
}

// CallerKey is a credential of a workspace.
type CallerKey struct {
	ID        string // public identifier
	Workspace core.Workspace
	Hash      KeyHash
}

// Service is a group of equivalent targets and their common properties.
type Service struct {
	Name             core.Service
	Keyed            bool   // each request has a key, and only the target that owns the key may run it
	KeyHeader        string // header field that holds the key; empty: the first path segment after the service
	Shards           uint32 // number of parts of the key space; 0 unless Keyed
	ChecksFence      bool   // targets refuse messages with an outdated fence
	RepeatableGET    bool   // GET and HEAD requests may be retried
	Deadline         time.Duration
	MaxBodyBytes     int64
	MaxHeldBytes     int64 // answers up to this size are buffered until complete
	QueuePerSlot     int   // maximum number of queued requests for each slot
	IdempotencyTTL   time.Duration
	Created          time.Time // when the service was first accepted; zero: unknown
	DispatchGroup    int       // number of targets that are assigned to one member of a cell as a group; 0: default
	ConnectionsLimit int       // for each target, from all members of the cell together; 0: as announced by the target
}

// ShardHomes holds the home cell of each shard of a keyed service. Only targets of
// that cell may own the shard.
type ShardHomes struct {
	Cells  []core.Cell
	Home   []uint16                // for each shard, the index of its home in Cells
	Moving map[core.Shard]HomeMove // requested moves of homes to which the cells have not agreed yet
}

// State is the configuration at one version. It is immutable: Apply returns a
// new state.
//
// Three fields keep new requests from targets: Drained names targets that an operator
// drained, in all incarnations until the operator undoes it; Retired names targets
// that announced that they drain, up to the announced incarnation; Evacuated names
// data centres all of whose targets are drained.
type State struct {
	Version     core.Version
	DataCentres map[core.DataCentre]DataCentre
	Cells       map[core.Cell]Cell
	VMs         map[core.VM]VM
	Workspaces  map[core.Workspace]Workspace
	CallerKeys  map[KeyHash]CallerKey
	Services    map[core.Service]Service
	Homes       map[core.Service]ShardHomes
	Drained     map[core.TargetID]bool    // targets that operators have drained
	Catalog     *Catalog                  // items that operators change individually
	Evacuated   map[core.DataCentre]bool  // data centres whose targets get no new requests
	Keys        map[core.Service]KeyTable // owners of the keys of each keyed service
	// Retired holds the targets that have announced that they drain. Their
	// incarnations up to the recorded one get no new requests.
	Retired map[core.TargetID]Retirement
	// EntryVMs is the approximate number of entry VMs; 0: not known yet.
	EntryVMs int
	Answered Answers
}

// NewState returns the empty configuration with version 0.
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

// Authenticate returns the workspace of the caller key with this secret. The
// lookup is by hash, so that its timing reveals nothing about other secrets.
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
