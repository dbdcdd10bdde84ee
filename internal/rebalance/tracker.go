package rebalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/frequent"
)

const (
	sketchCapacity = 128 // keys of one service that a dispatcher counts
	reportedKeys   = 16  // of one service in a report
	reportedShards = 16  // of one target in a report
	decayFactor    = 0.5 // of the counts, at each report
)

// KeyID names a key by its hash, so that no key is kept.
type KeyID struct {
	Shard core.Shard
	Hash  uint64
}

// Request is one keyed request that was sent to its target.
type Request struct {
	Service core.Service
	Target  core.TargetID
	Key     KeyID
}

// Report is one dispatcher's load in requests a second.
type Report struct {
	Services []ServiceLoad
}

// ServiceLoad is the load of one keyed service at one dispatcher.
type ServiceLoad struct {
	Service core.Service
	Targets []TargetRate
	Shards  []ShardRate // the busiest, first the most
	Keys    []KeyRate   // the busiest, first the most
}

// TargetRate is the load of one target.
type TargetRate struct {
	Target core.TargetID
	Rate   float64 // requests a second
}

// ShardRate is the load of one shard and the target that served it.
type ShardRate struct {
	Shard  core.Shard
	Target core.TargetID
	Rate   float64 // requests a second
}

// KeyRate is the load of one key and the target that served it. The rate is
// certain: what may belong to other keys is taken off.
type KeyRate struct {
	Key    KeyID
	Target core.TargetID
	Rate   float64 // requests a second
}

// Tracker counts the load that one dispatcher sends.
type Tracker struct {
	services map[core.Service]*serviceTracker
	weight   float64 // seconds of counting, decayed as the counts are
	at       time.Time
}

type serviceTracker struct {
	targets map[core.TargetID]float64
	shards  map[core.Shard]float64
	owner   map[core.Shard]core.TargetID
	keys    *frequent.Sketch[KeyID]
}

// NewTracker returns a tracker that starts counting at now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{services: map[core.Service]*serviceTracker{}, at: now}
}

// Observe counts one request.
func (t *Tracker) Observe(r Request) {
	s := t.services[r.Service]
	if s == nil {
		s = &serviceTracker{
			targets: map[core.TargetID]float64{},
			shards:  map[core.Shard]float64{},
			owner:   map[core.Shard]core.TargetID{},
			keys:    frequent.New[KeyID](sketchCapacity),
		}
		t.services[r.Service] = s
	}
	s.targets[r.Target]++
	s.shards[r.Key.Shard]++
	s.owner[r.Key.Shard] = r.Target
	s.keys.Add(r.Key, 1)
}

// Report returns the load up to now and decays the counts.
func (t *Tracker) Report(now time.Time) Report {
	t.weight += now.Sub(t.at).Seconds()
	t.at = now
	var r Report
	if t.weight <= 0 {
		return r
	}
	for name, s := range t.services {
		r.Services = append(r.Services, s.load(name, t.weight))
		s.decay()
		if len(s.targets) == 0 {
			delete(t.services, name)
		}
	}
	t.weight *= decayFactor
	slices.SortFunc(r.Services, func(a, b ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return r
}

func (s *serviceTracker) load(name core.Service, seconds float64) ServiceLoad {
	l := ServiceLoad{Service: name}
	for id, n := range s.targets {
		l.Targets = append(l.Targets, TargetRate{id, n / seconds})
	}
	slices.SortFunc(l.Targets, func(a, b TargetRate) int { return cmp.Compare(a.Target, b.Target) })
	for shard, n := range s.shards {
		l.Shards = append(l.Shards, ShardRate{shard, s.owner[shard], n / seconds})
	}
	slices.SortFunc(l.Shards, func(a, b ShardRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Shard, b.Shard))
	})
	l.Shards = busiest(l.Shards)
	for _, c := range s.keys.Counters() {
		if certain := c.Count - c.Error; certain > 0 {
			l.Keys = append(l.Keys, KeyRate{c.Key, s.owner[c.Key.Shard], certain / seconds})
		}
	}
	slices.SortFunc(l.Keys, func(a, b KeyRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key.Hash, b.Key.Hash))
	})
	l.Keys = l.Keys[:min(len(l.Keys), reportedKeys)]
	return l
}

// busiest keeps the first reportedShards of each target.
func busiest(shards []ShardRate) []ShardRate {
	of := map[core.TargetID]int{}
	return slices.DeleteFunc(shards, func(s ShardRate) bool {
		of[s.Target]++
		return of[s.Target] > reportedShards
	})
}

func (s *serviceTracker) decay() {
	decayMap(s.targets)
	decayMap(s.shards)
	for shard := range s.owner {
		if _, ok := s.shards[shard]; !ok {
			delete(s.owner, shard)
		}
	}
	s.keys.Decay(decayFactor)
}

// negligible is the decayed count below which a shard or target is forgotten.
const negligible = 0.5

func decayMap[K comparable](m map[K]float64) {
	for k, n := range m {
		if n *= decayFactor; n < negligible {
			delete(m, k)
			continue
		}
		m[k] *= decayFactor
	}
}
