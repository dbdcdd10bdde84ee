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
	forwardPath      = "/inner/v1/forward"
	headerMeta       = "Comfreynotch-Inner-Meta"
	headerResult     = "Comfreynotch-Inner-Result"
	maxForwardedBody = 64 << 20 // bytes
	// ackAfter is when a daemon that has no answer yet tells that it has the
	// request, by an interim response.
	ackAfter = 100 * time.Millisecond
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
		o := serveAcknowledged(req.Context(), w, p, r)
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

// serveAcknowledged serves r and sends an interim response when that takes
// long, so that the other daemon can tell a slow request from a connection that
// went silent.
func serveAcknowledged(ctx context.Context, w http.ResponseWriter, p Pipeline, r *exchange.Request) forwardOutcome {
	ended := make(chan forwardOutcome, 1)
	go func() {
		answer, err := p.Serve(ctx, r)
		ended <- forwardOutcome{answer, err}
	}()
	timer := time.NewTimer(ackAfter)
	defer timer.Stop()
	select {
	case o := <-ended:
		return o
	case <-timer.C:
		w.WriteHeader(http.StatusProcessing)
		return <-ended
	}
}

func readForward(req *http.Request) (*exchange.Request, error) {
	var m innerpb.ForwardMeta
	if err := decodeHeader(req.Header.Get(headerMeta), &m); err != nil {
		return nil, result.Wrap(result.BadRequest, err, "forwarded request's metadata")
	}
	body, err := readAll(req)
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

func readAll(req *http.Request) ([]byte, error) {
	if req.ContentLength < 0 {
		return io.ReadAll(http.MaxBytesReader(nil, req.Body, maxForwardedBody))
	}
	if req.ContentLength > maxForwardedBody {
		return nil, fmt.Errorf("length %d, want up to %d", req.ContentLength, maxForwardedBody)
	}
	body := make([]byte, req.ContentLength)
	_, err := io.ReadFull(req.Body, body)
	return body, err
}

// hopFields end at each hop between processes.
var hopFields = []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length", headerResult}

func writeForwardAnswer(w http.ResponseWriter, a *exchange.Answer) {
	header := w.Header()
	for field, values := range a.Header {
		header[field] = values
	}
	for _, field := range hopFields {
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
