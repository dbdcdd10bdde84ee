package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TargetState is the state of a target that entry VMs receive.
type TargetState struct {
	core.Target
	Gone    bool
	ColdFor time.Duration // remaining time of the cold start, during which the target is slow
	// ColdAllowance is how many requests per second the receiving VM may send to the
	// target while it is cold, or NoLimit or Undecided.
	ColdAllowance int
	Granted       core.Version // highest fence among the target's ranges
}

// ChangesSince returns, for an entry VM, the targets that changed after the given
// sequence number, or all targets if term is not the current one.
func (l *LeaderState) ChangesSince(vm core.VM, term, sequence uint64, now time.Time) []TargetState {
	if term != l.term {
		sequence = 0
	}
	var changed []TargetState
	for _, t := range l.targets {
		if t.changedSequence <= sequence {
			continue
		}
		changed = append(changed, TargetState{
			Target: t.Target, Gone: t.gone, Granted: t.grantedFence, ColdFor: max(t.coldUntil.Sub(now), 0), ColdAllowance: t.allowanceFor(vm),
		})
	}
	return changed
}
