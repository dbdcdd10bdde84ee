package timeline

import (
	"cmp"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	bulkRefusals    = 10   // refusals of one kind within a period from which an event is recorded
	maxRefusalKinds = 1024 // kinds counted within a period; further kinds are ignored to bound memory
)

// Refusal is the kind of a refused request, by which refusals are counted.
type Refusal struct {
	Code      result.Code
	Service   core.Service
	Workspace core.Workspace
}

// Refusals counts the refused requests of one period by kind.
type Refusals struct{ counts map[Refusal]uint64 }

// NewRefusals returns a counter without any refusals.
func NewRefusals() *Refusals { return &Refusals{counts: map[Refusal]uint64{}} }

// Add counts one refused request.
func (r *Refusals) Add(k Refusal) {
	if _, ok := r.counts[k]; ok || len(r.counts) < maxRefusalKinds {
		r.counts[k]++
	}
}

// Flush returns one event for each kind with at least bulkRefusals refusals, in a
// fixed order, and starts a new period.
func (r *Refusals) Flush() []Event {
	var events []Event
	for k, n := range r.counts {
		if n >= bulkRefusals {
			events = append(events, Event{
				Kind: RefusedInBulk, Code: k.Code, Service: k.Service, Workspace: k.Workspace, Count: n,
			})
		}
	}
	clear(r.counts)
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Code, b.Code), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
	})
	return events
}
