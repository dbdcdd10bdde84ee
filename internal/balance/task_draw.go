package balance

import (
	"context"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// draw asks the leader for tokens if requests wait for some and no draw is
// under way, in a goroutine that ends with the answer.
func (r *run) draw(ctx context.Context) {
	if r.drawing || len(r.tokenless) == 0 {
		return
	}
	r.drawing = true
	wants := wantsOf(r.tokenless)
	go func() {
		drawContext, cancel := context.WithTimeout(ctx, drawTimeout)
		defer cancel()
		supplies, err := r.options.Draw(drawContext, wants)
		_ = r.mailbox.Send(ctx, drawn{wants, supplies, err}) // fails only when the task ends
	}()
}

// wantsOf counts the requests of each workspace.
func wantsOf(requests []choose) []quota.Want {
	var wants []quota.Want
	place := map[core.Workspace]int{}
	for _, m := range requests {
		i, ok := place[m.Workspace]
		if !ok {
			i = len(wants)
			place[m.Workspace] = i
			wants = append(wants, quota.Want{Workspace: m.Workspace})
		}
		wants[i].Tokens++
	}
	return wants
}

// supplied admits the requests that got tokens, in the order of their arrival.
// Those that came after the draw wait for the next one.
func (r *run) supplied(d drawn) {
	r.drawing = false
	now := clock.Now()
	asked, admitted := map[core.Workspace]int{}, map[core.Workspace]int{}
	for _, w := range d.wants {
		asked[w.Workspace] = w.Tokens
		if d.err != nil {
			r.pool.DrawFailed(w.Workspace, now)
		}
	}
	for _, s := range d.supplies {
		admitted[s.Workspace] = r.pool.Supplied(s, asked[s.Workspace], now)
	}
	waiting := r.tokenless
	r.tokenless = nil
	for _, m := range waiting {
		switch w := m.Workspace; {
		case asked[w] == 0:
			r.tokenless = append(r.tokenless, m)
		case admitted[w] > 0:
			admitted[w]--
			asked[w]--
			r.place(m, now)
		default:
			asked[w]--
			m.reply.Answer(chosen{service: m.Service, err: r.pool.rateExceeded(w, now)})
		}
	}
}
