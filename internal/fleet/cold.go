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
	// coldSenders is how many entry VMs send to a cold target that no keys
	// bind: few, so that the part of each is several whole requests.
	coldSenders = 3
	// TrialsPerSecond is kept of a cold target's allowance for entry VMs that
	// try it without knowing yet that it is cold, from all of them together.
	TrialsPerSecond = 5
	// travelSpread is kept of the allowance for requests of one second that
	// arrive in the next.
	travelSpread = 2
	// NoLimit is an allowance without a bound.
	NoLimit = -1
	// Undecided is the allowance of a leader that does not know all entry VMs
	// yet: the one of the leader before stays.
	Undecided = -2
)

// ColdTotal is how many requests all entry VMs together may send to a cold
// target of a class in any second. false: its class states no limit.
func (c Cold) ColdTotal(class config.TargetClass) (int, bool) {
	if class.ColdRate <= 0 {
		return 0, false
	}
	return max(int(class.ColdRate*c.Overage+c.Slack)-TrialsPerSecond-travelSpread, 1), true
}

// chooseColdSenders divides the allowance of a target that has become cold. The
// division stays for as long as the target is cold, whatever entry VMs come and
// go. A tenure that has not heard all entry VMs yet leaves them what the leader
// before allowed. Load pattern: a data centre's targets return cold together.
func (b *Book) chooseColdSenders(t *target, class config.TargetClass, now time.Time) {
	total, limited := b.terms.Cold.ColdTotal(class)
	t.coldSenders = nil
	if !limited || now.Sub(b.from) < reportSettle || len(b.entries) == 0 {
		t.coldUndecided = limited
		return
	}
	t.coldUndecided = false
	b.touch(t)
	count := coldSenders
	if class.Keyed {
		count = total // any entry VM may get requests for its keys
	}
	names := make([]core.VM, 0, len(b.entries))
	for vm := range b.entries {
		names = append(names, vm)
	}
	slices.SortFunc(names, func(x, y core.VM) int { return cmp.Compare(rank(t.ID, x), rank(t.ID, y)) })
	t.coldSenders = names[:min(count, len(names))]
	t.coldAllowance = max(total/max(len(t.coldSenders), 1), 1)
}

// rank orders entry VMs differently for each target.
func rank(id core.TargetID, vm core.VM) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(vm))
	return h.Sum64()
}

// allowanceFor is how many requests an entry VM may send to t in one second
// while t is cold; NoLimit: any number.
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
