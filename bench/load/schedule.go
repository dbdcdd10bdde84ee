// Package load drives callers' requests in an open loop: each request is sent
// at the time that a seeded plan intends, whatever became of earlier ones, and
// its latency counts from that time. Decisions: schedule.go, reference.go,
// results.go. Tasks: task.go, which owns the results, and driver.go, one
// goroutine for each request.
package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Stream is one workspace's requests of one kind.
type Stream struct {
	Workspace string
	Kind      string // names the row of the results
	Service   string
	Keys      int     // distinct keys; 0: the service has no keys
	HotShare  float64 // of requests that go to one key
	PerSecond float64
	Post      bool // may not be repeated; each request has an idempotency key of its own
	Rate      float64
	Burst     float64
}

// planned is one request of the plan.
type planned struct {
	at     time.Duration // from the start of the run
	stream int
	key    string
	serial int
}

// plan returns the requests of all streams over length in the order of time.
// Arrivals of each stream are a Poisson process.
func plan(streams []Stream, length time.Duration, seed uint64) []planned {
	var all []planned
	for i, s := range streams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		at := time.Duration(0)
		for s.PerSecond > 0 {
			at += time.Duration(random.ExpFloat64() / s.PerSecond * float64(time.Second))
			if at >= length {
				break
			}
			all = append(all, planned{at: at, stream: i, key: s.key(random), serial: len(all)})
		}
	}
	slices.SortFunc(all, func(a, b planned) int { return int(a.at - b.at) })
	return all
}

func (s Stream) key(random *rand.Rand) string {
	switch {
	case s.Keys == 0:
		return "item"
	case random.Float64() < s.HotShare:
		return "key-0"
	default:
		return "key-" + strconv.Itoa(random.IntN(s.Keys))
	}
}
