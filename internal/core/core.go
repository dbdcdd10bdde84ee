// Package core defines the types that all packages share: the identifiers of
// VMs, cells, services, targets and requests, and the ordered numbers (epoch,
// fence, version) that decide which of two messages is newer. The types are
// plain values; the package does no input or output.
package core

import (
	"cmp"
	"fmt"
	"time"
)

// VM is the name of a virtual machine that runs a daemon.
type VM string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a group of data centres. A network partition can
// separate regions from each other.
type Region string

// Cell is the name of a group of daemons in one data centre. Only the daemons
// of a cell send requests to the targets of that cell.
type Cell string

// Workspace is the name of a tenant.
type Workspace string

// Service is the name under which callers address a group of equivalent
// targets.
type Service string

// TargetID identifies a target. It stays the same when the target restarts.
type TargetID string

// Incarnation identifies one run of a target, from its start to its end. It is
// larger after each restart.
type Incarnation uint64

// RequestID identifies a request on all daemons that handle it.
type RequestID string

// Version counts the accepted changes of the configuration.
type Version uint64

// Shard is the index, from 0, of one part of a service's key space.
type Shard uint32

// Epoch numbers the successive configurations of a cell and its members.
type Epoch uint64

// Fence is a fencing token. A target that checks fences refuses every message
// with a smaller fence than the largest one it has received for the same shard.
type Fence struct {
	Epoch   Epoch  // epoch of the cell's membership
	Ballot  uint64 // election ballot of the coordinator that issued it
	Counter uint64 // counter within the ballot
}

// Compare orders fences by epoch, then ballot, then counter; it returns -1, 0
// or +1 as cmp.Compare does.
func (f Fence) Compare(o Fence) int {
	return cmp.Or(
		cmp.Compare(f.Epoch, o.Epoch),
		cmp.Compare(f.Ballot, o.Ballot),
		cmp.Compare(f.Counter, o.Counter),
	)
}

// Less reports whether f is older than o.
func (f Fence) Less(o Fence) bool { return f.Compare(o) < 0 }

// IsZero reports whether f is the zero value, which is never issued.
func (f Fence) IsZero() bool { return f == Fence{} }

// String formats the fence as "epoch.ballot.counter", as it is sent to targets.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d.%d", f.Epoch, f.Ballot, f.Counter)
}

// ParseFence parses the output of Fence.String.
func ParseFence(s string) (Fence, error) {
	var f Fence
	var rest string
	n, _ := fmt.Sscanf(s+" ", "%d.%d.%d %s", &f.Epoch, &f.Ballot, &f.Counter, &rest)
	if n != 3 {
		return Fence{}, fmt.Errorf("fence %q: want epoch.ballot.counter", s)
	}
	return f, nil
}

// Target holds the properties that a target announces about itself.
type Target struct {
	ID          TargetID
	Service     Service
	DataCentre  DataCentre
	Address     string // host:port of its HTTP listener
	Incarnation Incarnation
	Slots       int  // requests it runs concurrently
	Connections int  // connections it accepts from all daemons of the cell together
	Draining    bool // the target has asked to be drained and gets no new requests
	// IdleTimeout is how long the target keeps an idle connection open, as it states
	// in its answers; zero if unknown. Only the entry VM that heard it knows it.
	IdleTimeout time.Duration
}
