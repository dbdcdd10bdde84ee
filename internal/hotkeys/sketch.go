// Package hotkeys finds the keys of each service that get the most requests at
// one daemon. The counting is in sketch.go; the task in task.go owns the
// sketches.
package hotkeys

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/frequent"
)

const (
	capacity = 256              // keys counted for each service
	halfLife = 10 * time.Second // age after which a request counts half
)

// Key is one key and its rate.
type Key struct {
	Key  string
	Rate float64 // requests per second, may be too high
}

// Sketch counts the most frequent keys, with more weight on newer requests.
type Sketch struct {
	counts *frequent.Sketch[string]
	halved time.Time // time of the newest halving
}

// NewSketch returns an empty sketch.
func NewSketch(now time.Time) *Sketch {
	return &Sketch{counts: frequent.New[string](capacity), halved: now}
}

// Add counts one sampled request, which represents weight requests.
func (s *Sketch) Add(key string, weight float64, now time.Time) {
	s.age(now)
	s.counts.Add(key, weight)
}

// age halves the counts once for each half-life that has passed.
func (s *Sketch) age(now time.Time) {
	for now.Sub(s.halved) >= halfLife {
		s.halved = s.halved.Add(halfLife)
		s.counts.Decay(0.5)
		if s.counts.Len() == 0 {
			s.halved = now
		}
	}
}

// Top returns the n most frequent keys, those with the highest rate first. At a
// steady rate r, a count grows from r*halfLife after a halving to 2*r*halfLife
// before the next one, that is r*(halfLife + time since the halving), from which
// the rate is calculated.
func (s *Sketch) Top(n int, now time.Time) []Key {
	s.age(now)
	keys := make([]Key, 0, s.counts.Len())
	window := (halfLife + now.Sub(s.halved)).Seconds()
	for _, c := range s.counts.Counters() {
		keys = append(keys, Key{Key: c.Key, Rate: c.Count / window})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(n, len(keys))]
}
