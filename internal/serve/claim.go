package serve

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/claims"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/retry"
)

// Claimer holds the claims of idempotency keys.
type Claimer interface {
	Acquire(ctx context.Context, s *config.State, c claims.Claim) (claims.Decision, *claims.StoredAnswer)
	Settle(ctx context.Context, s *config.State, c claims.Claim, ran bool, answer *claims.StoredAnswer)
}

// serveClaimed serves r at most once for its idempotency key. The claim is held
// for at least twice the time that is left until the deadline, so it outlasts the
// request.
func (s *Server) serveClaimed(ctx context.Context, r *exchange.Request) (*exchange.Answer, error) {
	state := s.Config.Load()
	c := claims.Claim{
		Key:     claims.Key{Workspace: r.Workspace, Service: r.Service, Text: r.IdempotencyKey},
		Request: r.ID,
		Digest:  digest(r),
		TTL:     max(claims.TTL(state.Services[r.Service]), 2*time.Until(r.Deadline)),
	}
	stored, err := s.claim(ctx, state, c, r)
	if err != nil {
		if err.Ran == result.NotRun {
			s.Claims.Settle(ctx, state, c, false, nil)
		}
		return nil, err
	}
	if stored != nil {
		return &exchange.Answer{
			Status: stored.Status, Header: stored.Header, Body: stored.Body, Length: int64(len(stored.Body)),
		}, nil
	}
	answer, failure := s.serveWithRetries(ctx, r)
	s.settle(ctx, state, c, answer, failure)
	return answer, failure
}

// claim acquires the claim, and retries until a majority of the cell's members
// decides or the deadline is too close. It returns the stored answer of an
// earlier request with the same key, if there is one.
func (s *Server) claim(ctx context.Context, state *config.State, c claims.Claim, r *exchange.Request) (*claims.StoredAnswer, *result.Error) {
	var history retry.History
	for {
		seen := s.Ownership.Table().Fence
		decision, stored := s.Claims.Acquire(ctx, state, c)
		switch decision {
		case claims.Run:
			return nil, nil
		case claims.Answered:
			return stored, nil
		case claims.Duplicate:
			return nil, result.New(result.DuplicateRequest, "another request with this idempotency key is running or has run")
		case claims.Conflict:
			e := result.New(result.DuplicateRequest, "this idempotency key was used for a different request")
			e.Ran = result.NotRun
			return nil, e
		case claims.Undecided, claims.Refuse:
		}
		refusal := result.New(result.CellUnreachable, "no majority holds the claims of this idempotency key")
		d := retry.Decide(&history, refusal, false, time.Until(r.Deadline))
		if d.Action == retry.GiveUp || ctx.Err() != nil {
			return nil, refusal
		}
		s.awaitTable(ctx, seen, d.Wait)
	}
}

// settle records whether the request ran and its answer. When the outcome is not
// known, the claim stays, so that a resent request does not run.
func (s *Server) settle(ctx context.Context, state *config.State, c claims.Claim, answer *exchange.Answer, err error) {
	switch {
	case err != nil && result.From(err).Ran == result.NotRun:
		s.Claims.Settle(ctx, state, c, false, nil)
	case err != nil:
	case answer.Stream != nil || answer.NoBody:
		s.Claims.Settle(ctx, state, c, true, nil)
	default:
		s.Claims.Settle(ctx, state, c, true, &claims.StoredAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body})
	}
}

// digest returns a hash of the request, which detects the reuse of an idempotency
// key for a different request.
func digest(r *exchange.Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + "\x00" + r.Path + "\x00")
	_, _ = h.Write(r.Body)
	return h.Sum64()
}
