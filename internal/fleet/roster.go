package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TargetState is what entry VMs know of a target.
type TargetState struct {
	core.Target
	Gone    bool
	ColdFor time.Duration // how much longer it is slow after its start
	// ColdAllowance is how many requests the asking VM may send to it in one
	// second while it is cold; or NoLimit, or Undecided.
	ColdAllowance int
	Granted       core.Version // highest fence of the keys that it was granted
}

// Changed returns for an entry VM the targets that changed after sequence of
// term, all of them for another term.
func (b *Book) Changed(vm core.VM, term, sequence uint64, now time.Time) []TargetState {
	if term != b.term {
		sequence = 0
	}
	var changed []TargetState
	for _, t := range b.targets {
		if t.changed <= sequence {
			continue
		}
		changed = append(changed, TargetState{
			Target: t.Target, Gone: t.gone, Granted: t.granted, ColdFor: max(t.coldUntil.Sub(now), 0), ColdAllowance: t.allowanceFor(vm),
		})
	}
	return changed
}
