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
	usualQuantile = 0.9
	// knownFor is how long a target's latency counts without a new sample.
	knownFor = 5 * time.Second
	// stuckFactor times the group's high quantile without any answer makes a
	// busy target suspect.
	stuckFactor = 4
	stuckFloor  = 100 * time.Millisecond

	patienceFactor   = 8
	patienceFloor    = 500 * time.Millisecond
	patienceQuantile = 0.99
	patienceUnknown  = 2 * time.Second
	patienceSamples  = 64
)

// target is what this daemon knows of one target that it dispatches.
type target struct {
	info      core.Target
	present   bool // the table gives it to this daemon
	inFlight  int
	streaming int       // of those in flight, answers that have begun
	progress  time.Time // of the newest answer, or of the first request since it was idle
	sampled   time.Time // of the newest latency

	window   slowstart.Window
	stats    outlier.Stats
	latency  latency.Histogram
	usual    latency.Cached
	patience latency.Cached
	queue    *fairqueue.Queue[waiter] // of needs for this target only
}

// update takes a newer announcement. A new incarnation starts cold.
func (t *target) update(info core.Target) {
	if !t.present || info.Incarnation != t.info.Incarnation {
		t.window.Reset()
		t.forget()
	}
	t.info, t.present = info, true
}

// forget drops what earlier answers said.
func (t *target) forget() {
	t.stats, t.latency = outlier.Stats{}, latency.Histogram{}
	t.usual, t.patience = latency.Cached{}, latency.Cached{}
}

func (t *target) free(now time.Time) bool {
	return t.present && t.inFlight < t.window.Limit(t.info.Slots, now)
}

func (t *target) take(now time.Time) {
	if t.inFlight == t.streaming {
		t.progress = now
	}
	t.inFlight++
}

// stuck reports whether requests wait for an answer although none came for
// longer than limit.
func (t *target) stuck(limit time.Duration, now time.Time) bool {
	return t.inFlight > t.streaming && now.Sub(t.progress) > limit
}

func (t *target) candidate(now time.Time) Candidate {
	c := Candidate{InFlight: t.inFlight}
	if now.Sub(t.sampled) < knownFor {
		c.Usual = t.stats.Median()
	}
	return c
}

// patienceFor is how long a request may be without the first byte of its answer
// before its connection is suspected to be silent.
func (t *target) patienceFor() time.Duration {
	if t.latency.Count() < patienceSamples {
		return patienceUnknown
	}
	return max(patienceFactor*t.patience.Get(&t.latency, patienceQuantile), patienceFloor)
}

// observe takes what one request showed.
func (t *target) observe(a exchange.Attempt, now time.Time) {
	o := slowstart.Outcome{Kind: kindOf(a), Latency: a.Latency}
	if t.latency.Count() >= patienceSamples {
		o.Usual = t.usual.Get(&t.latency, usualQuantile)
	}
	if t.window.Observe(o, t.info.Slots, now) {
		t.forget()
	}
	switch {
	case o.Kind == slowstart.Failed || o.Kind == slowstart.Refused || a.Status >= statusServerError:
		t.stats.Failed()
	case o.Kind == slowstart.Served:
		t.stats.Served(a.Latency)
		t.latency.Add(a.Latency)
		t.sampled = now
	}
	if o.Kind != slowstart.Unknown {
		t.progress = now
	} else if a.Latency > t.stats.Median() {
		t.stats.Served(a.Latency) // cancelled: at least so slow
		t.sampled = now
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
