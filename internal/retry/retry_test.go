package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TestUnretryableRequestRunsOnce checks for every result code that a request
// which is not retryable is sent again only if its error states that it has
// not run.
func TestUnretryableRequestRunsOnce(t *testing.T) {
	is := is.New(t)
	for code := range result.Codes() {
		for _, ran := range []result.Ran{result.NotRun, result.MayHaveRun, result.HasRun} {
			e := &result.Error{Code: code, Ran: ran}
			d := Decide(&History{}, e, false, time.Second)
			is.True(ran == result.NotRun || d.Action == GiveUp)
		}
	}
}

// TestRetriesStayAFewPerCent checks the budget of a service of which every
// request fails.
func TestRetriesStayAFewPerCent(t *testing.T) {
	is := is.New(t)
	b, spent := NewBudget(), 0
	for range 10000 {
		b.Deposit()
		for b.Withdraw() {
			spent++
		}
	}
	is.True(spent <= 10000*3/100+maxUnusedRetries)
	is.True(spent > 250)
}

// TestRetriesEnd checks that no request is retried without end or past its
// deadline.
func TestRetriesEnd(t *testing.T) {
	is := is.New(t)
	for _, code := range []result.Code{result.NotOwner, result.TargetRefused, result.CellUnreachable, result.NoLease} {
		var h History
		retries := 0
		for Decide(&h, result.New(code, ""), true, time.Minute).Action != GiveUp {
			retries++
		}
		is.True(retries > 0 && retries <= maxAssignmentWaits)
		is.Equal(Decide(&History{}, result.New(code, ""), true, 0).Action, GiveUp)
	}
}
