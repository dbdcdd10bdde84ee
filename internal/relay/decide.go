package relay

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	// failureStatus is the first status of a target that failed.
	failureStatus = 500
	// maxUnrunSends bounds the sendings of one request that provably did not run.
	maxUnrunSends = 3
	// minRetryTime is the least time left in which another sending makes sense.
	minRetryTime = 30 * time.Millisecond
	// maxOwnerWait bounds the wait for a key's next owner.
	maxOwnerWait = 1500 * time.Millisecond
	// ownerWaitPart of the time left is spent waiting for a key's next owner.
	ownerWaitPart = 0.5
)

func ownerWait(left time.Duration) time.Duration {
	return min(time.Duration(float64(left)*ownerWaitPart), maxOwnerWait)
}

// history is what one request has been through.
type history struct {
	attempts   int // targets that may run it
	repeatable bool
	sends      int
	ran        int // sendings that may have run
	unrun      int // sendings that provably did not
	mayHaveRun bool
	hedged     bool
}

// ended takes an outcome and reports whether it is the request's answer.
func (h *history) ended(s Sent) bool {
	if s.Err == nil {
		h.ran++
		h.mayHaveRun = true
		return s.Answer.Status < failureStatus
	}
	if s.Err.Ran == result.NotRun {
		h.unrun++
	} else {
		h.ran++
		h.mayHaveRun = true
	}
	return s.Err.Code == result.CallerGone
}

// again reports whether the request is sent once more after a failure. One
// that may not be repeated is, only if no sending can have run.
func (h *history) again(s Sent, left time.Duration) bool {
	if left < minRetryTime || h.unrun > maxUnrunSends || h.ran+h.unrun >= h.attempts+maxUnrunSends {
		return false
	}
	if s.Err != nil && s.Err.Code == result.TargetTimeout {
		return false
	}
	if h.mayHaveRun {
		return h.repeatable && h.ran < h.attempts
	}
	return true
}

// mayHedge reports whether a second sending may start while the first is
// silent.
func (h *history) mayHedge(left time.Duration) bool {
	return h.repeatable && !h.hedged && h.ran+1 < h.attempts && left > minRetryTime
}
