package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// ChangeKind says how a target's treatment changed.
type ChangeKind uint8

// The kinds of changes.
const (
	Ejected    ChangeKind = iota + 1 // set aside as an outlier until Change.Until
	TurnedCold                       // its limit fell for a cold start
	TurnedWarm                       // its limit is whole again
)

// Change is a change of a target's treatment.
type Change struct {
	Target core.Target
	Kind   ChangeKind
	Until  time.Time // end of an ejection
}

// Changes returns what changed since the last call.
func (p *Pool) Changes() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

// noteWarmth notes whether t turned cold or warm.
func (p *Pool) noteWarmth(t *target, wasCold bool) {
	if cold := t.window.Cold(); cold != wasCold {
		kind := TurnedWarm
		if cold {
			kind = TurnedCold
		}
		p.changes = append(p.changes, Change{Target: t.info, Kind: kind})
	}
}
