// Package retry decides whether a failed request is sent again, and when. A
// request that is not retryable is sent again only if it provably has not run.
// The package has no I/O and no goroutines.
package retry

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	retriesPerFirstAttempt = 0.03 // retries and hedges that one first attempt adds to the budget
	maxUnusedRetries       = 10   // most retries and hedges that a service can have in its budget
	maxAttempts            = 4    // attempts of one request, including the first
	maxAssignmentWaits     = 64   // times that one request waits for an assignment to change
	firstBackoff           = 5 * time.Millisecond
	maxBackoff             = 100 * time.Millisecond
)

// Budget bounds the retries and hedges of one service to a few per cent of its
// first attempts. The zero value is an empty budget.
type Budget struct{ tokens float64 }

// NewBudget returns a budget of maxUnusedRetries, the largest there is.
func NewBudget() Budget { return Budget{tokens: maxUnusedRetries} }

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+retriesPerFirstAttempt, maxUnusedRetries) }

// Withdraw takes one retry or hedge from the budget and reports whether there was
// one left.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns one retry or hedge that was withdrawn but not sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, maxUnusedRetries) }

// Action is what happens to a failed request.
type Action uint8

// The actions.
const (
	GiveUp          Action = iota + 1 // return the error to the caller
	RetryNow                          // retry at once, on another target if there is one
	AwaitAssignment                   // retry when the assignments have changed or Wait has passed
)

// Decision is an action with the longest time to wait before it.
type Decision struct {
	Action Action
	Wait   time.Duration
}

// History counts the failed attempts of one request.
type History struct {
	Attempts        int // attempts that failed at a target or another daemon
	AssignmentWaits int // attempts that failed because an assignment was missing or outdated
}

// Decide returns what happens to a request whose attempt ended with err, and
// counts the attempt in h. left is the time until the request's deadline.
func Decide(h *History, err *result.Error, retryable bool, left time.Duration) Decision {
	if left <= 0 || err.Ran != result.NotRun && !retryable {
		return Decision{Action: GiveUp}
	}
	switch err.Code {
	case result.NotOwner, result.ShardUnassigned, result.NoLease, result.NoTarget,
		result.DataCentreOut:
		h.AssignmentWaits++
		return wait(h.AssignmentWaits, maxAssignmentWaits, left)
	case result.CellUnreachable:
		h.AssignmentWaits++
		h.Attempts++
		return wait(h.AssignmentWaits, maxAssignmentWaits, left)
	case result.ConnectFailed, result.TargetRefused, result.ForwardLost,
		result.ConnectionLost, result.AnswerMismatch, result.TargetTimeout:
		h.Attempts++
		if h.Attempts >= maxAttempts {
			return Decision{Action: GiveUp}
		}
		return Decision{Action: RetryNow}
	default:
		return Decision{Action: GiveUp}
	}
}

// wait backs off exponentially with the number of waits so far. It gives up if
// limit is reached or the backoff would exceed the time left.
func wait(waits, limit int, left time.Duration) Decision {
	if waits >= limit {
		return Decision{Action: GiveUp}
	}
	backoff := min(firstBackoff<<min(waits-1, 8), maxBackoff)
	if backoff >= left {
		return Decision{Action: GiveUp}
	}
	return Decision{Action: AwaitAssignment, Wait: backoff}
}
