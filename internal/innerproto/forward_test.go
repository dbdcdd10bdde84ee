package innerproto

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

type pipelineFunc func(r *exchange.Request) (*exchange.Answer, error)

func (p pipelineFunc) Serve(_ context.Context, r *exchange.Request) (*exchange.Answer, error) {
	return p(r)
}

func forwardTo(t *testing.T, p pipelineFunc, r *exchange.Request) (*exchange.Answer, error) {
	t.Helper()
	server := httptest.NewServer(ForwardHandler(p))
	t.Cleanup(server.Close)
	f := NewForwarder(witness.Dial)
	t.Cleanup(f.Close)
	return f.Forward(t.Context(), config.VM{Name: "b", InnerAddress: server.Listener.Addr().String()}, r)
}

func newTestRequest(method string, body string) *exchange.Request {
	return &exchange.Request{
		ID: "r", Workspace: "w", Service: "s", Method: method, Path: "/x?y=1", Key: "k", Forwards: 1, Attempt: 2,
		Avoid: "t1", IdempotencyKey: "i", Header: exchange.Header{"Idempotency-Key": {"i"}}, Body: []byte(body),
		Deadline: time.Now().Add(time.Minute),
	}
}

// TestForwardPreservesRequestAndAnswer checks that request and answer arrive
// unchanged: with a buffered body, without a body (HEAD and 304), and streamed with
// and without a declared length.
func TestForwardPreservesRequestAndAnswer(t *testing.T) {
	long := strings.Repeat("x", maxBufferedAnswerBytes+1)
	cases := map[string]exchange.Answer{
		"held":    {Status: 201, Body: []byte("ok"), Length: 2},
		"HEAD":    {Status: 200, NoBody: true, Length: 300},
		"304":     {Status: 304, NoBody: true, Length: -1},
		"long":    {Status: 200, Stream: io.NopCloser(strings.NewReader(long)), Length: int64(len(long))},
		"chunked": {Status: 200, Stream: io.NopCloser(strings.NewReader(long)), Length: -1},
	}
	for name, want := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			want.Load, want.Header = 250, exchange.Header{"X-Field": {"1", "2"}, "Content-Length": {"300"}}
			sent := newTestRequest("PUT", "body")
			a, err := forwardTo(t, func(r *exchange.Request) (*exchange.Answer, error) {
				is.Equal(r.Method, sent.Method)
				is.Equal(r.Path, sent.Path)
				is.Equal(string(r.Body), "body")
				is.Equal(r.Attempt, 2)
				is.Equal(r.Avoid, sent.Avoid)
				is.Equal(r.IdempotencyKey, "i")
				answer := want
				return &answer, nil
			}, sent)
			is.NoErr(err)
			is.Equal(a.Status, want.Status)
			is.Equal(a.NoBody, want.NoBody)
			is.Equal(a.Length, want.Length)
			is.Equal(a.Load, uint32(250))
			is.Equal(a.Header["X-Field"], []string{"1", "2"})
			if want.Stream == nil {
				is.Equal(string(a.Body), string(want.Body))
				return
			}
			data, err := io.ReadAll(a.Stream)
			is.NoErr(err)
			is.Equal(string(data), long)
			a.Stream.Close()
		})
	}
}

// TestForwardReportsWhetherRequestRan checks that a request counts as not run if
// nobody listens, and as possibly run if the other daemon closes the connection
// after reading it. net/http must not resend the latter on another connection.
func TestForwardReportsWhetherRequestRan(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	f := NewForwarder(witness.Dial)
	_, err := f.Forward(t.Context(), config.VM{InnerAddress: closed.Listener.Addr().String()}, newTestRequest("POST", ""))
	is.Equal(result.CodeOf(err), result.CellUnreachable)
	is.Equal(result.From(err).Ran, result.NotRun)

	served := make(chan struct{}, 8)
	lost := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		served <- struct{}{}
		if len(served) == 1 {
			writeForwardAnswer(w, &exchange.Answer{Status: 200})
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer lost.Close()
	to := config.VM{InnerAddress: lost.Listener.Addr().String()}
	_, err = f.Forward(t.Context(), to, newTestRequest("POST", ""))
	is.NoErr(err)
	_, err = f.Forward(t.Context(), to, newTestRequest("POST", "")) // on the same connection
	is.Equal(result.CodeOf(err), result.ForwardLost)
	is.Equal(result.From(err).Ran, result.MayHaveRun)
	is.Equal(len(served), 2)
}

// TestUnacknowledgedForwardFails checks that a retryable request fails long before its
// deadline if the other side reads it but sends nothing, and that a slow daemon's
// answer, announced by an interim response, is waited for.
func TestUnacknowledgedForwardFails(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}()
	r := newTestRequest("GET", "")
	r.Retryable = true
	_, err = NewForwarder(witness.Dial).Forward(t.Context(), config.VM{InnerAddress: l.Addr().String()}, r)
	is.Equal(result.CodeOf(err), result.ForwardLost)

	a, err := forwardTo(t, func(*exchange.Request) (*exchange.Answer, error) {
		time.Sleep(ackTimeout + ackDelay)
		return &exchange.Answer{Status: 200, Body: []byte("slow"), Length: 4}, nil
	}, r)
	is.NoErr(err)
	is.Equal(string(a.Body), "slow")
}
