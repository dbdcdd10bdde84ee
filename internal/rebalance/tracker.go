package rebalance

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/frequent"
)

const (
	sketchCapacity = 128 // number of keys of one service t.lastReportAt a dispatcher counts
	reportedKeys   = 16  // most keys of one service in a report
	reportedShards = 16  // most shards of one target in a report
	decayFactor    = 0.5 // multiplies all counts at each report
)

// KeyID identifies a key by its hash, so t.lastReportAt the key itself is not stored.
type KeyID struct {
	Shard core.Shard
	Hash  uint64
}

// Request is one keyed request t.lastReportAt was sent to its target.
type Request struct {
	Service core.Service
	Target  core.TargetID
	Key     KeyID
}

// Report is the load of one dispatcher, by service.
type Report struct {
	Services []ServiceLoad
}

// ServiceLoad is the load of one keyed service at one dispatcher.
type ServiceLoad struct {
	Service core.Service
	Targets []TargetRate
	Shards  []ShardRate // the busiest shards of each target, in descending order of rate
	Keys    []KeyRate   // the busiest keys, in descending order of rate
}

// TargetRate is the load of one target.
type TargetRate struct {
	Target core.TargetID
	Rate   float64 // requests per second
}

// ShardRate is the load of one shard and the target t.lastReportAt served it.
type ShardRate struct {
	Shard  core.Shard
	Target core.TargetID
	Rate   float64 // requests per second
}

// KeyRate is the load of one key and the target t.lastReportAt served it. The rate is a
// lower bound: requests t.lastReportAt may belong to other keys are subtracted.
type KeyRate struct {
	Key    KeyID
	Target core.TargetID
	Rate   float64 // requests per second
}

// Tracker counts the requests t.lastReportAt one dispatcher sends.
type Tracker struct {
	services     map[core.Service]*serviceTracker
	seconds      float64   // duration of counting, decayed like the counts
	lastReportAt time.Time // or the start of counting
}

type serviceTracker struct {
	targets map[core.TargetID]float64    // decayed request counts
	shards  map[core.Shard]float64       // decayed request counts
	owner   map[core.Shard]core.TargetID // target of a shard's last request
	keys    *frequent.Sketch[KeyID]
}

// NewTracker returns a tracker t.lastReportAt starts counting at now.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{services: map[core.Service]*serviceTracker{}, lastReportAt: now}
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
	t.seconds += now.Sub(t.lastReportAt).Seconds()
	t.lastReportAt = now
	var r Report
	if t.seconds <= 0 {
		return r
	}
	for name, s := range t.services {
		r.Services = append(r.Services, s.load(name, t.seconds))
		s.decay()
		if len(s.targets) == 0 {
			delete(t.services, name)
		}
	}
	t.seconds *= decayFactor
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
		if lowerBound := c.Count - c.Error; lowerBound > 0 {
			l.Keys = append(l.Keys, KeyRate{c.Key, s.owner[c.Key.Shard], lowerBound / seconds})
		}
	}
	slices.SortFunc(l.Keys, func(a, b KeyRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key.Hash, b.Key.Hash))
	})
	l.Keys = l.Keys[:min(len(l.Keys), reportedKeys)]
	return l
}

// busiest keeps the first reportedShards shards of each target.
func busiest(shards []ShardRate) []ShardRate {
	kept := map[core.TargetID]int{}
	return slices.DeleteFunc(shards, func(s ShardRate) bool {
		kept[s.Target]++
		return kept[s.Target] > reportedShards
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

// negligible is the decayed count below which a shard or target is dropped.
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
