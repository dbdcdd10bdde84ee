package serve

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
)

// outcome is the result of pendingSend a request once.
type outcome struct {
	answer *exchange.Answer
	err    error
	avoid  core.TargetID // target that a retry should not use
}

// pendingSend is one send of a request, which runs on its own goroutine.
type pendingSend struct {
	done   chan outcome // receives exactly one outcome
	cancel context.CancelFunc
}

// sendHedged sends a retryable request and, when its answer takes unusually long,
// sends it to another target too. The first send to succeed wins; the other one
// is cancelled and its slot released.
func (s *Server) sendHedged(ctx context.Context, svc config.Service, slot dispatch.Slot, need dispatch.SlotRequest, r *exchange.Request) (*exchange.Answer, error) {
	first := s.startSend(ctx, svc, slot, *r)
	timer := time.NewTimer(slot.HedgeAfter)
	defer timer.Stop()
	select {
	case o := <-first.done:
		return first.finish(o, r)
	case <-timer.C:
	}
	second, ok := s.startHedge(ctx, svc, slot, need, r)
	if !ok {
		return first.finish(<-first.done, r)
	}
	winner, loser := first, second
	var o outcome
	select {
	case o = <-first.done:
	case o = <-second.done:
		winner, loser = second, first
	}
	if o.err != nil {
		winner.cancel()
		return loser.finish(<-loser.done, r)
	}
	loser.cancel()
	go loser.discard()
	return winner.finish(o, r)
}

// startHedge sends r to another target, if one has a free slot and the retry
// budget allows it.
func (s *Server) startHedge(ctx context.Context, svc config.Service, slot dispatch.Slot, need dispatch.SlotRequest, r *exchange.Request) (*pendingSend, bool) {
	need.Avoid, need.NoWait, need.Attempt = slot.Target.ID, true, max(need.Attempt, 1)
	other, err := s.Slots.Acquire(ctx, need)
	if err != nil {
		return nil, false
	}
	if refusal := s.checkOwnership(other, r); refusal != nil {
		s.Slots.Release(other, exchange.Attempt{Code: refusal.Code, Ran: refusal.Ran})
		return nil, false
	}
	return s.startSend(ctx, svc, other, *r), true
}

// startSend starts to send r, which is a copy of its own.
func (s *Server) startSend(ctx context.Context, svc config.Service, slot dispatch.Slot, r exchange.Request) *pendingSend {
	ctx, cancel := context.WithCancel(ctx)
	h := &pendingSend{done: make(chan outcome, 1), cancel: cancel}
	go func() {
		answer, err := s.send(ctx, svc, slot, &r)
		h.done <- outcome{answer: answer, err: err, avoid: r.Avoid}
	}()
	return h
}

// finish returns the outcome to the owner of the request r. The context of the
// send is cancelled now or, for a streamed answer, when its stream is closed.
func (h *pendingSend) finish(o outcome, r *exchange.Request) (*exchange.Answer, error) {
	if o.err != nil || o.answer.Stream == nil {
		h.cancel()
		r.Avoid = o.avoid
		return o.answer, o.err
	}
	o.answer.Stream = streamWithCleanup{o.answer.Stream, h.cancel}
	return o.answer, nil
}

// discard closes the answer of the send that lost, if it has one.
func (h *pendingSend) discard() {
	if o := <-h.done; o.err == nil && o.answer.Stream != nil {
		o.answer.Stream.Close()
	}
}
