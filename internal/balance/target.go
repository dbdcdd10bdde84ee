package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// loadMemory is how fast a target's report of its load loses weight.
	loadMemory = 400 * time.Millisecond
	// slownessMemory is the same for its report of how slow its machine is.
	slownessMemory = 300 * time.Millisecond
	// smoothing is the weight of one observation in a moving average.
	smoothing = 0.15
	// firstBackoff and maxBackoff bound how long a target that failed is avoided.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

// Load is what a target says of its load in an answer.
type Load struct {
	Running, Waiting, Slots int
	Slowness                float64 // of its machine now; 1: as usual
}

// target is a target as this entry VM sees it.
type target struct {
	core.Target
	confirmed bool // the present leader knows it
	granted   core.Version
	coldUntil time.Time
	coldSends []time.Time // newest sends while cold

	inFlight   int
	load       Load
	loadAt     time.Time
	loadFlight int     // inFlight when load was reported
	speed      float64 // work time relative to other targets; 1: as they
	failing    float64 // share of requests that failed lately, 0 to 1
	shedding   float64 // share of requests that it refused lately, 0 to 1
	avoidUntil time.Time
	backoff    time.Duration
	notHeld    core.Version // it refused keys under this fence
	notHeldAt  time.Time
	answeredAt time.Time
	sent       map[uint64]time.Time // requests without an answer yet
}

func newTarget(t core.Target, now time.Time) *target {
	return &target{Target: t, speed: 1, answeredAt: now, sent: map[uint64]time.Time{}, load: Load{Slowness: 1}}
}

func (t *target) slots() float64 { return float64(max(t.Slots, 1)) }

// expectedLoad is the number of requests at the target, from its newest report,
// which loses weight with age, and this VM's own requests.
func (t *target) expectedLoad(now time.Time, peers float64) float64 {
	own := float64(t.inFlight)
	if t.loadAt.IsZero() {
		return own * min(peers, 2)
	}
	reported := float64(t.load.Running+t.load.Waiting) + float64(t.inFlight-t.loadFlight)
	weight := decay(now.Sub(t.loadAt), loadMemory)
	return max(own, reported*weight+own*(1-weight))
}

// slowness is how much longer work takes on the target's machine now.
func (t *target) slowness(now time.Time) float64 {
	weight := decay(now.Sub(t.loadAt), slownessMemory)
	return 1 + (t.load.Slowness-1)*weight
}

// decay is the weight that knowledge of an age has left.
func decay(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(memory) / float64(memory+age)
}

// avoid keeps new requests away for a while, longer each time in a row.
func (t *target) avoid(now time.Time) {
	t.backoff = min(max(2*t.backoff, firstBackoff), maxBackoff)
	t.avoidUntil = now.Add(t.backoff)
}

func (t *target) works() { t.backoff, t.avoidUntil = 0, time.Time{} }

// silent reports whether requests wait for an answer far longer than expected
// while none came.
func (t *target) silent(now time.Time, patience time.Duration) bool {
	for _, at := range t.sent {
		if now.Sub(at) > patience && t.answeredAt.Before(at) {
			return true
		}
	}
	return false
}
