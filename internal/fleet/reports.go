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

// Demand is an entry VM's report about one workspace.
type Demand struct {
	Workspace core.Workspace
	Rate      float64 // recent requests per second of callers, admitted or not
	Held      float64 // requests per second that the entry VM may currently admit
}

// KeyHeat is the recent load of one key on an entry VM.
type KeyHeat struct {
	Service core.Service
	Key     uint32
	Busy    float64 // seconds of work per second, on a target of average speed
}

// TargetSpeed is the service time of a target relative to other targets.
type TargetSpeed struct {
	Target core.TargetID
	Speed  float64 // 2 means twice as long as the average
}

// Report is an entry VM's report to the leader.
type Report struct {
	VM     core.VM
	Fresh  bool // the entry VM hasn't received shares from any leader yet
	Demand []Demand
	Heat   []KeyHeat
	Speeds []TargetSpeed // of targets that answered recently
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
	keyLoads    []KeyHeat
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

// Reported processes a report and returns the sender's shares, the number of entry
// VMs that report, and the sender's index among them. entryVMs is zero while the
// leader is still collecting reports; the sender then keeps the shares it has.
// Workspaces of which the sender had no share and gets none are left out.
func (b *Book) Reported(r Report, s *config.State, now time.Time) (shares []Share, entryVMs, index int) {
	e := b.entryVMs[r.VM]
	if e == nil {
		e = &entryVM{allocations: map[core.Workspace]*allocation{}}
		b.entryVMs[r.VM] = e
	}
	e.lastReport = now
	b.recordDemand(e, r.Demand)
	e.keyLoads = r.Heat
	b.recordSpeeds(r.Speeds)
	collectionTime := reportCollectionTime
	if r.Fresh {
		collectionTime = freshCollectionTime
	}
	if now.Sub(b.termStart) < collectionTime {
		return nil, 0, 0
	}
	for _, t := range s.Catalog.Tenants {
		if t.Dropped || t.Rate <= 0 {
			continue
		}
		before := e.grantedRate(t.Name)
		if share := b.share(e, t); share.Rate > 0 || before > 0 {
			shares = append(shares, share)
		}
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Workspace, y.Workspace) })
	for vm := range b.entryVMs {
		if vm < r.VM {
			index++
		}
	}
	return shares, len(b.entryVMs), index
}

// countDelay is how long a new leader waits before it proposes the number of entry
// VMs. By then all reachable ones have reported and the others have expired.
const countDelay = entryVMTimeout + reportCollectionTime

// CountDue returns the change that stores the number of entry VMs, and whether it
// is due.
func (b *Book) CountDue(s *config.State, now time.Time) (config.CountEntryVMs, bool) {
	count := len(b.entryVMs)
	if count == 0 || count == s.EntryVMs || now.Sub(b.termStart) < countDelay && s.EntryVMs != 0 {
		return config.CountEntryVMs{}, false
	}
	return config.CountEntryVMs{Count: count}, now.Sub(b.termStart) >= reportCollectionTime
}

func (b *Book) expireEntryVMs(now time.Time) {
	for vm, e := range b.entryVMs {
		if now.Sub(e.lastReport) > entryVMTimeout {
			for name, alloc := range e.allocations {
				b.allocationOf(name).set(alloc, 0, 0)
			}
			delete(b.entryVMs, vm)
		}
	}
}

// cumulativeKeyLoad returns prefix sums of the load of the keys of a service, from
// the newest reports of all entry VMs. Element k is the load of all keys below k.
func (b *Book) cumulativeKeyLoad(service core.Service) []float64 {
	sums := make([]float64, config.KeySpace+1)
	for _, e := range b.entryVMs {
		for _, k := range e.keyLoads {
			if k.Service == service && k.Key < config.KeySpace {
				sums[k.Key+1] += k.Busy
			}
		}
	}
	for i := 1; i < len(sums); i++ {
		sums[i] += sums[i-1]
	}
	return sums
}

// serviceTimeSmoothing is the weight of one report in the moving average of a
// target's service time.
const serviceTimeSmoothing = 0.05

// recordSpeeds updates the moving averages of the targets' service times.
func (b *Book) recordSpeeds(speeds []TargetSpeed) {
	for _, speed := range speeds {
		if t := b.targets[speed.Target]; t != nil {
			if t.serviceTimeFactor == 0 {
				t.serviceTimeFactor = 1
			}
			t.serviceTimeFactor += serviceTimeSmoothing * (speed.Speed - t.serviceTimeFactor)
		}
	}
}

// relativeServiceTime returns the service time of t relative to other targets, 1 if unknown.
func (t *target) relativeServiceTime() float64 {
	if t.serviceTimeFactor <= 0 {
		return 1
	}
	return t.serviceTimeFactor
}
