// Package upstream is the edge to targets: it sends a request to one target
// over HTTP and proves that the answer is whole and belongs to the request.
package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
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

const (
	dialTimeout       = time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerTarget  = 128
	defaultHeldAnswer = 1 << 20 // bytes
)

// Client sends requests to targets over pooled connections.
type Client struct{ transport *http.Transport }

// New returns a client without open connections.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send sends r to the slot's target. The attempt says what became of it also
// when the answer is an error.
func (c *Client) Send(ctx context.Context, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, exchange.Attempt, error) {
	req, err := newRequest(ctx, s, r)
	if err != nil {
		return fail(result.Wrap(result.BadRequest, err, "request cannot be sent"))
	}
	start := time.Now()
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return fail(classify(ctx, err, s))
	}
	attempt := exchange.Attempt{Ran: result.HasRun, Latency: time.Since(start), Status: resp.StatusCode}
	answer, err := readAnswer(resp, s, svc, r)
	if err != nil {
		e := result.From(err)
		attempt.Code, attempt.Ran = e.Code, e.Ran
		return nil, attempt, e
	}
	return answer, attempt, nil
}

func fail(e *result.Error) (*exchange.Answer, exchange.Attempt, error) {
	return nil, exchange.Attempt{Code: e.Code, Ran: e.Ran}, e
}

func newRequest(ctx context.Context, s dispatch.Slot, r *exchange.Request) (*http.Request, error) {
	url := "http://" + s.Target.Address + r.Path
	req, err := http.NewRequestWithContext(ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, string(r.ID))
	req.Header.Set(HeaderWorkspace, string(r.Workspace))
	if r.Key != "" {
		req.Header.Set(HeaderKey, r.Key)
		req.Header.Set(HeaderFence, s.Fence.String())
	}
	left := time.Until(r.Deadline).Milliseconds()
	req.Header.Set(HeaderDeadline, strconv.FormatInt(left, 10))
	return req, nil
}

// classify says whether a request that got no answer can have run: only a
// connection that was never made proves that it did not.
func classify(ctx context.Context, err error, s dispatch.Slot) *result.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(result.ConnectFailed, err, "target %s", s.Target.ID)
	}
	if ctx.Err() != nil {
		return result.Wrap(result.TargetTimeout, err, "target %s", s.Target.ID)
	}
	return result.Wrap(result.ConnectionLost, err, "target %s", s.Target.ID)
}

func readAnswer(resp *http.Response, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, error) {
	if got := resp.Header.Get(HeaderRequestID); got != string(r.ID) {
		resp.Body.Close()
		return nil, result.New(result.AnswerMismatch, "target %s answered request %q", s.Target.ID, got)
	}
	if resp.Header.Get(HeaderNotRun) == "1" {
		resp.Body.Close()
		return nil, result.New(result.TargetRefused, "target %s shed the request", s.Target.ID)
	}
	a := &exchange.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Target: s.Target.ID}
	held := svc.MaxHeldBytes
	if held == 0 {
		held = defaultHeldAnswer
	}
	if resp.ContentLength > held {
		a.Stream = resp.Body
		return a, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, held+1))
	if err != nil {
		return nil, result.Wrap(result.ConnectionLost, err, "answer of target %s broke off", s.Target.ID)
	}
	if int64(len(body)) > held {
		return nil, result.New(result.AnswerTooLarge, "answer of target %s has no length and passes %d bytes", s.Target.ID, held)
	}
	a.Body = body
	return a, nil
}
