package innerproto

import (
	"bytes"
	"context"
	"encoding/base64"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	forwardPath      = "/inner/v1/forward"
	headerMeta       = "Comfreynotch-Inner-Meta"
	headerResult     = "Comfreynotch-Inner-Result"
	headerStatus     = "Comfreynotch-Inner-Status"
	maxForwardedBody = 64 << 20 // bytes
	maxHeldForward   = 1 << 20  // bytes
)

// Pipeline takes one request through its stages.
type Pipeline interface {
	Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error)
}

// ForwardHandler serves requests that other daemons forward here. They were
// authenticated and counted where they came in.
func ForwardHandler(p Pipeline) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+forwardPath, func(w http.ResponseWriter, req *http.Request) {
		r, err := readForward(req)
		if err != nil {
			writeForwardError(w, err)
			return
		}
		a, err := p.Serve(req.Context(), r)
		if err != nil {
			writeForwardError(w, err)
			return
		}
		writeForwardAnswer(w, a)
	})
	return mux
}

func readForward(req *http.Request) (*exchange.Request, error) {
	var m innerpb.ForwardMeta
	if err := decodeHeader(req.Header.Get(headerMeta), &m); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "forwarded request's metadata")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, req.Body, maxForwardedBody))
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "forwarded body broke off")
	}
	header := req.Header.Clone()
	header.Del(headerMeta)
	header.Del("Content-Length")
	return &exchange.Request{
		ID:             core.RequestID(m.Id),
		Workspace:      core.Workspace(m.Workspace),
		Service:        core.Service(m.Service),
		Method:         req.Header.Get(headerMethod),
		Path:           req.Header.Get(headerPath),
		Header:         withoutInner(header),
		Body:           body,
		Key:            m.Key,
		Deadline:       time.Now().Add(time.Duration(m.TimeoutMicros) * time.Microsecond),
		Repeatable:     m.Repeatable,
		IdempotencyKey: m.IdempotencyKey,
		Forwards:       int(m.Forwards),
	}, nil
}

const (
	headerMethod = "Comfreynotch-Inner-Method"
	headerPath   = "Comfreynotch-Inner-Path"
)

func withoutInner(h http.Header) exchange.Header {
	h.Del(headerMethod)
	h.Del(headerPath)
	h.Del(headerResult)
	h.Del(headerStatus)
	return h
}

func writeForwardAnswer(w http.ResponseWriter, a *exchange.Answer) {
	for field, values := range a.Header {
		w.Header()[field] = values
	}
	w.Header().Set(headerResult, encodeHeader(&innerpb.ForwardResult{
		Code: uint32(result.OK), Ran: uint32(result.HasRun), Target: string(a.Target),
	}))
	w.WriteHeader(a.Status)
	if a.Stream == nil {
		_, _ = w.Write(a.Body)
		return
	}
	defer a.Stream.Close()
	if n, err := io.Copy(w, a.Stream); err != nil || n != a.Length {
		panic(http.ErrAbortHandler)
	}
}

func writeForwardError(w http.ResponseWriter, err error) {
	e := result.From(err)
	w.Header().Set(headerResult, encodeHeader(&innerpb.ForwardResult{
		Code: uint32(e.Code), Ran: uint32(e.Ran), Detail: e.Detail, RetryAfterMicros: e.RetryAfter.Microseconds(),
	}))
	w.WriteHeader(e.Code.Info().HTTPStatus)
}

// Forwarder sends requests to other daemons over pooled connections.
type Forwarder struct{ transport *http.Transport }

// NewForwarder returns a forwarder without open connections.
func NewForwarder() *Forwarder {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond}
	return &Forwarder{transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

// Forward sends r to another daemon and returns its answer or its refusal.
func (f *Forwarder) Forward(ctx context.Context, to config.VM, r *exchange.Request) (*exchange.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.InnerAddress+forwardPath, bytes.NewReader(r.Body))
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "forward to %s", to.Name)
	}
	for field, values := range r.Header {
		req.Header[field] = values
	}
	req.Header.Set(headerMethod, r.Method)
	req.Header.Set(headerPath, r.Path)
	req.Header.Set(headerMeta, encodeHeader(&innerpb.ForwardMeta{
		Id: string(r.ID), Workspace: string(r.Workspace), Service: string(r.Service), Key: r.Key,
		TimeoutMicros: time.Until(r.Deadline).Microseconds(), Repeatable: r.Repeatable,
		IdempotencyKey: r.IdempotencyKey, Forwards: int32(r.Forwards),
	}))
	resp, err := f.transport.RoundTrip(req)
	if err != nil {
		return nil, classifyForward(err, to)
	}
	return readForwardAnswer(resp, to)
}

func classifyForward(err error, to config.VM) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.Wrap(result.CellUnreachable, err, "VM %s", to.Name)
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
	a := &exchange.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Target: core.TargetID(m.Target)}
	if resp.ContentLength < 0 || resp.ContentLength > maxHeldForward {
		a.Stream = resp.Body
		return a, nil
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, result.Wrap(result.ForwardLost, err, "answer of VM %s broke off", to.Name)
	}
	a.Body = body
	return a, nil
}

func encodeHeader(m proto.Message) string {
	b, err := proto.Marshal(m)
	if err != nil {
		return "" // a message of strings and numbers always encodes
	}
	return base64.StdEncoding.EncodeToString(b)
}

func decodeHeader(s string, m proto.Message) error {
	if s == "" {
		return errors.New("header field is missing")
	}
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}
