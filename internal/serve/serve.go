// Package serve takes one request through its stages: rate, route, then either
// a slot and a target or a forward to another daemon. The goroutine that calls
// it owns the request from its first byte to its last. It knows no encoding, so
// that any front end can use it.
package serve

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// Limiter admits requests within a workspace's rate.
type Limiter interface {
	Admit(ctx context.Context, w core.Workspace) error
}

// Ownership is this daemon's view of its cell.
type Ownership interface {
	Table() *cell.Table
	Lease() cell.Lease
	// Owns reports whether the slot's target owns its shard by a live grant.
	Owns(s dispatch.Slot, now time.Time) bool
}

// Slots hands out slots of the targets that this daemon dispatches.
type Slots interface {
	Acquire(ctx context.Context, n dispatch.Need) (dispatch.Slot, error)
	Release(s dispatch.Slot, a exchange.Attempt)
}

// Sender sends a request to one target and returns its answer.
type Sender interface {
	Send(ctx context.Context, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, exchange.Attempt, error)
}

// Forwarder sends a request to another daemon.
type Forwarder interface {
	Forward(ctx context.Context, to config.VM, r *exchange.Request) (*exchange.Answer, error)
}

// Server takes requests through their stages.
type Server struct {
	Self      core.VM
	Config    task.Snapshot[config.State]
	Limiter   Limiter
	Ownership Ownership
	Slots     Slots
	Sender    Sender
	Forwarder Forwarder
}

// Serve admits, routes and runs r. On an error the answer is nil and the error
// carries a result code.
func (s *Server) Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	answer, err := s.serve(ctx, r)
	if err != nil || answer.Stream == nil {
		cancel()
		return answer, err
	}
	answer.Stream = closeThen{answer.Stream, cancel}
	return answer, nil
}

func (s *Server) serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	state := s.Config.Load()
	svc, ok := state.Services[r.Service]
	if !ok {
		return nil, result.New(result.UnknownService, "service %s", r.Service)
	}
	if svc.Keyed {
		r.Shard = routing.Shard(r.Key, svc.Shards)
	}
	if r.Forwards == 0 {
		if err := s.Limiter.Admit(ctx, r.Workspace); err != nil {
			return nil, err
		}
	}
	step, err := routing.Route(s.Self, state, s.Ownership.Table(), r)
	if err != nil {
		return nil, err
	}
	if step.Forward != "" {
		return s.forward(ctx, state, step.Forward, r)
	}
	return s.dispatch(ctx, svc, step, r)
}

func (s *Server) forward(ctx context.Context, state *config.State, to core.VM, r *exchange.Request) (*exchange.Answer, error) {
	vm, ok := state.VMs[to]
	if !ok {
		return nil, result.New(result.CellUnreachable, "no address of VM %s is known", to)
	}
	r.Forwards++
	return s.Forwarder.Forward(ctx, vm, r)
}

func (s *Server) dispatch(ctx context.Context, svc config.Service, step routing.Step, r *exchange.Request) (*exchange.Answer, error) {
	slot, err := s.Slots.Acquire(ctx, dispatch.Need{
		Service:   r.Service,
		Workspace: r.Workspace,
		Target:    step.Target,
		Shard:     r.Shard,
		Fence:     step.Fence,
		Deadline:  r.Deadline,
	})
	if err != nil {
		return nil, err
	}
	if refusal := s.mayNotSend(slot, svc); refusal != nil {
		s.Slots.Release(slot, exchange.Attempt{Code: refusal.Code, Ran: refusal.Ran})
		return nil, refusal
	}
	answer, attempt, err := s.Sender.Send(ctx, slot, svc, r)
	if err != nil || answer.Stream == nil {
		s.Slots.Release(slot, attempt)
		return answer, err
	}
	answer.Stream = closeThen{answer.Stream, func() { s.Slots.Release(slot, attempt) }}
	return answer, nil
}

// mayNotSend is asked at the moment of sending: a paused daemon may have lost
// its lease, and a target its grant, since the slot was given.
func (s *Server) mayNotSend(slot dispatch.Slot, svc config.Service) *result.Error {
	now := time.Now()
	if !s.Ownership.Lease().Live(now) {
		return result.New(result.NoLease, "this daemon's lease in cell %s has run out", s.Ownership.Table().Cell)
	}
	if svc.Keyed && !s.Ownership.Owns(slot, now) {
		return result.New(result.NotOwner, "target %s has no live grant of shard %d", slot.Target.ID, slot.Shard)
	}
	return nil
}
