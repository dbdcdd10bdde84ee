package innerproto

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	forwardPath           = "/inner/v1/forward"
	headerMeta            = "Comfreynotch-Inner-Meta"
	headerResult          = "Comfreynotch-Inner-Result"
	maxForwardedBodyBytes = 64 << 20
	// ackDelay is the time after which a daemon that has no answer yet acknowledges
	// a request by an interim response.
	ackDelay = 100 * time.Millisecond
)

// Pipeline serves one request.
type Pipeline interface {
	Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error)
}

// ForwardHandler serves requests that other daemons forward to this one. The daemon
// that received a request from the caller has authenticated it and counted it
// against its limits.
func ForwardHandler(p Pipeline) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+forwardPath, func(w http.ResponseWriter, req *http.Request) {
		r, err := readForward(req)
		if err != nil {
			writeForwardError(w, err)
			return
		}
		o := serveWithAck(req.Context(), w, p, r)
		if o.err != nil {
			writeForwardError(w, o.err)
			return
		}
		writeForwardAnswer(w, o.answer)
	})
	return mux
}

type forwardOutcome struct {
	answer *exchange.Answer
	err    error
}

// serveWithAck serves r and sends an interim response if that takes longer than
// ackDelay, so that the other daemon can tell a slow request from a dead
// connection.
func serveWithAck(ctx context.Context, w http.ResponseWriter, p Pipeline, r *exchange.Request) forwardOutcome {
	done := make(chan forwardOutcome, 1)
	go func() {
		answer, err := p.Serve(ctx, r)
		done <- forwardOutcome{answer, err}
	}()
	timer := time.NewTimer(ackDelay)
	defer timer.Stop()
	select {
	case o := <-done:
		return o
	case <-timer.C:
		w.WriteHeader(http.StatusProcessing)
		return <-done
	}
}

func readForward(req *http.Request) (*exchange.Request, error) {
	var m innerpb.ForwardMeta
	if err := decodeHeader(req.Header.Get(headerMeta), &m); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "decode the metadata of a forwarded request")
	}
	body, err := readBody(req)
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "read the body of a forwarded request")
	}
	header := req.Header.Clone()
	header.Del(headerMeta)
	header.Del("Content-Length")
	return &exchange.Request{
		ID:             core.RequestID(m.Id),
		Workspace:      core.Workspace(m.Workspace),
		Service:        core.Service(m.Service),
		Method:         m.Method,
		Path:           m.Path,
		Header:         header,
		Body:           body,
		Key:            m.Key,
		Deadline:       time.Now().Add(time.Duration(m.TimeoutMicros) * time.Microsecond),
		Retryable:      m.Repeatable,
		IdempotencyKey: m.IdempotencyKey,
		Forwards:       int(m.Forwards),
		Attempt:        int(m.Attempt),
		Avoid:          core.TargetID(m.Avoid),
	}, nil
}

func readBody(req *http.Request) ([]byte, error) {
	if req.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(nil, req.Body, maxForwardedBodyBytes))
	}
	if req.ContentLength > maxForwardedBodyBytes {
		return nil, fmt.Errorf("length is %d bytes, the limit is %d", req.ContentLength, maxForwardedBodyBytes)
	}
	body := make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, body)
	return body, err
}

// hopByHopFields apply to one connection only and are not forwarded.
var hopByHopFields = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", headerResult}

func writeForwardAnswer(w http.ResponseWriter, a *exchange.Answer) {
	header := w.Header()
	for field, values := range a.Header {
		header[field] = values
	}
	for _, field := range hopByHopFields {
		header.Del(field)
	}
	header.Set(headerResult, encodeHeader(&innerpb.ForwardResult{
		Code: uint32(result.OK), Ran: uint32(result.HasRun), Target: string(a.Target),
		Status: int32(a.Status), Length: a.Length, NoBody: a.NoBody, Load: a.Load,
	}))
	if a.Stream == nil {
		header.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Body)
		return
	}
	defer a.Stream.Close()
	if a.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	if n, err := io.Copy(w, a.Stream); err != nil || a.Length >= 0 && n != a.Length {
		panic(http.ErrAbortHandler)
	}
}

func writeForwardError(w http.ResponseWriter, err error) {
	e := result.From(err)
	w.Header().Set(headerResult, encodeHeader(&innerpb.ForwardResult{
		Code: uint32(e.Code), Ran: uint32(e.Ran), Detail: e.Detail, RetryAfterMicros: e.RetryAfter.Microseconds(),
	}))
	w.WriteHeader(http.StatusOK)
}

func encodeHeader(m proto.Message) string {
	b, err := proto.Marshal(m)
	if err != nil {
		return "" // unreachable: the messages have only strings and numbers
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
