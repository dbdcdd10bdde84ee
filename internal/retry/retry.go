// Package retry decides whether a request that failed is sent again, and when.
// A request that may not be repeated is only sent again when it is proved that
// it has not run. It is a decisions layer only.
package retry

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	ratio        = 0.03 // retries and hedges for each first attempt
	reserve      = 10   // of them that a quiet service may spend at once
	maxAttempts  = 4    // of one request, the first included
	maxMoves     = 64   // waits of one request for an assignment to change
	firstBackoff = 5 * time.Millisecond
	maxBackoff   = 100 * time.Millisecond
)

// Budget bounds the retries and hedges of one service to a few per cent of its
// first attempts. Its zero value is empty; NewBudget returns one with a reserve.
type Budget struct{ tokens float64 }

// NewBudget returns a budget that holds its reserve.
func NewBudget() Budget { return Budget{tokens: reserve} }

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.tokens+ratio, reserve) }

// Withdraw takes the right to one retry or hedge.
func (b *Budget) Withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns what was withdrawn for a send that did not happen.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, reserve) }

// Action says what becomes of a failed request.
type Action uint8

// The actions.
const (
	GiveUp     Action = iota + 1 // the caller gets the error
	Again                        // at once, on another target if there is one
	AwaitTable                   // once the assignments changed or Wait has passed
)

// Decision is an action and the time that it may wait at most.
type Decision struct {
	Action Action
	Wait   time.Duration
}

// History is what one request has been through.
type History struct {
	Attempts int // that a target or another daemon was asked
	Moves    int // that ended because an assignment was about to change
}

// Next decides about a request that ended with err and has left until its
// deadline. It counts the attempt in h.
func Next(h *History, err *result.Error, repeatable bool, left time.Duration) Decision {
	if left <= 0 || err.Ran != result.NotRun && !repeatable {
		return Decision{Action: GiveUp}
	}
	switch err.Code {
	case result.NotOwner, result.ShardUnassigned, result.NoLease, result.NoTarget,
		result.DataCentreOut:
		h.Moves++
		return wait(h.Moves, maxMoves, left)
	case result.CellUnreachable:
		h.Moves++
		h.Attempts++
		return wait(h.Moves, maxMoves, left)
	case result.ConnectFailed, result.TargetRefused, result.ForwardLost,
		result.ConnectionLost, result.AnswerMismatch, result.TargetTimeout:
		h.Attempts++
		if h.Attempts >= maxAttempts {
			return Decision{Action: GiveUp}
		}
		return Decision{Action: Again}
	default:
		return Decision{Action: GiveUp}
	}
}

func wait(n, limit int, left time.Duration) Decision {
	if n >= limit {
		return Decision{Action: GiveUp}
	}
	d := min(firstBackoff<<min(n-1, 8), maxBackoff)
	if d >= left {
		return Decision{Action: GiveUp}
	}
	return Decision{Action: AwaitTable, Wait: d}
}
