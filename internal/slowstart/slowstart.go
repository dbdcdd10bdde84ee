// Package slowstart limits the requests in flight on one target by what the
// target has shown that it bears: one at a time at first, then a ramp that
// grows with each served round and shrinks on signs of overload. It is a
// decisions layer only.
package slowstart

import "time"

const (
	growth        = 0.5                   // of the allowance, for each served round
	decrease      = 0.5                   // of the allowance, after a failure
	slowFactor    = 3                     // times the usual latency that counts as slow
	slowFloor     = 5 * time.Millisecond  // differences below this never count
	slowRun       = 6                     // slow answers in a row that show a cold target
	smoothing     = 8                     // answers over which a latency becomes typical
	slowSmoothing = 32                    // the same for slow answers
	firstPause    = 50 * time.Millisecond // after a refusal while one at a time was allowed
	longestStop   = time.Second
)

// Kind is what one request showed of its target.
type Kind uint8

// The kinds of outcomes.
const (
	Served  Kind = iota + 1 // an answer came in Outcome.Latency
	Shed                    // the target refused work that its slots allow
	Refused                 // no connection could be made
	Failed                  // no answer came, or not a whole one
	Unknown                 // the caller left, or the request was never sent
)

// Outcome is the end of one request on the target.
type Outcome struct {
	Kind    Kind
	Latency time.Duration // to the first byte of the answer
	Usual   time.Duration // high quantile of the target's own latency; 0: not known
}

// Window is the allowance of one target. Its zero value is a cold target.
type Window struct {
	grown    float64       // allowance above one
	warm     bool          // the allowance reached the slots since the last reset
	typical  time.Duration // latency of the present ramp, smoothed
	slow     int           // slow answers in a row
	hold     int           // ends of requests to pass before another decrease
	pause    time.Duration // length of the newest pause
	pausedTo time.Time
}

// Reset makes the target cold: one request at a time.
func (w *Window) Reset() { *w = Window{} }

// Cold reports whether the target has yet to show that it bears all its slots.
func (w *Window) Cold() bool { return !w.warm }

// PausedTo is when the target may be tried again after it refused a lone
// request.
func (w *Window) PausedTo() time.Time { return w.pausedTo }

// Limit is how many requests may be in flight on a target of so many slots.
func (w *Window) Limit(slots int, now time.Time) int {
	if now.Before(w.pausedTo) {
		return 0
	}
	return min(slots, 1+int(w.grown))
}

// Observe takes the end of a request. It reports whether the target turned
// cold, after which its earlier latencies say nothing.
func (w *Window) Observe(o Outcome, slots int, now time.Time) (turnedCold bool) {
	w.hold = max(w.hold-1, 0)
	switch o.Kind {
	case Served:
		return w.served(o, slots)
	case Shed, Refused:
		return w.backOff(now)
	case Failed:
		if w.grown < 1 {
			return w.backOff(now)
		}
		w.shrink()
	case Unknown:
	}
	return false
}

// served grows the window by growth for each round of answers, at least by one,
// as long as they are not slow.
func (w *Window) served(o Outcome, slots int) bool {
	w.pause = 0
	slow := w.isSlow(o)
	w.learn(o.Latency, slow)
	if slow {
		w.slow++
		if w.slow < slowRun {
			return false
		}
		return w.slowed()
	}
	w.slow = 0
	allowance := 1 + w.grown
	w.grown = min(w.grown+max(growth, 1/allowance), float64(slots-1))
	if allowance >= float64(slots) || w.grown >= float64(slots-1) {
		w.warm = true
	}
	return false
}

// learn smooths the latencies of the ramp. A slow answer counts at most as the
// limit of slow ones and with less weight, so that overload does not become
// typical, and one fast answer does not make all others slow for good.
func (w *Window) learn(latency time.Duration, slow bool) {
	if w.typical == 0 {
		w.typical = latency
	}
	if slow {
		w.typical += (slowFactor*w.typical + slowFloor - w.typical) / slowSmoothing
		return
	}
	w.typical += (latency - w.typical) / smoothing
}

// isSlow compares with the target's own quantile once it is warm, and with the
// typical answer of the ramp before that.
func (w *Window) isSlow(o Outcome) bool {
	usual := w.typical
	if w.warm && o.Usual > 0 {
		usual = o.Usual
	}
	return o.Latency > slowFactor*usual+slowFloor
}

// slowed acts on a run of slow answers: a warm target fell back into cold
// start, one that ramps has more than it bears.
func (w *Window) slowed() bool {
	w.slow = 0
	if w.warm {
		w.Reset()
		return true
	}
	w.shrink()
	return false
}

// backOff makes the target cold. When it refused although it had one request at
// most, it rests, each time twice as long, so that a target which fails fast
// does not draw all the work.
func (w *Window) backOff(now time.Time) bool {
	wasWarm, pause := w.warm, w.pause
	lone := w.grown < 1
	w.Reset()
	if lone && !wasWarm {
		w.pause = min(max(2*pause, firstPause), longestStop)
		w.pausedTo = now.Add(w.pause)
	}
	return wasWarm
}

func (w *Window) shrink() {
	if w.hold > 0 {
		return
	}
	w.hold = 1 + int(w.grown)
	w.grown = max((1+w.grown)*decrease-1, 0)
}
