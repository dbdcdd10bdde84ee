package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/fairqueue"
	"github.com/comfreynotch/comfreynotch/internal/latency"
	"github.com/comfreynotch/comfreynotch/internal/outlier"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/slowstart"
)

const (
	// usualQuantile is the quantile of a target's latencies that slow start compares
	// new latencies with.
	usualQuantile = 0.9
	// latencyValidity is how long a target's latency is used without a new sample.
	latencyValidity = 5 * time.Second
	// A target with requests in flight counts as stuck if it has not answered any
	// for stuckFactor times the stuckQuantile of the service's latencies, and at
	// least stuckFloor.
	stuckFactor = 4
	stuckFloor  = 100 * time.Millisecond

	// The first-byte timeout of a target is firstByteTimeoutFactor times a quantile
	// of its latencies, and at least firstByteTimeoutFloor.
	firstByteTimeoutFactor   = 8
	firstByteTimeoutFloor    = 500 * time.Millisecond
	firstByteTimeoutQuantile = 0.99
	firstByteTimeoutDefault  = 2 * time.Second // with fewer than minLatencySamples
	minLatencySamples        = 64
)

// target is the state of one target that this daemon dispatches.
type target struct {
	info         core.Target
	assigned     bool // the table assigns it to this daemon
	inFlight     int
	streaming    int       // requests in flight whose answer has begun
	lastProgress time.Time // time of the newest answer, or of the first request after an idle period
	lastSample   time.Time // time of the newest latency

	window         slowstart.Window
	stats          outlier.Stats
	latency        latency.Histogram
	usualLatency   latency.Cached
	timeoutLatency latency.Cached
	queue          *fairqueue.Queue[waiter] // requests for this target only
}

// update applies an announcement. A new target or incarnation begins in slow
// start.
func (t *target) update(info core.Target) {
	if !t.assigned || info.Incarnation != t.info.Incarnation {
		t.window.Reset()
		t.resetStats()
	}
	t.info, t.assigned = info, true
}

// resetStats discards what earlier answers showed.
func (t *target) resetStats() {
	t.stats, t.latency = outlier.Stats{}, latency.Histogram{}
	t.usualLatency, t.timeoutLatency = latency.Cached{}, latency.Cached{}
}

func (t *target) hasFreeSlot(now time.Time) bool {
	return t.assigned && t.inFlight < t.window.Limit(t.info.Slots, now)
}

func (t *target) takeSlot(now time.Time) {
	if t.inFlight == t.streaming {
		t.lastProgress = now
	}
	t.inFlight++
}

// stuck reports whether requests have waited for an answer for longer than limit
// without any answer.
func (t *target) stuck(limit time.Duration, now time.Time) bool {
	return t.inFlight > t.streaming && now.Sub(t.lastProgress) > limit
}

func (t *target) candidate(now time.Time) Candidate {
	c := Candidate{InFlight: t.inFlight}
	if now.Sub(t.lastSample) < latencyValidity {
		c.MedianLatency = t.stats.Median()
	}
	return c
}

// firstByteTimeout returns how long a request may wait for the first byte of its
// answer before its connection is suspected to be dead.
func (t *target) firstByteTimeout() time.Duration {
	if t.latency.Count() < minLatencySamples {
		return firstByteTimeoutDefault
	}
	return max(firstByteTimeoutFactor*t.timeoutLatency.Get(&t.latency, firstByteTimeoutQuantile), firstByteTimeoutFloor)
}

// observe records the outcome of one request.
func (t *target) observe(a exchange.Attempt, now time.Time) {
	outcome := slowstart.Outcome{Kind: kindOf(a), Latency: a.Latency}
	if t.latency.Count() >= minLatencySamples {
		outcome.Usual = t.usualLatency.Get(&t.latency, usualQuantile)
	}
	if t.window.Observe(outcome, t.info.Slots, now) {
		t.resetStats()
	}
	switch {
	case outcome.Kind == slowstart.Failed || outcome.Kind == slowstart.Refused || a.Status >= statusServerError:
		t.stats.Failed()
	case outcome.Kind == slowstart.Served:
		t.stats.Served(a.Latency)
		t.latency.Add(a.Latency)
		t.lastSample = now
	}
	if outcome.Kind != slowstart.Unknown {
		t.lastProgress = now
	} else if a.Latency > t.stats.Median() {
		t.stats.Served(a.Latency) // cancelled: the answer would have taken at least this long
		t.lastSample = now
	}
}

const statusServerError = 500

func kindOf(a exchange.Attempt) slowstart.Kind {
	switch a.Code {
	case result.OK:
		return slowstart.Served
	case result.TargetRefused:
		return slowstart.Shed
	case result.ConnectFailed:
		return slowstart.Refused
	case result.TargetTimeout, result.ConnectionLost, result.AnswerMismatch:
		return slowstart.Failed
	default:
		return slowstart.Unknown
	}
}
