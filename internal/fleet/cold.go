package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// unkeyedColdSenders is the number of entry VMs that may send to a cold target
	// of a service without keys. It is small, so that each gets an allowance of
	// several requests.
	unkeyedColdSenders = 3
	// ProbesPerSecond is the part of a cold target's allowance, in requests per
	// second from all entry VMs, that is reserved for entry VMs that haven't
	// learned yet that the target is cold.
	ProbesPerSecond = 5
	// transitReserve is the part of the allowance, in requests, that is reserved
	// for requests sent in one second that arrive in the next.
	transitReserve = 2
	// NoLimit is an unlimited allowance.
	NoLimit = -1
	// Undecided is the allowance while the leader hasn't received reports from all
	// entry VMs yet. The allowance of the previous leader remains in force.
	Undecided = -2
)

// ColdTotal returns how many requests all entry VMs together may send to a cold
// target of a class in any second, or false if the class has no limit.
func (c Cold) ColdTotal(class config.TargetClass) (int, bool) {
	if class.ColdRate <= 0 {
		return 0, false
	}
	return max(int(class.ColdRate*c.Overage+c.Slack)-ProbesPerSecond-transitReserve, 1), true
}

// chooseColdSenders divides the allowance of a target whose cold start begins
// among entry VMs. The division doesn't change while the target is cold, even if
// entry VMs are added or removed. A leader that hasn't received reports from all
// entry VMs yet leaves the previous leader's division in force. Load pattern: all
// targets of a data centre return cold together.
func (l *LeaderState) chooseColdSenders(t *target, class config.TargetClass, now time.Time) {
	total, limited := l.parameters.Cold.ColdTotal(class)
	t.coldSenders = nil
	if !limited || now.Sub(l.termStart) < reportCollectionTime || len(l.entryVMs) == 0 {
		t.coldUndecided = limited
		return
	}
	t.coldUndecided = false
	l.markChanged(t)
	count := unkeyedColdSenders
	if class.Keyed {
		count = total // any entry VM may receive requests for its keys
	}
	names := make([]core.VM, 0, len(l.entryVMs))
	for vm := range l.entryVMs {
		names = append(names, vm)
	}
	slices.SortFunc(names, func(x, y core.VM) int { return cmp.Compare(senderHash(t.ID, x), senderHash(t.ID, y)) })
	t.coldSenders = names[:min(count, len(names))]
	t.coldAllowance = max(total/max(len(t.coldSenders), 1), 1)
}

// senderHash is the sort key of an entry VM, which orders entry VMs differently
// for each target (rendezvous hashing).
func senderHash(id core.TargetID, vm core.VM) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// allowanceFor returns how many requests per second an entry VM may send to t
// while t is cold, or NoLimit or Undecided.
func (t *target) allowanceFor(vm core.VM) int {
	if t.coldUndecided {
		return Undecided
	}
	if t.coldSenders == nil {
		return NoLimit
	}
	if slices.Contains(t.coldSenders, vm) {
		return t.coldAllowance
	}
	return 0
}
