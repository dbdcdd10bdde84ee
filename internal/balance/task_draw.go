package balance

import (
	"context"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// draw requests tokens from the leader if requests wait for some and no draw is
// in flight. It does so in a goroutine, which posts the answer to the mailbox.
func (r *run) draw(ctx context.Context) {
	if r.drawInFlight || len(r.awaitingTokens) == 0 {
		return
	}
	r.drawInFlight = true
	wants := wantsOf(r.awaitingTokens)
	go func() {
		drawContext, cancel := context.WithTimeout(ctx, drawTimeout)
		defer cancel()
		supplies, err := r.options.Draw(drawContext, wants)
		_ = r.mailbox.Send(ctx, drawResult{wants, supplies, err}) // fails only when the task ends
	}()
}

// wantsOf counts the waiting requests of each workspace.
func wantsOf(requests []choose) []quota.Want {
	var wants []quota.Want
	indexes := map[core.Workspace]int{}
	for _, m := range requests {
		i, ok := indexes[m.Workspace]
		if !ok {
			i = len(wants)
			indexes[m.Workspace] = i
			wants = append(wants, quota.Want{Workspace: m.Workspace})
		}
		wants[i].Tokens++
	}
	return wants
}

// finishDraw admits waiting requests in the order of their arrival, as far as the
// tokens last, and refuses the others. Requests that arrived after the draw began
// wait for the next one.
func (r *run) finishDraw(d drawResult) {
	r.drawInFlight = false
	now := clock.Now()
	// Requests of each workspace that the draw covered, and those it admits.
	covered, admitted := map[core.Workspace]int{}, map[core.Workspace]int{}
	for _, w := range d.wants {
		covered[w.Workspace] = w.Tokens
		if d.err != nil {
			r.pool.DrawFailed(w.Workspace, now)
		}
	}
	for _, s := range d.supplies {
		admitted[s.Workspace] = r.pool.ApplySupply(s, covered[s.Workspace], now)
	}
	waiting := r.awaitingTokens
	r.awaitingTokens = nil
	for _, m := range waiting {
		switch w := m.Workspace; {
		case covered[w] == 0:
			r.awaitingTokens = append(r.awaitingTokens, m)
		case admitted[w] > 0:
			admitted[w]--
			covered[w]--
			r.answerOrQueue(m, now)
		default:
			covered[w]--
			m.reply.Answer(chosen{service: m.Service, err: r.pool.rateExceeded(w, now)})
		}
	}
}
