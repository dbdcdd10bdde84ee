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
	maxHeldForward     = 1 << 20 // bytes
	forwardIdleTimeout = 30 * time.Second
	maxIdleForwards    = 256 // connections to each VM
	maxResultHeader    = 256 << 10
	// silentAfter is how long a live daemon may take to answer or to
	// acknowledge a request. It is well above ackAfter.
	silentAfter = 600 * time.Millisecond
)

var errForwardSilent = errors.New("connection is silent")

// Forwarder sends requests to other daemons over pooled connections.
type Forwarder struct{ transport *http.Transport }

// NewForwarder returns a forwarder without open connections. dial opens them, by
// witness.Dial or with TLS over it.
func NewForwarder(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Forwarder {
	return &Forwarder{transport: &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    maxIdleForwards,
		IdleConnTimeout:        forwardIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResultHeader,
	}}
}

// Close drops the idle connections.
func (f *Forwarder) Close() { f.transport.CloseIdleConnections() }

// Forward sends r to another daemon, once, and returns its answer or its
// refusal. When no byte of r can have left, the error says "not run".
func (f *Forwarder) Forward(ctx context.Context, to config.VM, r *exchange.Request) (*exchange.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	var w witness.Witness
	silent := time.AfterFunc(silentAfter, func() { f.silent(r, cancel) })
	defer silent.Stop()
	req, err := newForward(traceAck(w.Trace(ctx), silent), to, r)
	if err != nil {
		cancel(nil)
		return nil, result.Wrap(result.BadRequest, err, "forward to %s", to.Name)
	}
	resp, err := f.transport.RoundTrip(req)
	silent.Stop()
	if err != nil {
		e := classifyForward(ctx, &w, err, to)
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

// silent acts on a connection without sign of life: idle ones of the same path
// may be as dead. A request that may be repeated goes elsewhere; another one
// waits for its deadline.
func (f *Forwarder) silent(r *exchange.Request, cancel context.CancelCauseFunc) {
	f.transport.CloseIdleConnections()
	if r.Retryable {
		cancel(errForwardSilent)
	}
}

// traceAck stops the timer when the other daemon acknowledges the request.
func traceAck(ctx context.Context, silent *time.Timer) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			silent.Stop()
			return nil
		},
	})
}

func newForward(ctx context.Context, to config.VM, r *exchange.Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.InnerAddress+forwardPath, nil)
	if err != nil {
		return nil, err
	}
	// A body that cannot be rewound keeps the transport from sending twice.
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

func classifyForward(ctx context.Context, w *witness.Witness, err error, to config.VM) error {
	if w.NotSent() {
		return result.Wrap(result.CellUnreachable, err, "VM %s", to.Name)
	}
	cause := context.Cause(ctx)
	if cause != nil && !errors.Is(cause, context.DeadlineExceeded) && !errors.Is(cause, errForwardSilent) {
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
		return nil, result.Wrap(result.ForwardLost, err, "answer of VM %s", to.Name)
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
	if resp.ContentLength < 0 || resp.ContentLength > maxHeldForward {
		a.Stream = resp.Body
		return a, nil
	}
	defer resp.Body.Close()
	a.Body = make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, a.Body); err != nil {
		return nil, result.Wrap(result.ForwardLost, err, "answer of VM %s broke off", to.Name)
	}
	return a, nil
}

// forwardStream ends its request when it is closed.
type forwardStream struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

func (s forwardStream) Close() error {
	err := s.ReadCloser.Close()
	s.cancel(nil)
	return err
}
