package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

const (
	// loadMemory is how fast a target's report of its load loses weight.
	loadMemory = 400 * time.Millisecond
	// slownessMemory is the same for its report of how slow its machine is.
	slownessMemory = 300 * time.Millisecond
	// smoothing is the weight of one observation in a moving average.
	smoothing = 0.15
	// firstBackoff is how long a target that failed is avoided at first.
	firstBackoff = 250 * time.Millisecond
	// probation is how long a target that failed and answers again is treated as
	// cold: by then its own statement has arrived.
	probation = 1500 * time.Millisecond
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
	allowance int // requests in one second while it is cold; fleet.NoLimit: any number
	// probationEnd is until when it is treated as cold without having said so.
	probationEnd time.Time
	coldSends    []time.Time // newest sends while cold

	inFlight   int
	load       Load
	loadAt     time.Time
	loadFlight int     // inFlight when load was reported
	speed      float64 // work time relative to other targets; 1: as they
	samples    int     // of speed since the newest report
	failing    float64 // share of requests that failed lately, 0 to 1
	shedding   float64 // share of requests that it refused lately, 0 to 1
	avoidUntil time.Time
	backoff    time.Duration
	notHeld    core.Version // it refused keys under this fence
	notHeldAt  time.Time
	answeredAt time.Time
	joinedAt   time.Time            // zero: it was there when this VM started
	used       bool                 // it got a request from this VM
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
	weight := hyperbolicDecay(now.Sub(t.loadAt), loadMemory)
	return max(own, reported*weight+own*(1-weight))
}

// slowness is how much longer work takes on the target's machine now.
func (t *target) slowness(now time.Time) float64 {
	weight := hyperbolicDecay(now.Sub(t.loadAt), slownessMemory)
	return 1 + (t.load.Slowness-1)*weight
}

// hyperbolicDecay is the weight that knowledge of an age has left.
func hyperbolicDecay(age, memory time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(memory) / float64(memory+age)
}

// avoid keeps new requests away for a while, longer each time in a row.
func (t *target) avoid(now time.Time, entries int) {
	longest := time.Duration(float64(entries) / fleet.ProbesPerSecond * float64(time.Second))
	t.backoff = min(max(2*t.backoff, firstBackoff), max(longest, time.Second))
	t.avoidUntil = now.Add(t.backoff)
}

// works ends the avoidance after an answer. The target may have been away, and
// may be cold without anybody having heard it yet.
func (t *target) works(now time.Time) {
	if t.backoff > firstBackoff {
		t.treatAsCold(now.Add(probation))
	}
	t.backoff, t.avoidUntil = 0, time.Time{}
}

// treatAsCold treats the target as cold until a time, if it is not for longer.
func (t *target) treatAsCold(until time.Time) {
	if until.After(t.probationEnd) {
		t.probationEnd = until
	}
}

// cold reports whether the target may be cold.
func (t *target) cold(now time.Time) bool {
	return t.coldUntil.After(now) || t.probationEnd.After(now)
}

// bad reports whether the target should get a request only if no other can, or
// as a trial: it failed lately, or is silent.
func (t *target) bad(now time.Time, patience time.Duration) bool {
	return t.avoidUntil.After(now) || t.backoff > 0 && t.inFlight > 0 || t.silent(now, patience)
}

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
