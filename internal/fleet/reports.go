package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// entryVMTimeout is how long after its last report an entry VM keeps its shares.
const entryVMTimeout = 5 * time.Second

// ShareLease is how long after the leader's last answer an entry VM may use its
// shares. It ends before the leader divides them anew: the leader received the
// report up to one poll before the answer arrived.
const ShareLease = entryVMTimeout - askTimeout - 300*time.Millisecond

// SharesUntil returns the end of the lease on the shares in an update. An update that
// takes longer than a poll may wait extends the lease no further than one that arrives
// at the end of that time.
func SharesUntil(u Update, receivedAt time.Time) time.Time {
	from := receivedAt
	if latest := u.RequestedAt.Add(askTimeout); !u.RequestedAt.IsZero() && latest.Before(from) {
		from = latest
	}
	return from.Add(ShareLease)
}

// Demand is an entry VM's report about one workspace.
type Demand struct {
	Workspace   core.Workspace
	Rate        float64 // recent requests per second of callers, admitted or not
	GrantedRate float64 // requests per second that the entry VM may currently admit
}

// KeyLoad is the recent load of one key on an entry VM.
type KeyLoad struct {
	Service core.Service
	Key     uint32
	Busy    float64 // seconds of work per second, on a target of average speed
}

// TargetServiceTime is the service time of a target relative to other targets.
type TargetServiceTime struct {
	Target core.TargetID
	Factor float64 // 2 means twice as long as the average
}

// LeavingTarget is a target that said in an answer that it is about to stop.
type LeavingTarget struct {
	Target      core.TargetID
	Incarnation core.Incarnation
}

// Report is an entry VM's report to the leader.
type Report struct {
	VM           core.VM
	NoShares     bool // the entry VM hasn't received shares from any leader yet
	Demand       []Demand
	KeyLoads     []KeyLoad
	ServiceTimes []TargetServiceTime // of targets that answered recently
	Leaving      []LeavingTarget
}

// Share is the part of a workspace's rate that one entry VM may admit.
type Share struct {
	Workspace core.Workspace
	Rate      float64 // requests per second
	Burst     float64 // requests
}

// entryVM is the leader's view of an entry VM.
type entryVM struct {
	lastReport  time.Time
	allocations map[core.Workspace]*allocation
	keyLoads    []KeyLoad
}

const (
	// reportCollectionTime is how long a new leader collects reports before it
	// divides anything among entry VMs. An entry VM whose leader has become
	// unreachable polls another VM after askTimeout.
	reportCollectionTime = askTimeout + 400*time.Millisecond
	// freshCollectionTime is the same for an entry VM without shares from a previous
	// leader. It is shorter since such a VM, like the others that started with it,
	// waits for shares.
	freshCollectionTime = 600 * time.Millisecond
)

// ApplyReport processes a report and returns the sender's shares, the number of
// entry VMs that report, and the sender's index among them. entryVMs is zero while
// the leader is still collecting reports; the sender then keeps the shares it has.
// Workspaces of which the sender had no share and gets none are left out.
func (l *LeaderState) ApplyReport(r Report, s *config.State, now time.Time) (shares []Share, entryVMs, index int) {
	e := l.entryVMs[r.VM]
	if e == nil {
		e = &entryVM{allocations: map[core.Workspace]*allocation{}}
		l.entryVMs[r.VM] = e
	}
	e.lastReport = now
	l.recordDemand(e, r.Demand)
	e.keyLoads = r.KeyLoads
	l.recordServiceTimes(r.ServiceTimes)
	l.recordLeaving(r.Leaving)
	collectionTime := reportCollectionTime
	if r.NoShares {
		collectionTime = freshCollectionTime
	}
	if now.Sub(l.termStart) < collectionTime {
		return nil, 0, 0
	}
	for _, t := range s.Catalog.Tenants {
		if t.Dropped || t.Rate <= 0 || DividedFraction(t, l.parameters.Quota, s) == 0 && e.grantedRate(t.Name) == 0 {
			continue
		}
		before := e.grantedRate(t.Name)
		if share := l.share(e, t, s, now); share.Rate > 0 || before > 0 {
			shares = append(shares, share)
		}
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Workspace, y.Workspace) })
	for vm := range l.entryVMs {
		if vm < r.VM {
			index++
		}
	}
	return shares, len(l.entryVMs), index
}

// countDelay is how long a new leader waits before it proposes the number of entry
// VMs. By then all reachable ones have reported and the others have expired.
const countDelay = entryVMTimeout + reportCollectionTime

// CountDue returns the change that stores the number of entry VMs, and whether it
// is due.
func (l *LeaderState) CountDue(s *config.State, now time.Time) (config.CountEntryVMs, bool) {
	count := len(l.entryVMs)
	if count == 0 || count == s.EntryVMs || now.Sub(l.termStart) < countDelay && s.EntryVMs != 0 {
		return config.CountEntryVMs{}, false
	}
	return config.CountEntryVMs{Count: count}, now.Sub(l.termStart) >= reportCollectionTime
}

func (l *LeaderState) expireEntryVMs(now time.Time) {
	for vm, e := range l.entryVMs {
		if now.Sub(e.lastReport) > entryVMTimeout {
			for name, alloc := range e.allocations {
				l.allocationOf(name).set(alloc, 0, 0)
			}
			delete(l.entryVMs, vm)
		}
	}
}

// serviceTimeSmoothing is the weight of one report in the moving average of a
// target's service time.
const serviceTimeSmoothing = 0.05

// recordServiceTimes updates the moving averages of the targets' service times.
func (l *LeaderState) recordServiceTimes(serviceTimes []TargetServiceTime) {
	for _, serviceTime := range serviceTimes {
		if t := l.targets[serviceTime.Target]; t != nil {
			if t.serviceTimeFactor == 0 {
				t.serviceTimeFactor = 1
			}
			t.serviceTimeFactor += serviceTimeSmoothing * (serviceTime.Factor - t.serviceTimeFactor)
		}
	}
}

// recordLeaving marks targets as draining that told an entry VM so. Load pattern: a
// target that stops can reach entry VMs, but its heartbeats don't arrive here.
func (l *LeaderState) recordLeaving(leaving []LeavingTarget) {
	for _, r := range leaving {
		if t := l.targets[r.Target]; t != nil && t.Incarnation == r.Incarnation && !t.Draining {
			t.Draining = true
			l.markChanged(t)
		}
	}
}

// relativeServiceTime returns the service time of t relative to other targets, 1 if
// unknown.
func (t *target) relativeServiceTime() float64 {
	if t.serviceTimeFactor <= 0 {
		return 1
	}
	return t.serviceTimeFactor
}
