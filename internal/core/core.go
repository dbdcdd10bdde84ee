// Package core holds the types that every concern shares: the names of
// things, and the ordered numbers (epoch, fence, version) that decide which of
// two statements is newer. It is a decisions layer only: plain values without
// input or output.
package core

import (
	"cmp"
	"fmt"
)

// VM names one virtual machine that runs a daemon of the system.
type VM string

// DataCentre names one data centre.
type DataCentre string

// Region names a group of data centres that can lose contact with other groups.
type Region string

// Cell names a group of daemons of one data centre which alone talk to a set
// of targets.
type Cell string

// Workspace names one tenant.
type Workspace string

// Service names a kind of target that callers address.
type Service string

// TargetID names one target; it stays the same over restarts of the target.
type TargetID string

// Incarnation counts the starts of one target. A larger one is newer.
type Incarnation uint64

// RequestID identifies one request on its way through the system.
type RequestID string

// Version counts the accepted changes of the configuration.
type Version uint64

// Shard is the index of one division of a service's key space, from 0.
type Shard uint32

// Epoch is the registry's term in which a statement was made.
type Epoch uint64

// Fence is a fencing token. A target that checks fences refuses every order
// that carries a smaller fence than one it has seen for the same shard.
type Fence struct {
	Epoch   Epoch  // configuration epoch of the cell's membership
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

// IsZero reports whether f was never issued.
func (f Fence) IsZero() bool { return f == Fence{} }

// String renders the fence as "epoch.ballot.counter", the form that targets
// receive.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d.%d", f.Epoch, f.Ballot, f.Counter)
}

// ParseFence reads the form that String writes.
func ParseFence(s string) (Fence, error) {
	var f Fence
	var rest string
	n, _ := fmt.Sscanf(s+" ", "%d.%d.%d %s", &f.Epoch, &f.Ballot, &f.Counter, &rest)
	if n != 3 {
		return Fence{}, fmt.Errorf("fence %q: want epoch.ballot.counter", s)
	}
	return f, nil
}

// Target is what a target announces of itself.
type Target struct {
	ID          TargetID
	Service     Service
	DataCentre  DataCentre
	Address     string // host:port of its HTTP listener
	Incarnation Incarnation
	Slots       int // requests it serves at once
	Connections int // connections it accepts over the whole cell
	Draining    bool
}
