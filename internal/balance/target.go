package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

const (
	// loadHalfLife is the age at which a target's load report counts half.
	loadHalfLife = 400 * time.Millisecond
	// slownessHalfLife is the age at which a target's reported slowness counts
	// half.
	slownessHalfLife = 300 * time.Millisecond
	// smoothing is the weight of one observation in a moving average.
	smoothing = 0.15
	// firstBackoff is how long a target is avoided after its first failure.
	firstBackoff = 250 * time.Millisecond
	// probation is how long a target that answers again after failures is treated
	// as cold. By then the target itself has reported whether it is cold.
	probation = 1500 * time.Millisecond
)

// Load is the load that a target reports with an answer.
type Load struct {
	Running, Waiting, Slots int
	Slowness                float64 // current processing time relative to the usual one, 1 = usual
}

// target is a target as this entry VM sees it.
type target struct {
	core.Target
	rank      float64      // random; orders the targets in this VM's subsets
	confirmed bool         // the current leader has reported the target
	granted   core.Version // highest fence of the keys granted to the target
	coldUntil time.Time
	allowance int // requests per second from this VM while cold; fleet.NoLimit means no limit
	// probationEnd is the time until which the target is treated as cold although
	// it has not reported that it is.
	probationEnd time.Time
	coldSends    []time.Time // times of the newest requests sent while cold

	inFlight     int
	load         Load
	loadAt       time.Time
	loadInFlight int     // value of inFlight when load was reported
	speed        float64 // processing time relative to other targets, 1 = average, larger = slower
	samples      int     // observations of speed since it was last reported
	failureRate  float64 // moving average of failed requests, 0 to 1
	refusalRate  float64 // moving average of requests that the target refused, 0 to 1
	avoidUntil   time.Time
	backoff      time.Duration
	// mayHaveStopped reports that a failure since the last answer was no reset: some
	// targets reset connections when they are full.
	mayHaveStopped bool
	refusedFence   core.Version // fence under which the target refused keys
	refusedAt      time.Time
	answeredAt     time.Time
	restUntil      time.Time // the target asked this VM to send it nothing before this time
	// drainingSince is when this VM first knew that the target gets no new work;
	// zero if it may get some.
	drainingSince time.Time
	announced     bool                 // the target itself told the leader that it is draining
	departed      bool                 // the leader listed the target as gone after a planned stop
	joinedAt      time.Time            // zero for targets that were there when this VM started
	tried         bool                 // this VM has sent it a request
	pending       map[uint64]time.Time // send times of unanswered requests by ticket
}

func newTarget(t core.Target, rank float64, now time.Time) *target {
	return &target{Target: t, rank: rank, speed: 1, answeredAt: now, pending: map[uint64]time.Time{}, load: Load{Slowness: 1}}
}

func (t *target) slots() float64 { return float64(max(t.Slots, 1)) }

// expectedLoad estimates the number of requests at the target from its newest
// load report, which loses weight with age, and from this VM's own requests.
// peers is the number of entry VMs.
func (t *target) expectedLoad(now time.Time, peers float64) float64 {
	own := float64(t.inFlight)
	if t.loadAt.IsZero() {
		return own * min(peers, 2)
	}
	reported := float64(t.load.Running+t.load.Waiting) + float64(t.inFlight-t.loadInFlight)
	weight := hyperbolicDecay(now.Sub(t.loadAt), loadHalfLife)
	return max(own, reported*weight+own*(1-weight))
}

// slowness estimates the target's current processing time relative to its usual
// one, from its newest report.
func (t *target) slowness(now time.Time) float64 {
	weight := hyperbolicDecay(now.Sub(t.loadAt), slownessHalfLife)
	return 1 + (t.load.Slowness-1)*weight
}

// hyperbolicDecay returns the weight of a report of the given age: 1 for a new
// one, 1/2 at the age halfLife.
func hyperbolicDecay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return float64(halfLife) / float64(halfLife+age)
}

// backOff keeps new requests away for a while, twice as long after each
// failure in a row. The upper limit grows with the number of entry VMs, so
// that all of them together send a failing target about fleet.ProbesPerSecond
// requests per second.
func (t *target) backOff(now time.Time, entryVMs int) {
	longest := time.Duration(float64(entryVMs) / fleet.ProbesPerSecond * float64(time.Second))
	t.backoff = min(max(2*t.backoff, firstBackoff), max(longest, time.Second))
	t.avoidUntil = now.Add(t.backoff)
}

// endBackoff ends the backoff after an answer. A target that failed several
// times in a row may have restarted and be cold without having reported it
// yet, so it is treated as cold.
func (t *target) endBackoff(now time.Time) {
	if t.backoff > firstBackoff && t.mayHaveStopped {
		t.treatAsCold(now.Add(probation))
	}
	t.backoff, t.avoidUntil, t.mayHaveStopped = 0, time.Time{}, false
}

// treatAsCold treats the target as cold at least until the given time.
func (t *target) treatAsCold(until time.Time) {
	if until.After(t.probationEnd) {
		t.probationEnd = until
	}
}

// resting reports whether the target asked this VM to send it nothing yet.
func (t *target) resting(now time.Time) bool { return t.restUntil.After(now) }

// cold reports whether the target may be cold.
func (t *target) cold(now time.Time) bool {
	return t.coldUntil.After(now) || t.probationEnd.After(now)
}

// suspect reports whether the target failed recently or does not respond
// within the timeout. Such a target gets a request only if no other target can
// take it, or a single one as a probe once its backoff is over.
func (t *target) suspect(now time.Time, timeout time.Duration) bool {
	return t.avoidUntil.After(now) || t.backoff > 0 && t.inFlight > 0 || t.unresponsive(now, timeout)
}

// unresponsive reports whether a request has been unanswered for longer than the
// timeout and no other answer has come since it was sent.
func (t *target) unresponsive(now time.Time, timeout time.Duration) bool {
	for _, sentAt := range t.pending {
		if now.Sub(sentAt) > timeout && t.answeredAt.Before(sentAt) {
			return true
		}
	}
	return false
}
