// Package slowstart limits the requests in flight on one target to the capacity
// that the target has shown: one request at a time at first, then a window that
// grows with the answers and shrinks on signs of overload. The package has no I/O
// and no goroutines.
package slowstart

import "time"

const (
	growth        = 0.5                   // growth of the window for each answer, in requests
	decrease      = 0.5                   // factor by which the window shrinks after a failure
	slowFactor    = 3                     // multiple of the usual latency above which an answer is slow
	slowFloor     = 5 * time.Millisecond  // smaller differences from the usual latency are never slow
	slowRun       = 6                     // slow answers in a row that indicate a cold target
	smoothing     = 8                     // inverse weight of an answer in the typical latency
	slowSmoothing = 32                    // inverse weight of a slow answer
	firstPause    = 50 * time.Millisecond // pause after the first refusal of a lone request
	maxPause      = time.Second
)

// Kind is the kind of outcome of one request.
type Kind uint8

// The kinds of outcomes.
const (
	Served  Kind = iota + 1 // an answer arrived after Outcome.Latency
	Shed                    // the target refused the request although it had free slots
	Refused                 // no connection could be made
	Failed                  // no answer or an incomplete one arrived
	Unknown                 // the caller disconnected, or the request was never sent
)

// Outcome is the end of one request on the target.
type Outcome struct {
	Kind    Kind
	Latency time.Duration // time to the first byte of the answer
	Usual   time.Duration // high quantile of the target's own latency, 0 if unknown
}

// Window limits the requests in flight on one target. The zero value is the
// window of a cold target.
type Window struct {
	grown          float64       // window size minus one
	warm           bool          // the window has covered all slots since the last reset
	typicalLatency time.Duration // moving average of the latency since the last reset
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
	return min(slots, 1+int(w.grown))
}

// Observe records the end of a request. It reports whether the target turned
// cold; latencies measured before that are then no longer meaningful.
func (w *Window) Observe(o Outcome, slots int, now time.Time) (turnedCold bool) {
	w.shrinkHold = max(w.shrinkHold-1, 0)
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
	size := 1 + w.grown
	w.grown = min(w.grown+max(growth, 1/size), float64(slots-1))
	if size >= float64(slots) || w.grown >= float64(slots-1) {
		w.warm = true
	}
	return false
}

// updateTypical updates the typical latency. A slow answer counts as one at
// the threshold for slow answers, with less weight. So overload does not
// become typical, and a single unusually fast answer does not make all later
// ones slow for good.
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

// isSlow compares the latency with the target's own quantile once it is warm, and
// with the typical latency since the reset before that.
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
	lone := w.grown < 1
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
	w.shrinkHold = 1 + int(w.grown)
	w.grown = max((1+w.grown)*decrease-1, 0)
}
