package innerproto

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

const (
	maxBufferedAnswerBytes = 1 << 20 // longer answers are streamed
	forwardIdleTimeout     = 30 * time.Second
	maxIdleConnsPerVM      = 256 // idle connections
	maxResponseHeaderBytes = 256 << 10
	// ackTimeout is how long another daemon may take to answer or acknowledge a
	// request before its connection counts as dead. It is well above ackDelay.
	ackTimeout = 600 * time.Millisecond
)

var errNoAck = errors.New("request was not acknowledged in time")

// Forwarder sends requests to other daemons over pooled connections.
type Forwarder struct{ transport *http.Transport }

// NewForwarder returns a forwarder that opens its connections with dial. dial must
// be witness.Dial or wrap it, for example with TLS.
func NewForwarder(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Forwarder {
	return &Forwarder{transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleConnsPerVM,
		IdleConnTimeout:        forwardIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}
}

// Close closes the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Forward sends r once to another daemon and returns its answer or its error. If no
// byte of r can have left this process, the error is marked as result.NotRun.
func (f *Forwarder) Forward(ctx context.Context, to config.VM, r *exchange.Request) (*exchange.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var w witness.SendTracker
	ackTimer := time.AfterFunc(ackTimeout, func() { f.onAckTimeout(r, cancel) })
	defer ackTimer.Stop()
	req, err := newForward(traceAck(w.Trace(ctx), ackTimer), to, r)
	if err != nil {
		cancel(nil)
		return nil, result.Wrap(result.BadRequest, err, "forward to %s", to.Name)
	}
	resp, err := f.transport.RoundTrip(req)
	ackTimer.Stop()
	if err != nil {
		e := forwardError(ctx, &w, err, to)
		cancel(nil)
		return nil, e
	}
	answer, err := readForwardAnswer(resp, to)
	if err != nil || answer.Stream == nil {
		cancel(nil)
		return answer, err
	}
	answer.Stream = forwardStream{answer.Stream, cancel}
	return answer, nil
}

// onAckTimeout handles a request that was not acknowledged in time. It closes the
// idle connections, because those on the same network path may be dead too. A
// retryable request is cancelled, so that it can be sent elsewhere; any other
// request waits until its deadline.
func (f *Forwarder) onAckTimeout(r *exchange.Request, cancel context.CancelCauseFunc) {
	f.transport.CloseIdleConnections()
	if r.Retryable {
		cancel(errNoAck)
	}
}

// traceAck stops ackTimer when the other daemon acknowledges the request.
func traceAck(ctx context.Context, ackTimer *time.Timer) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			ackTimer.Stop()
			return nil
		},
	})
}

func newForward(ctx context.Context, to config.VM, r *exchange.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.InnerAddress+forwardPath, nil)
	if err != nil {
		return nil, err
	}
	// The transport cannot rewind this body, so it never resends the request.
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
	for field, values := range r.Header {
		req.Header[field] = values
	}
	req.Header.Set(headerMeta, encodeHeader(&innerpb.ForwardMeta{
		Id: string(r.ID), Workspace: string(r.Workspace), Service: string(r.Service), Key: r.Key,
		Method: r.Method, Path: r.Path,
		TimeoutMicros: time.Until(r.Deadline).Microseconds(), Repeatable: r.Retryable,
		IdempotencyKey: r.IdempotencyKey, Forwards: int32(r.Forwards),
		Attempt: int32(r.Attempt), Avoid: string(r.Avoid),
	}))
	return req, nil
}

func forwardError(ctx context.Context, w *witness.SendTracker, err error, to config.VM) error {
	if w.NotSent() {
		return result.Wrap(result.CellUnreachable, err, "VM %s", to.Name)
	}
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, context.DeadlineExceeded) && !errors.Is(cause, errNoAck) {
		e := result.Wrap(result.CallerGone, err, "VM %s", to.Name)
		e.Ran = result.MayHaveRun
		return e
	}
	return result.Wrap(result.ForwardLost, err, "VM %s", to.Name)
}

func readForwardAnswer(resp *http.Response, to config.VM) (*exchange.Answer, error) {
	var m innerpb.ForwardResult
	if err := decodeHeader(resp.Header.Get(headerResult), &m); err != nil {
		resp.Body.Close()
		return nil, result.Wrap(result.ForwardLost, err, "decode the answer of VM %s", to.Name)
	}
	if m.Code != uint32(result.OK) {
		resp.Body.Close()
		e := result.New(result.Code(m.Code), "%s", m.Detail)
		e.Ran = result.Ran(m.Ran)
		e.RetryAfter = time.Duration(m.RetryAfterMicros) * time.Microsecond
		return nil, e
	}
	resp.Header.Del(headerResult)
	a := &exchange.Answer{
		Status: int(m.Status), Header: resp.Header, Length: m.Length, NoBody: m.NoBody,
		Target: core.TargetID(m.Target), Load: m.Load,
	}
	if resp.ContentLength < 0 || resp.ContentLength > maxBufferedAnswerBytes {
		a.Stream = resp.Body
		return a, nil
	}
	defer resp.Body.Close()
	a.Body = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, a.Body); err != nil {
		return nil, result.Wrap(result.ForwardLost, err, "read the answer of VM %s", to.Name)
	}
	return a, nil
}

// forwardStream releases the context of its request when it is closed.
type forwardStream struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (s forwardStream) Close() error {
	err := s.ReadCloser.Close()
	s.cancel(nil)
	return err
}
