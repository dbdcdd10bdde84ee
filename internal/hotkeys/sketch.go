// Package hotkeys finds the keys of each service that get the most requests at
// one daemon. Decisions: sketch.go. Task: task.go, which owns the sketches.
package hotkeys

import (
	"cmp"
	"slices"
	"time"
)

const (
	capacity = 256              // keys counted for each service
	halfLife = 10 * time.Second // after which an old request counts half
)

// Key is one key and its rate.
type Key struct {
	Key  string
	Rate float64 // requests a second, as an upper bound
}

// Sketch counts the most frequent keys in bounded memory by Space-Saving
// (Metwally, Agrawal, El Abbadi, 2005): a key that is not counted takes the
// place and the count of the rarest one, so counts are never too low.
type Sketch struct {
	counts map[string]float64
	halved time.Time
}

// NewSketch returns an empty sketch.
func NewSketch(now time.Time) *Sketch {
	return &Sketch{counts: make(map[string]float64, capacity), halved: now}
}

// Add counts one request that stands for weight requests.
func (s *Sketch) Add(key string, weight float64, now time.Time) {
	s.age(now)
	if _, ok := s.counts[key]; ok || len(s.counts) < capacity {
		s.counts[key] += weight
		return
	}
	rarest := s.rarest()
	count := s.counts[rarest]
	delete(s.counts, rarest)
	s.counts[key] = count + weight
}

// age halves the counts for each half-life that has passed.
func (s *Sketch) age(now time.Time) {
	for now.Sub(s.halved) >= halfLife {
		s.halved = s.halved.Add(halfLife)
		for k, n := range s.counts {
			if n < 1 {
				delete(s.counts, k)
			} else {
				s.counts[k] = n / 2
			}
		}
		if len(s.counts) == 0 {
			s.halved = now
		}
	}
}

func (s *Sketch) rarest() string {
	var rarest string
	least := -1.0
	for k, n := range s.counts {
		if least < 0 || n < least || n == least && k < rarest {
			rarest, least = k, n
		}
	}
	return rarest
}

// Top returns the n most frequent keys, hottest first. A steady rate r holds a
// count between r and two times r half-lives; the middle gives the rate.
func (s *Sketch) Top(n int, now time.Time) []Key {
	s.age(now)
	keys := make([]Key, 0, len(s.counts))
	window := (halfLife + now.Sub(s.halved)).Seconds()
	for k, count := range s.counts {
		keys = append(keys, Key{Key: k, Rate: count / window})
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
	})
	return keys[:min(n, len(keys))]
}
