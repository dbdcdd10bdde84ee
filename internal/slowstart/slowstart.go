// Package slowstart limits the requests in flight on one target to the capacity
// that the target has shown: one request at a time at first, then a window that
// grows with the answers and shrinks on signs of overload. The package has no I/O
// and no goroutines.
package slowstart

import "time"

const (
	growth        = 0.5                   // growth of the window for each answer, in requests
	decrease      = 0.5                   // factor by which the window shrinks after a failure
	slowFactor    = 3                     // an answer is slow above slowFactor times the usual latency plus slowFloor
	slowFloor     = 5 * time.Millisecond  // added to that threshold, so that small differences are not slow if the usual latency is short
	slowRun       = 6                     // slow answers in a row that indicate a cold target
	smoothing     = 8                     // the typical latency moves by 1/smoothing of its difference to each answer
	slowSmoothing = 32                    // like smoothing, for slow answers
	firstPause    = 50 * time.Millisecond // pause after the first refusal of a lone request
	maxPause      = time.Second
)

// Kind is the kind of outcome of one request.
type Kind uint8

// The kinds of outcomes.
const (
	Served        Kind = iota + 1 // an answer arrived after Outcome.Latency
	TargetRefused                 // the target answered that it refuses the request, although it had free slots
	ConnectFailed                 // no connection could be made
	Failed                        // no answer or an incomplete one arrived
	Unknown                       // the caller disconnected, or the request was never sent
)

// Outcome is the end of one request on the target.
type Outcome struct {
	Kind    Kind
	Latency time.Duration // time to the first byte of the answer
	Usual   time.Duration // high quantile of the target's latencies, 0 while there are too few of them
}

// Window limits the requests in flight on one target. The zero value is the
// window of a cold target.
type Window struct {
	extra          float64       // window size minus one, so that the zero value is a window of one request
	warm           bool          // the window has covered all slots since the last reset
	typicalLatency time.Duration // moving average of the latency since the last reset; used until the target is warm, or while Outcome.Usual is 0
	slowInRow      int           // slow answers in a row
	shrinkHold     int           // requests that have to end before the window may shrink again
	pause          time.Duration // length of the newest pause
	pausedUntil    time.Time
}

// Reset makes the target cold: one request at a time.
func (w *Window) Reset() { *w = Window{} }

// Cold reports whether the target has not yet sustained requests on all its
// slots.
func (w *Window) Cold() bool { return !w.warm }

// PausedUntil is the time from which the target gets requests again after it
// refused a lone one.
func (w *Window) PausedUntil() time.Time { return w.pausedUntil }

// Limit returns how many requests may be in flight on a target with the given
// number of slots.
func (w *Window) Limit(slots int, now time.Time) int {
	if now.Before(w.pausedUntil) {
		return 0
	}
	return min(slots, 1+int(w.extra))
}

// Observe records the end of a request. It reports whether the target turned
// cold; latencies measured before that are then no longer meaningful.
func (w *Window) Observe(o Outcome, slots int, now time.Time) (turnedCold bool) {
	w.shrinkHold = max(w.shrinkHold-1, 0)
	switch o.Kind {
	case Served:
		return w.served(o, slots)
	case TargetRefused, ConnectFailed:
		return w.backOff(now)
	case Failed:
		if w.extra < 1 {
			return w.backOff(now)
		}
		w.shrink()
	case Unknown:
	}
	return false
}

// served grows the window unless the answer is slow: by growth for each
// answer, and faster while the window is small.
func (w *Window) served(o Outcome, slots int) bool {
	w.pause = 0
	slow := w.isSlow(o)
	w.updateTypical(o.Latency, slow)
	if slow {
		w.slowInRow++
		if w.slowInRow < slowRun {
			return false
		}
		return w.handleSlowRun()
	}
	w.slowInRow = 0
	size := 1 + w.extra
	w.extra = min(w.extra+max(growth, 1/size), float64(slots-1))
	if size >= float64(slots) || w.extra >= float64(slots-1) {
		w.warm = true
	}
	return false
}

// updateTypical updates the typical latency, a moving average. The latency of a
// slow answer is capped at the threshold above which an answer is slow, and
// counts with less weight, so that the latency under overload does not become
// typical. It still counts, because otherwise a first answer that is unusually
// fast would make all later ones slow for good.
func (w *Window) updateTypical(latency time.Duration, slow bool) {
	if w.typicalLatency == 0 {
		w.typicalLatency = latency
	}
	if slow {
		w.typicalLatency += (slowFactor*w.typicalLatency + slowFloor - w.typicalLatency) / slowSmoothing
		return
	}
	w.typicalLatency += (latency - w.typicalLatency) / smoothing
}

// isSlow reports whether the latency is far above the usual one. The usual latency
// is Outcome.Usual once the target is warm and Outcome.Usual is known, and the
// typical latency since the last reset otherwise.
func (w *Window) isSlow(o Outcome) bool {
	usual := w.typicalLatency
	if w.warm && o.Usual > 0 {
		usual = o.Usual
	}
	return o.Latency > slowFactor*usual+slowFloor
}

// handleSlowRun handles slowRun slow answers in a row: a warm target has
// become cold again, and one that is still warming up has more requests than
// its capacity.
func (w *Window) handleSlowRun() bool {
	w.slowInRow = 0
	if w.warm {
		w.Reset()
		return true
	}
	w.shrink()
	return false
}

// backOff makes the target cold. If it refused a lone request, it gets none for a
// pause, which doubles each time, so that a target which fails quickly does not
// attract most of the requests.
func (w *Window) backOff(now time.Time) bool {
	wasWarm, pause := w.warm, w.pause
	lone := w.extra < 1
	w.Reset()
	if lone && !wasWarm {
		w.pause = min(max(2*pause, firstPause), maxPause)
		w.pausedUntil = now.Add(w.pause)
	}
	return wasWarm
}

// shrink reduces the window once for the requests in flight, not once for each of
// them that fails.
func (w *Window) shrink() {
	if w.shrinkHold > 0 {
		return
	}
	w.shrinkHold = 1 + int(w.extra)
	w.extra = max((1+w.extra)*decrease-1, 0)
}
