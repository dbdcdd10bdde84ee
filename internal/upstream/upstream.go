// Package upstream sends requests to targets over HTTP. For each attempt it
// reports whether the request may have run, and it checks that an answer is
// complete and belongs to the request. Package dispatch chooses the target.
// Task: task.go, which owns the connection pools. The goroutine that calls Send
// owns its request and connection until the answer ends.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

// Header fields between the system and its targets.
const (
	HeaderRequestID = "Comfreynotch-Request-Id" // a target copies it into its answer
	HeaderWorkspace = "Comfreynotch-Workspace"
	HeaderKey       = "Comfreynotch-Key"
	HeaderFence     = "Comfreynotch-Fence"
	HeaderDeadline  = "Comfreynotch-Deadline-Ms" // milliseconds left when the request was sent
	HeaderNotRun    = "Comfreynotch-Not-Run"     // "1" in an answer: the target shed the request
)

// nonRetryableTimeoutFactor multiplies the time without an answer after which
// the connection of a request that must not be retried is probed. Cancelling
// such a request leaves its caller without a known outcome.
const nonRetryableTimeoutFactor = 4

// errUnresponsive is the cancellation cause of a request whose connection
// delivers no answer while a new connection to the same target works.
var errUnresponsive = errors.New("connection does not respond but a new connection to the target does")

// Send sends r to the slot's target at most once. The attempt describes the
// outcome also if Send returns an error.
func (c *Client) Send(ctx context.Context, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, exchange.Attempt, error) {
	p, err := c.pool(ctx, s.Target, svc)
	if err != nil {
		return failedAttempt(result.Wrap(result.Overloaded, err, "no connection pool for target %s", s.Target.ID))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var tracker witness.SendTracker
	req, err := newRequest(tracker.Trace(ctx), s, r)
	if err != nil {
		cancel(nil)
		return failedAttempt(result.Wrap(result.BadRequest, err, "request cannot be sent"))
	}
	answered := make(chan struct{})
	suspectTimer := time.AfterFunc(suspectTimeout(s, r), func() {
		c.suspect(p, func() { abortUnless(answered, cancel) })
	})
	start := time.Now()
	resp, err := p.transportFor(r.Attempt).RoundTrip(req)
	latency := time.Since(start)
	close(answered)
	suspectTimer.Stop()
	if err != nil {
		e := classify(ctx, &tracker, err, s)
		cancel(nil)
		return nil, exchange.Attempt{Code: e.Code, Ran: e.Ran, Latency: latency}, e
	}
	attempt := exchange.Attempt{Ran: result.HasRun, Latency: latency, Status: resp.StatusCode}
	answer, err := readAnswer(resp, s, svc, r)
	if err != nil {
		e := result.From(err)
		if e.Code == result.AnswerMismatch {
			tracker.CloseConn()
		}
		cancel(nil)
		attempt.Code, attempt.Ran = e.Code, e.Ran
		return nil, attempt, e
	}
	if answer.Stream == nil {
		cancel(nil)
		return answer, attempt, nil
	}
	answer.Stream = newProgressReader(answer.Stream, cancel)
	return answer, attempt, nil
}

func abortUnless(answered <-chan struct{}, cancel context.CancelCauseFunc) {
	select {
	case <-answered:
	default:
		cancel(errUnresponsive)
	}
}

// suspectTimeout returns how long to wait for an answer before the connection is
// probed.
func suspectTimeout(s dispatch.Slot, r *exchange.Request) time.Duration {
	if r.Retryable {
		return s.FirstByteTimeout
	}
	return nonRetryableTimeoutFactor * s.FirstByteTimeout
}

func failedAttempt(e *result.Error) (*exchange.Answer, exchange.Attempt, error) {
	return nil, exchange.Attempt{Code: e.Code, Ran: e.Ran}, e
}

func newRequest(ctx context.Context, s dispatch.Slot, r *exchange.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+s.Target.Address+r.Path, nil)
	if err != nil {
		return nil, err
	}
	setBody(req, r)
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.Header.Set(HeaderWorkspace, string(r.Workspace))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
		req.Header.Set(HeaderFence, s.Fence.String())
	}
	remaining := max(time.Until(r.Deadline).Milliseconds(), 0)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(remaining, 10))
	return req, nil
}

// setBody gives a request that must not be retried a body that http.Transport
// cannot rewind. Otherwise, if the body is nil or has GetBody, http.Transport
// sends a GET, and any method with an Idempotency-Key field, a second time when
// a reused connection fails.
func setBody(req *http.Request, r *exchange.Request) {
	if len(r.Body) == 0 && r.Retryable {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
}
