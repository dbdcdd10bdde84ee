// Package upstream is the edge to targets: it sends a request to one target
// over HTTP, proves what may have run, and proves that an answer is whole and
// belongs to the request. Decisions about targets are in package dispatch.
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
	HeaderRequestID = "Comfreynotch-Request-Id" // a target repeats it in its answer
	HeaderWorkspace = "Comfreynotch-Workspace"
	HeaderKey       = "Comfreynotch-Key"
	HeaderFence     = "Comfreynotch-Fence"
	HeaderDeadline  = "Comfreynotch-Deadline-Ms" // milliseconds left when the request was sent
	HeaderNotRun    = "Comfreynotch-Not-Run"     // "1" in an answer: the target shed the request
)

// lastingPatience multiplies the patience with a request that may not be
// repeated, since giving it up early leaves its caller without an outcome.
const lastingPatience = 4

// errSilent ends a request whose connection makes no progress while a new one
// to the same target works.
var errSilent = errors.New("connection is silent while new ones work")

// Send sends r to the slot's target, once. The attempt says what became of it
// also when the answer is an error.
func (c *Client) Send(ctx context.Context, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, exchange.Attempt, error) {
	p, err := c.path(ctx, s.Target, svc)
	if err != nil {
		return fail(result.Wrap(result.Overloaded, err, "no connection pool for target %s", s.Target.ID))
	}
	ctx, cancel := context.WithCancelCause(ctx)
	var w witness.Witness
	req, err := newRequest(w.Trace(ctx), s, r)
	if err != nil {
		cancel(nil)
		return fail(result.Wrap(result.BadRequest, err, "request cannot be sent"))
	}
	answered := make(chan struct{})
	patience := time.AfterFunc(patienceFor(s, r), func() {
		c.suspect(p, func() { abortUnless(answered, cancel) })
	})
	start := time.Now()
	resp, err := p.transport.RoundTrip(req)
	latency := time.Since(start)
	close(answered)
	patience.Stop()
	if err != nil {
		e := classify(ctx, &w, err, s)
		cancel(nil)
		return nil, exchange.Attempt{Code: e.Code, Ran: e.Ran, Latency: latency}, e
	}
	attempt := exchange.Attempt{Ran: result.HasRun, Latency: latency, Status: resp.StatusCode}
	answer, err := readAnswer(resp, s, svc, r)
	if err != nil {
		e := result.From(err)
		if e.Code == result.AnswerMismatch {
			w.Drop()
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
		cancel(errSilent)
	}
}

func patienceFor(s dispatch.Slot, r *exchange.Request) time.Duration {
	if r.Retryable {
		return s.FirstByteTimeout
	}
	return lastingPatience * s.FirstByteTimeout
}

func fail(e *result.Error) (*exchange.Answer, exchange.Attempt, error) {
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
	left := max(time.Until(r.Deadline).Milliseconds(), 0)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	return req, nil
}

// setBody gives the request a body that http.Transport cannot rewind, so that
// it never sends the request a second time by itself. It would do so for GET,
// and for any method with an Idempotency-Key field, when the body is nil or has
// GetBody.
func setBody(req *http.Request, r *exchange.Request) {
	if len(r.Body) == 0 && r.Retryable {
		return
	}
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
}
