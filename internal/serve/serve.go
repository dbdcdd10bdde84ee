// Package serve processes one request: it checks the rate limit, routes, and then
// either acquires a slot and sends to a target or forwards to another daemon. The
// calling goroutine owns the request from its first byte to its last. The package
// is independent of encodings, so that any front end can use it. Decisions on
// retries are in package retry.
package serve

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/retry"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/spread"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// Limiter admits requests within a workspace's rate limit.
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
	Acquire(ctx context.Context, n dispatch.SlotRequest) (dispatch.Slot, error)
	FirstByte(s dispatch.Slot, a exchange.Attempt)
	Release(s dispatch.Slot, a exchange.Attempt)
	// AwaitTable returns when the table's fence differs from seen, or when ctx
	// ends.
	AwaitTable(ctx context.Context, seen core.Fence)
}

// Sender sends a request to one target and returns its answer.
type Sender interface {
	Send(ctx context.Context, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, exchange.Attempt, error)
}

// Forwarder sends a request to another daemon.
type Forwarder interface {
	Forward(ctx context.Context, to config.VM, r *exchange.Request) (*exchange.Answer, error)
}

// Spread holds the reported load of the cell's dispatchers.
type Spread interface {
	View() *spread.View
	Observe(vm core.VM, service core.Service, load spread.Load)
}

// Server processes requests.
type Server struct {
	Self      core.VM
	Config    task.Snapshot[config.State]
	Limiter   Limiter
	Ownership Ownership
	Slots     Slots
	Sender    Sender
	Forwarder Forwarder
	Spread    Spread
	Claims    Claimer
	Counter   LoadCounter // nil: nothing is counted
}

// Serve admits, routes and sends r. On an error the answer is nil and the error
// has a result code. The deadline of r does not apply to the rest of a streamed
// answer once its first byte has arrived. The caller closes the stream.
func (s *Server) Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	deadline := time.AfterFunc(time.Until(r.Deadline), func() { cancel(context.DeadlineExceeded) })
	answer, err := s.admit(ctx, r)
	deadline.Stop()
	if err != nil || answer.Stream == nil {
		cancel(nil)
		return answer, err
	}
	answer.Stream = streamWithCleanup{answer.Stream, func() { cancel(nil) }}
	return answer, nil
}

// admit charges r against its workspace's rate limit and serves it. It does so
// under a claim if r has an idempotency key and is not retryable. A forwarded
// request was charged by the daemon that received it from the caller, which alone
// claims and retries it.
func (s *Server) admit(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	if r.Forwards > 0 {
		return s.attempt(ctx, r)
	}
	if err := s.Limiter.Admit(ctx, r.Workspace); err != nil {
		return nil, err
	}
	if r.IdempotencyKey != "" && !r.Retryable {
		return s.serveClaimed(ctx, r)
	}
	return s.serveWithRetries(ctx, r)
}

// serveWithRetries makes attempts until one is answered or package retry gives
// up. When a retry fails because the retry budget is spent, it returns the error
// of the attempt before.
func (s *Server) serveWithRetries(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	var history retry.History
	var previous error
	for {
		seen := s.Ownership.Table().Fence
		r.Forwards, r.Attempt = 0, history.Attempts
		answer, err := s.attempt(ctx, r)
		if err == nil {
			return answer, nil
		}
		e := result.From(err)
		if e.Code == result.RetryBudgetSpent && previous != nil {
			return nil, previous
		}
		d := retry.Decide(&history, e, r.Retryable, time.Until(r.Deadline))
		if d.Action == retry.GiveUp || ctx.Err() != nil {
			return nil, err
		}
		previous = err
		if d.Action == retry.AwaitAssignment {
			s.awaitTable(ctx, seen, d.Wait)
		}
	}
}

// awaitTable waits for a table whose fence differs from seen, for at most d.
func (s *Server) awaitTable(ctx context.Context, seen core.Fence, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	s.Slots.AwaitTable(ctx, seen)
}

// attempt routes r once, and then sends it to a target or forwards it.
func (s *Server) attempt(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	state := s.Config.Load()
	svc, ok := state.Services[r.Service]
	if !ok {
		return nil, result.New(result.UnknownService, "service %s", r.Service)
	}
	if svc.Keyed {
		r.Shard = routing.Shard(r.Key, svc.Shards)
	}
	step, err := routing.Route(routing.Input{
		Self: s.Self, State: state, Table: s.Ownership.Table(), View: s.Spread.View(),
		Now: time.Now(), Random: rand.Uint64(),
	}, r)
	if err != nil {
		return nil, err
	}
	if !step.Local {
		return s.forward(ctx, state, step.Forward, r)
	}
	return s.dispatch(ctx, state, svc, step, r)
}

func (s *Server) forward(ctx context.Context, state *config.State, to core.VM, r *exchange.Request) (*exchange.Answer, error) {
	vm, ok := state.VMs[to]
	if !ok {
		return nil, result.New(result.CellUnreachable, "the configuration has no address of VM %s", to)
	}
	r.Forwards++
	answer, err := s.Forwarder.Forward(ctx, vm, r)
	switch {
	case err == nil:
		s.Spread.Observe(to, r.Service, spread.Load(answer.Load))
	case result.CodeOf(err) == result.Overloaded:
		s.Spread.Observe(to, r.Service, overloadedLoad)
	}
	return answer, err
}

// overloadedLoad is the load assumed for a dispatcher that refused a request as
// overloaded.
const overloadedLoad = 2 * spread.Full

// dispatch acquires a slot of a local target and sends r. If step also names
// another daemon, dispatch takes a slot only if one is free, and forwards r
// otherwise.
func (s *Server) dispatch(ctx context.Context, state *config.State, svc config.Service, step routing.Step, r *exchange.Request) (*exchange.Answer, error) {
	need := dispatch.SlotRequest{
		Service:   r.Service,
		Workspace: r.Workspace,
		Target:    step.Target,
		Shard:     r.Shard,
		Key:       routing.Hash(r.Key),
		Fence:     step.Fence,
		Deadline:  r.Deadline,
		Attempt:   r.Attempt,
		Avoid:     r.Avoid,
	}
	slot, err := s.acquire(ctx, need, step.Forward != "")
	if err != nil {
		if step.Forward != "" && result.CodeOf(err) == result.Overloaded {
			return s.forward(ctx, state, step.Forward, r)
		}
		return nil, err
	}
	if err := s.checkOwnership(slot, r); err != nil {
		s.Slots.Release(slot, exchange.Attempt{Code: err.Code, Ran: err.Ran})
		return nil, err
	}
	s.countLoad(slot, r)
	if r.Retryable && step.Target == "" && slot.HedgeAfter > 0 {
		return s.sendHedged(ctx, svc, slot, need, r)
	}
	return s.send(ctx, svc, slot, r)
}

// acquire waits for a slot. With ifFree set it does not wait and fails unless a
// slot is free.
func (s *Server) acquire(ctx context.Context, n dispatch.SlotRequest, ifFree bool) (dispatch.Slot, error) {
	n.NoWait = ifFree
	return s.Slots.Acquire(ctx, n)
}

// checkOwnership checks, after the wait for a slot, that this daemon is still the
// target's dispatcher with a live member lease, and that the target still owns
// the shard by a live grant.
func (s *Server) checkOwnership(slot dispatch.Slot, r *exchange.Request) *result.Error {
	now := time.Now()
	table := s.Ownership.Table()
	if !s.Ownership.Lease().Live(now) {
		return result.New(result.NoLease, "this daemon's member lease in cell %s has expired", table.Cell)
	}
	if table.Targets[slot.Target.ID].Dispatcher != s.Self {
		return result.New(result.NotOwner, "target %s has another dispatcher", slot.Target.ID)
	}
	if slot.Fence.IsZero() {
		return nil
	}
	if own, ok := table.HotKey(r.Service, routing.Hash(r.Key)); ok && own != r.Shard {
		return result.New(result.NotOwner, "the key was moved to a shard of its own")
	}
	if a, _, ok := table.Owner(r.Service, r.Shard); !ok || a.Target != slot.Target.ID || a.Fence != slot.Fence {
		return result.New(result.NotOwner, "shard %d of service %s was reassigned", r.Shard, r.Service)
	}
	if !s.Ownership.Owns(slot, now) {
		return result.New(result.NotOwner, "target %s has no live grant for shard %d", slot.Target.ID, r.Shard)
	}
	return nil
}

// send sends r to the slot's target, and releases the slot with the last byte of
// the answer.
func (s *Server) send(ctx context.Context, svc config.Service, slot dispatch.Slot, r *exchange.Request) (*exchange.Answer, error) {
	answer, attempt, err := s.Sender.Send(ctx, slot, svc, r)
	if err != nil {
		r.Avoid = slot.Target.ID
	} else {
		answer.Load = slot.Load
	}
	if err != nil || answer.Stream == nil {
		s.Slots.Release(slot, attempt)
		return answer, err
	}
	s.Slots.FirstByte(slot, attempt)
	attempt.Streamed = true
	answer.Stream = streamWithCleanup{answer.Stream, func() { s.Slots.Release(slot, attempt) }}
	return answer, nil
}
