package relay

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	// minFailureStatus is the lowest HTTP status that counts as a failure of
	// the target.
	minFailureStatus = 500
	// maxNotRunRetries is how many attempts of one request that provably did not
	// run are each followed by another attempt. One more such attempt ends the
	// request.
	maxNotRunRetries = 3
	// minRetryTime is the shortest time before the deadline in which another
	// attempt is worthwhile.
	minRetryTime = 30 * time.Millisecond
	// maxOwnerWait bounds the wait for a key's next owner.
	maxOwnerWait = 1500 * time.Millisecond
	// ownerWaitFraction is the fraction of the time left until the deadline
	// that may be spent waiting for a key's next owner.
	ownerWaitFraction = 0.5
)

// StopWindow bounds the requests that a stopping entry VM takes. The zero value is
// that of a VM that isn't stopping.
type StopWindow struct {
	TakeAllUntil time.Time // until then requests are taken whatever their deadlines
	End          time.Time // answers can be delivered until then
}

// Admits reports whether a request may be taken. Towards the end a request that may
// still run when the VM stops is better rejected, so that the caller repeats it
// elsewhere, than cut off without an answer.
func (w StopWindow) Admits(now, deadline time.Time) bool {
	return w.End.IsZero() || now.Before(w.TakeAllUntil) || !deadline.After(w.End)
}

// ownerWait returns how long to wait for a key's next owner.
func ownerWait(left time.Duration) time.Duration {
	return min(time.Duration(float64(left)*ownerWaitFraction), maxOwnerWait)
}

// history counts the attempts of one request and their outcomes.
type history struct {
	maxAttempts int // most attempts that may run, from the route
	retryable   bool
	attempts    int // attempts, including those for which no target was found
	ran         int // finished attempts that ran or may have run
	notRun      int // finished attempts that provably did not run
	mayHaveRun  bool
	hedged      bool
}

// record records the outcome of an attempt and reports whether the request ends
// with it.
func (h *history) record(s AttemptResult) bool {
	if s.Err == nil {
		h.ran++
		h.mayHaveRun = true
		return s.Answer.Status < minFailureStatus
	}
	if s.Err.Ran == result.NotRun {
		h.notRun++
	} else {
		h.ran++
		h.mayHaveRun = true
	}
	return s.Err.Code == result.CallerGone
}

// shouldRetry reports whether the request is retried after a failed attempt. A
// request that is not retryable is sent again only if no attempt can
// have run.
func (h *history) shouldRetry(s AttemptResult, left time.Duration) bool {
	if left < minRetryTime || h.notRun > maxNotRunRetries || h.ran+h.notRun >= h.maxAttempts+maxNotRunRetries {
		return false
	}
	if s.Err != nil && s.Err.Code == result.TargetTimeout {
		return false
	}
	if h.mayHaveRun {
		return h.retryable && h.ran < h.maxAttempts
	}
	return true
}

// mayHedge reports whether a second attempt may start while the first one is
// still unanswered.
func (h *history) mayHedge(left time.Duration) bool {
	return h.retryable && !h.hedged && h.ran+1 < h.maxAttempts && left > minRetryTime
}
