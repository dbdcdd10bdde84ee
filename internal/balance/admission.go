package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Admit charges a request to the rate of its workspace and counts it for the
// retry budget of its service. If draw is true, this VM has no token left but the
// workspace's counter may supply one: the caller asks it and passes the answer
// to ApplySupply or DrawFailed. Every error states that the request has not run.
func (p *Pool) Admit(r Request, now time.Time) (draw bool, err *result.Error) {
	p.budgetOf(r.Service, now).requests++
	if r.Workspace == "" || p.state.Catalog.Tenants[r.Workspace].Rate <= 0 {
		return false, nil
	}
	b := p.bucketOf(r.Workspace)
	b.countDemand(now)
	switch {
	case now.Before(p.sharesUntil) && b.take(now):
		return false, nil
	case !now.Before(b.noDrawBefore):
		return true, nil
	}
	return false, p.rateExceeded(r.Workspace, now)
}

// ApplySupply applies a counter's answer to a draw and returns how many of the
// waiting requests are admitted.
func (p *Pool) ApplySupply(s quota.Supply, waiting int, now time.Time) int {
	if s.Tokens < waiting {
		p.bucketOf(s.Workspace).noDrawBefore = now.Add(s.RetryAfter)
	}
	return min(s.Tokens, waiting)
}

// DrawFailed records that neither the counter of a workspace nor its backup
// answered a draw, so requests do not wait for them for a while.
func (p *Pool) DrawFailed(w core.Workspace, now time.Time) {
	p.bucketOf(w).noDrawBefore = now.Add(failedDrawPause)
}

// failedDrawPause is the time without draws after one that failed.
const failedDrawPause = 300 * time.Millisecond

func (p *Pool) rateExceeded(w core.Workspace, now time.Time) *result.Error {
	b := p.bucketOf(w)
	e := result.New(result.RateExceeded, "workspace %s has no rate tokens left on this entry VM, whose share is %.1f requests per second", w, b.rate)
	e.RetryAfter = b.nextToken(now)
	return e
}
