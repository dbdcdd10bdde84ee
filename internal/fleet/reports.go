package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// entryTTL is how long an entry VM that does not report keeps its shares.
const entryTTL = 5 * time.Second

// Demand is what an entry VM says of one workspace.
type Demand struct {
	Workspace core.Workspace
	Rate      float64 // requests a second that callers asked for lately
	Held      float64 // requests a second that the entry VM may admit now
}

// KeyHeat is how many requests for one key an entry VM got lately.
type KeyHeat struct {
	Service core.Service
	Key     uint32
	Busy    float64 // seconds of work a second, on a target of usual speed
}

// TargetSpeed is how long work takes on a target, relative to others.
type TargetSpeed struct {
	Target core.TargetID
	Speed  float64 // 2: twice as long
}

// Report is what an entry VM says of itself.
type Report struct {
	VM     core.VM
	Fresh  bool // no leader has given it shares yet
	Demand []Demand
	Heat   []KeyHeat
	Speeds []TargetSpeed // of targets that answered lately
}

// Share is the part of a workspace's rate that one entry VM may admit.
type Share struct {
	Workspace core.Workspace
	Rate      float64 // requests a second
	Burst     float64 // requests
}

// entry is an entry VM as the leader knows it.
type entry struct {
	heardAt time.Time
	parts   map[core.Workspace]*part
	heat    []KeyHeat
}

const (
	// reportSettle is how long a tenure listens to entry VMs before it divides
	// anything among them: one whose leader fell silent asks the next after
	// askTimeout.
	reportSettle = askTimeout + 400*time.Millisecond
	// freshSettle is the same for an entry VM that has no shares from a leader
	// before: it waits for some, and so do the others that started with it.
	freshSettle = 600 * time.Millisecond
)

// Reported takes a report and returns the sender's shares, the number of entry
// VMs that report, and the sender's place among them. entries is zero while
// the tenure is too young to divide: the sender keeps what it has. Workspaces
// of which it has no share and needs none are left out.
func (b *Book) Reported(r Report, s *config.State, now time.Time) (shares []Share, entries, place int) {
	e := b.entries[r.VM]
	if e == nil {
		e = &entry{parts: map[core.Workspace]*part{}}
		b.entries[r.VM] = e
	}
	e.heardAt = now
	b.noteDemand(e, r.Demand)
	e.heat = r.Heat
	b.noteSpeeds(r.Speeds)
	settle := reportSettle
	if r.Fresh {
		settle = freshSettle
	}
	if now.Sub(b.from) < settle {
		return nil, 0, 0
	}
	for _, t := range s.Catalog.Tenants {
		if t.Dropped || t.Rate <= 0 {
			continue
		}
		before := e.granted(t.Name)
		if share := b.share(e, t); share.Rate > 0 || before > 0 {
			shares = append(shares, share)
		}
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Workspace, y.Workspace) })
	for vm := range b.entries {
		if vm < r.VM {
			place++
		}
	}
	return shares, len(b.entries), place
}

// countPeriod is how old a tenure must be before it notes how many entry VMs
// there are: by then all that live have reported and the others have expired.
const countPeriod = entryTTL + reportSettle

// CountDue returns the number of entry VMs if it differs from the noted one.
func (b *Book) CountDue(s *config.State, now time.Time) (config.CountEntryVMs, bool) {
	count := len(b.entries)
	if count == 0 || count == s.EntryVMs || now.Sub(b.from) < countPeriod && s.EntryVMs != 0 {
		return config.CountEntryVMs{}, false
	}
	return config.CountEntryVMs{Count: count}, now.Sub(b.from) >= reportSettle
}

func (b *Book) expireEntries(now time.Time) {
	for vm, e := range b.entries {
		if now.Sub(e.heardAt) > entryTTL {
			for name, p := range e.parts {
				b.account(name).change(p, 0, 0)
			}
			delete(b.entries, vm)
		}
	}
}

// heatOf returns how busy the keys of a service are, as the newest reports of
// all entry VMs say, as sums: entry k is the load of all keys below k.
func (b *Book) heatOf(service core.Service) []float64 {
	sums := make([]float64, config.KeySpace+1)
	for _, e := range b.entries {
		for _, k := range e.heat {
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

// speedSmoothing is the weight of one entry VM's report of a target's speed.
const speedSmoothing = 0.05

// noteSpeeds takes how long work takes on targets, relative to others.
func (b *Book) noteSpeeds(speeds []TargetSpeed) {
	for _, v := range speeds {
		if t := b.targets[v.Target]; t != nil {
			if t.speed == 0 {
				t.speed = 1
			}
			t.speed += speedSmoothing * (v.Speed - t.speed)
		}
	}
}

// speedOf is how long work takes on t, relative to others.
func (t *target) speedOf() float64 {
	if t.speed <= 0 {
		return 1
	}
	return t.speed
}
