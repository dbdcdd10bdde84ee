package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// ChangeKind is the kind of a change in how the dispatcher treats a target.
type ChangeKind uint8

// The kinds of changes.
const (
	Ejected    ChangeKind = iota + 1 // ejected as an outlier until Change.Until
	TurnedCold                       // slow start has begun: its limit of requests in flight is reduced
	TurnedWarm                       // slow start has ended: its limit is the number of its slots
)

// Change is a change in how the dispatcher treats a target.
type Change struct {
	Target core.Target
	Kind   ChangeKind
	Until  time.Time // end of an ejection
}

// Changes returns the changes since the previous call.
func (p *Pool) Changes() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

// noteSlowStart records a change if t has entered or left slow start. wasCold is
// its state before.
func (p *Pool) noteSlowStart(t *target, wasCold bool) {
	if cold := t.window.Cold(); cold != wasCold {
		kind := TurnedWarm
		if cold {
			kind = TurnedCold
		}
		p.changes = append(p.changes, Change{Target: t.info, Kind: kind})
	}
}
