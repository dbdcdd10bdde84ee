// Package load generates callers' requests in an open loop: each request is sent
// at the time that a seeded plan sets for it, whether or not earlier ones have
// ended, and its latency is measured from that time.
//
// Decisions are in schedule.go, reference.go and results.go. The task in task.go
// owns the results and starts a goroutine for each request, which driver.go sends.
package load

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Stream describes the requests of one kind from one workspace.
type Stream struct {
	Workspace string
	Kind      string // names the row of the results
	Service   string
	Keys      int     // distinct keys; 0: the service has no keys
	HotShare  float64 // share of the requests that use the same key, 0 to 1
	PerSecond float64 // mean rate of the stream
	Post      bool    // send POST requests, each with an idempotency key of its own
	Rate      float64 // the workspace's limit, requests a second
	Burst     float64 // the workspace's limit, requests
}

// planned is one request of the plan.
type planned struct {
	at     time.Duration // from the start of the run
	stream int           // index of the stream
	key    string
	serial int // unique in the plan
}

// plan returns the requests of all streams within length, sorted by time. The
// arrivals of each stream are a Poisson process.
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

// key chooses the key of one request.
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
