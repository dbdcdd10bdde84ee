package serve

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
)

// outcome is what one send of a request led to.
type outcome struct {
	answer *exchange.Answer
	err    error
	avoid  core.TargetID
}

// sending is one send of a request on a goroutine of its own.
type sending struct {
	ended  chan outcome // gets the one outcome
	cancel context.CancelFunc
}

// hedged sends a repeatable request and, when its answer takes unusually long,
// sends it to another target too. The first whole answer wins; the other send
// is cancelled and its slot given back.
func (s *Server) hedged(ctx context.Context, svc config.Service, slot dispatch.Slot, need dispatch.SlotRequest, r *exchange.Request) (*exchange.Answer, error) {
	first := s.start(ctx, svc, slot, *r)
	timer := time.NewTimer(slot.HedgeAfter)
	defer timer.Stop()
	select {
	case o := <-first.ended:
		return first.keep(o, r)
	case <-timer.C:
	}
	second, ok := s.startHedge(ctx, svc, slot, need, r)
	if !ok {
		return first.keep(<-first.ended, r)
	}
	winner, loser := first, second
	var o outcome
	select {
	case o = <-first.ended:
	case o = <-second.ended:
		winner, loser = second, first
	}
	if o.err != nil {
		winner.cancel()
		return loser.keep(<-loser.ended, r)
	}
	loser.cancel()
	go loser.discard()
	return winner.keep(o, r)
}

// startHedge sends r to another target, if one has a free slot and the budget
// allows it.
func (s *Server) startHedge(ctx context.Context, svc config.Service, slot dispatch.Slot, need dispatch.SlotRequest, r *exchange.Request) (*sending, bool) {
	need.Avoid, need.NoWait, need.Attempt = slot.Target.ID, true, max(need.Attempt, 1)
	other, err := s.Slots.Acquire(ctx, need)
	if err != nil {
		return nil, false
	}
	if refusal := s.mayStillSend(other, r); refusal != nil {
		s.Slots.Release(other, exchange.Attempt{Code: refusal.Code, Ran: refusal.Ran})
		return nil, false
	}
	return s.start(ctx, svc, other, *r), true
}

// start sends r, a copy.
func (s *Server) start(ctx context.Context, svc config.Service, slot dispatch.Slot, r exchange.Request) *sending {
	ctx, cancel := context.WithCancel(ctx)
	h := &sending{ended: make(chan outcome, 1), cancel: cancel}
	go func() {
		answer, err := s.send(ctx, svc, slot, &r)
		h.ended <- outcome{answer: answer, err: err, avoid: r.Avoid}
	}()
	return h
}

// keep hands the outcome to the request's owner.
func (h *sending) keep(o outcome, r *exchange.Request) (*exchange.Answer, error) {
	if o.err != nil || o.answer.Stream == nil {
		h.cancel()
		r.Avoid = o.avoid
		return o.answer, o.err
	}
	o.answer.Stream = closeThen{o.answer.Stream, h.cancel}
	return o.answer, nil
}

// discard ends a send that lost.
func (h *sending) discard() {
	if o := <-h.ended; o.err == nil && o.answer.Stream != nil {
		o.answer.Stream.Close()
	}
}
