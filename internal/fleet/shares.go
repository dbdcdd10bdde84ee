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
	demand  map[core.Workspace]float64
	granted map[core.Workspace]float64
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
// the tenure is too young to divide: the sender keeps what it has.
func (b *Book) Reported(r Report, s *config.State, now time.Time) (shares []Share, entries, place int) {
	e := b.entries[r.VM]
	if e == nil {
		e = &entry{granted: map[core.Workspace]float64{}}
		b.entries[r.VM] = e
	}
	e.heardAt = now
	e.demand = map[core.Workspace]float64{}
	for _, d := range r.Demand {
		e.demand[d.Workspace] = d.Rate
		if _, ok := e.granted[d.Workspace]; !ok {
			e.granted[d.Workspace] = d.Held // granted by a leader before this one
		}
	}
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
		if !t.Dropped && t.Rate > 0 {
			shares = append(shares, b.share(e, t))
		}
	}
	slices.SortFunc(shares, func(x, y Share) int { return cmp.Compare(x.Workspace, y.Workspace) })
	names := make([]core.VM, 0, len(b.entries))
	for vm := range b.entries {
		names = append(names, vm)
	}
	slices.Sort(names)
	return shares, len(names), slices.Index(names, r.VM)
}

// share divides a workspace's rate by demand, and what no demand needs evenly.
// It gives out only what the other entry VMs do not hold: they give back first.
func (b *Book) share(e *entry, t config.Tenancy) Share {
	var demand, others float64
	for _, o := range b.entries {
		demand += o.demand[t.Name]
		if o != e {
			others += o.granted[t.Name]
		}
	}
	n := float64(len(b.entries))
	var fair float64
	if demand <= t.Rate {
		fair = e.demand[t.Name] + (t.Rate-demand)/n
	} else {
		// A small part is divided evenly, so that a caller who arrives at an
		// entry VM without any finds some there.
		const evenPart = 0.1
		fair = t.Rate * (evenPart/n + (1-evenPart)*e.demand[t.Name]/demand)
	}
	rate := min(fair, max(t.Rate-others, 0))
	e.granted[t.Name] = rate
	return Share{Workspace: t.Name, Rate: rate, Burst: b.reserve(t) * (rate/t.Rate + 1/n) / 2}
}

// reserve is the number of requests of a workspace that all entry VMs together
// may admit at once: as many as keep what is admitted in any window within the
// quota's bound. An entry VM sees a small part of the callers, so that its
// demand varies much more than the whole.
func (b *Book) reserve(t config.Tenancy) float64 {
	q := b.terms.Quota
	inWindow := t.Rate*q.Window.Seconds() + t.Burst
	return max(reservePart*(inWindow*(1+q.Overage)+q.Slack-t.Rate*q.Window.Seconds()), t.Burst/2)
}

// reservePart of the bound is used, since requests travel for unequal times.
const reservePart = 0.85

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
