package fleet

import (
	"sort"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// usualLoadSmoothing is the weight of the newest reports in the moving average
	// of a key's usual load, once in each rebalancePeriod.
	usualLoadSmoothing = 0.08
	// surgeFactor and surgeLoad, in busy slots, are how far the recent load of a
	// range must exceed its usual load to count: a range gets so few requests that
	// the recent load of an ordinary one varies several times over.
	surgeFactor = 2
	surgeLoad   = 1.0
)

// keyLoads are prefix sums of the load of the keys of a service: element k is the
// load of all keys below k, in busy slots on a target of average speed.
type keyLoads struct {
	recent []float64 // from the newest reports of all entry VMs
	usual  []float64 // moving average
}

// of returns the load of a range: its usual load, or the recent one in a surge.
func (l keyLoads) of(r config.KeyRange) float64 {
	recent := l.recent[r.Last+1] - l.recent[r.First]
	usual := l.usual[r.Last+1] - l.usual[r.First]
	if recent > surgeFactor*usual+surgeLoad {
		return recent
	}
	return usual
}

// quantiles returns the keys that divide the load of r most evenly into the given
// number of parts. Each is the first key of a part but the first.
func (l keyLoads) quantiles(r config.KeyRange, parts int) []uint32 {
	sums := l.usual
	if l.of(r) == l.recent[r.Last+1]-l.recent[r.First] {
		sums = l.recent
	}
	var keys []uint32
	low, total := sums[r.First], sums[r.Last+1]-sums[r.First]
	for part := 1; part < parts; part++ {
		wanted := low + total*float64(part)/float64(parts)
		keysBelow := sort.Search(int(r.Last-r.First), func(i int) bool { return sums[int(r.First)+i+1] > wanted })
		key := r.First + uint32(keysBelow)
		// A key with more than half a part's load gets a range of its own.
		last := key
		if sums[key+1]-sums[key] > total/float64(parts)/2 {
			last = key + 1
		}
		for at := key; at <= last; at++ {
			if at > r.First && at <= r.Last && (len(keys) == 0 || at > keys[len(keys)-1]) {
				keys = append(keys, at)
			}
		}
	}
	return keys
}

// keyLoadsOf returns the loads of the keys of a service.
func (l *LeaderState) keyLoadsOf(service core.Service) keyLoads {
	loads := keyLoads{recent: l.recentKeyLoad(service), usual: make([]float64, config.KeySpace+1)}
	for key, load := range l.usualKeyLoads[service] {
		loads.usual[key+1] = load
	}
	accumulate(loads.recent)
	accumulate(loads.usual)
	return loads
}

// recentKeyLoad returns the load of each key, at the index after the key.
func (l *LeaderState) recentKeyLoad(service core.Service) []float64 {
	loads := make([]float64, config.KeySpace+1)
	for _, e := range l.entryVMs {
		for _, k := range e.keyLoads {
			if k.Service == service && k.Key < config.KeySpace {
				loads[k.Key+1] += k.Busy
			}
		}
	}
	return loads
}

func accumulate(loads []float64) {
	for i := 1; i < len(loads); i++ {
		loads[i] += loads[i-1]
	}
}

// updateUsualKeyLoad updates the moving average of the load of each key.
func (l *LeaderState) updateUsualKeyLoad(service core.Service) {
	recent := l.recentKeyLoad(service)
	usual := l.usualKeyLoads[service]
	if usual == nil {
		usual = make([]float64, config.KeySpace)
		copy(usual, recent[1:])
		l.usualKeyLoads[service] = usual
		return
	}
	for key := range usual {
		usual[key] += usualLoadSmoothing * (recent[key+1] - usual[key])
	}
}
