package balance

import (
	"context"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// draw requests tokens for the workspaces whose requests wait for some, unless a
// draw for the workspace is in flight. Each counter is asked in a goroutine, which
// posts the answer to the mailbox.
func (r *run) draw(ctx context.Context) {
	if len(r.awaitingTokens) == 0 {
		return
	}
	now := clock.Now()
	for source, wants := range r.wants() {
		for _, w := range wants {
			r.drawing[w.Workspace] = true
		}
		paused := r.counterPauses[source.counter].After(now)
		go func() {
			d := drawResult{wants: wants, counter: source.counter}
			if !paused {
				d.supplies, d.err = r.drawFrom(ctx, source.counter, wants, false)
				d.counterFailed = d.err != nil
			}
			if (paused || d.counterFailed) && source.backup != "" {
				d.supplies, d.err = r.drawFrom(ctx, source.backup, wants, true)
			}
			_ = r.mailbox.Send(ctx, d) // fails only when the task ends
		}()
	}
}

func (r *run) drawFrom(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error) {
	if address == "" {
		return nil, result.New(result.NoLeader, "no control VM is known that counts the workspaces")
	}
	ctx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	return r.options.Draw(ctx, address, wants, backup)
}

// tokenSource is the counter of some workspaces and its backup.
type tokenSource struct{ counter, backup string }

// wants counts the waiting requests of each workspace without a draw in flight, by
// the source of their tokens.
func (r *run) wants() map[tokenSource][]quota.Want {
	counts := map[core.Workspace]int{}
	for _, m := range r.awaitingTokens {
		if !r.drawing[m.Workspace] {
			counts[m.Workspace]++
		}
	}
	wants := map[tokenSource][]quota.Want{}
	for w, n := range counts {
		var source tokenSource
		source.counter, source.backup = r.options.CounterOf(w)
		wants[source] = append(wants[source], quota.Want{Workspace: w, Tokens: n})
	}
	return wants
}

// finishDraw admits waiting requests in the order of their arrival, as far as the
// tokens last, and refuses the others. Requests that arrived after the draw began
// wait for the next one.
func (r *run) finishDraw(d drawResult) {
	now := clock.Now()
	if d.counterFailed {
		r.counterPauses[d.counter] = now.Add(counterPause)
	}
	// Requests of each workspace that the draw covered, and those it admits.
	covered, admitted := map[core.Workspace]int{}, map[core.Workspace]int{}
	for _, w := range d.wants {
		covered[w.Workspace] = w.Tokens
		delete(r.drawing, w.Workspace)
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
