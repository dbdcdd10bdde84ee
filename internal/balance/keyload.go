package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// keyLoadWindow is the length of one measuring window. The load covers two
// windows: the current one and the one before it.
const keyLoadWindow = time.Second

// minSamples is the number of speed observations of a target before its speed is
// reported.
const minSamples = 3

type serviceKey struct {
	service core.Service
	key     uint32
}

// keyLoads estimates the processing time per second that requests for each key
// need.
type keyLoads struct {
	current, previous map[serviceKey]float64 // seconds of processing time
	windowStart       time.Time
}

func newKeyLoads() keyLoads {
	return keyLoads{current: map[serviceKey]float64{}, previous: map[serviceKey]float64{}}
}

// rotate starts new windows as time passes. After a gap of several windows it
// starts over at now instead of stepping through each of them.
func (l *keyLoads) rotate(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	for n := 0; now.Sub(l.windowStart) >= keyLoadWindow; n++ {
		l.previous, l.current = l.current, map[serviceKey]float64{}
		l.windowStart = l.windowStart.Add(keyLoadWindow)
		if n > 1 {
			l.windowStart = now
		}
	}
}

// CountDemand counts a request that asks for a key, whether or not its owner can
// serve it: keys whose owner is full need more room than it has.
func (p *Pool) CountDemand(r Request, now time.Time) {
	if class, _ := p.state.Catalog.Service(r.Service); class.Keyed && r.HasKey {
		p.keyLoads.add(r.Service, r.Key, p.processingTimeOf(r.Route).mean, now)
	}
}

func (l *keyLoads) add(service core.Service, key uint32, busy time.Duration, now time.Time) {
	l.rotate(now)
	l.current[serviceKey{service, key}] += busy.Seconds()
}

// report returns the load of each key: seconds of processing time per second.
func (l *keyLoads) report(now time.Time) []fleet.KeyLoad {
	l.rotate(now)
	seconds := (keyLoadWindow + now.Sub(l.windowStart)).Seconds()
	sum := make(map[serviceKey]float64, len(l.current)+len(l.previous))
	for _, window := range []map[serviceKey]float64{l.previous, l.current} {
		for k, busy := range window {
			sum[k] += busy
		}
	}
	keys := make([]fleet.KeyLoad, 0, len(sum))
	for k, busy := range sum {
		keys = append(keys, fleet.KeyLoad{Service: k.service, Key: k.key, Busy: busy / seconds})
	}
	return keys
}
