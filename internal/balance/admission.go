package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Admit charges a request to its workspace's rate. draw: this VM has no token
// for it, but the leader may have one; Supplied tells how that went. The error
// says that the request has not run.
func (p *Pool) Admit(r Request, now time.Time) (draw bool, err *result.Error) {
	p.budgetOf(r.Service, now).requests++
	if r.Workspace == "" || p.state.Catalog.Tenants[r.Workspace].Rate <= 0 {
		return false, nil
	}
	b := p.bucketOf(r.Workspace)
	b.ask(now)
	switch {
	case b.take(now):
		return false, nil
	case !now.Before(b.drawAt):
		return true, nil
	}
	return false, p.rateExceeded(r.Workspace, now)
}

// Supplied takes the answer to a draw and returns how many of the requests
// that waited for it are admitted.
func (p *Pool) Supplied(s quota.Supply, waiting int, now time.Time) int {
	if s.Tokens < waiting {
		p.bucketOf(s.Workspace).drawAt = now.Add(s.RetryAfter)
	}
	return min(s.Tokens, waiting)
}

// DrawFailed takes that a draw for a workspace has no answer. The leader is
// lost, or new: what it would say is not worth waiting for.
func (p *Pool) DrawFailed(w core.Workspace, now time.Time) {
	p.bucketOf(w).drawAt = now.Add(failedDrawPause)
}

// failedDrawPause is how long requests do not wait for a leader that did not
// answer a draw: about as long as an election takes.
const failedDrawPause = time.Second

func (p *Pool) rateExceeded(w core.Workspace, now time.Time) *result.Error {
	b := p.bucketOf(w)
	e := result.New(result.RateExceeded, "workspace %s has no tokens here: share %.1f a second", w, b.rate)
	e.RetryAfter = b.nextToken(now)
	return e
}
