package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// stub is a target that writes raw HTTP answers. It calls serve for each request
// with the index of its connection and of the request on that connection, and
// closes the connection when serve returns false.
type stub struct {
	listener net.Listener
	received chan string // the ID of each request, without probes
}

func newStub(t *testing.T, serve func(c net.Conn, req *http.Request, connection, number int) bool) *stub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &stub{listener: l, received: make(chan string, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for connection := 0; ; connection++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, connection, serve)
		}
	}()
	return s
}

func (s *stub) serveConn(c net.Conn, connection int, serve func(net.Conn, *http.Request, int, int) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for number := 0; ; number++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path != probePath {
			s.received <- req.Header.Get(HeaderRequestID)
		}
		if !serve(c, req, connection, number) {
			return
		}
	}
}

func (s *stub) slot() dispatch.Slot {
	return dispatch.Slot{
		Target:           core.Target{ID: "t", Address: s.listener.Addr().String(), Slots: 4, Connections: 8},
		FirstByteTimeout: time.Minute,
	}
}

func answer(c net.Conn, req *http.Request, head, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n\r\n%s", head, HeaderRequestID, req.Header.Get(HeaderRequestID), body)
}

func startClient(t *testing.T) *Client {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	c, done := New("vm"), make(chan struct{})
	go func() {
		_ = c.Serve(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func request(id, method string) *exchange.Request {
	return &exchange.Request{
		ID: core.RequestID(id), Method: method, Path: "/x", Header: exchange.Header{},
		Deadline: time.Now().Add(time.Minute),
	}
}

// TestNeverSentTwice checks that a request is not sent again after the target
// reads it on a reused connection and closes the connection without an answer.
// By default net/http sends a GET, and any request with an Idempotency-Key
// field, a second time.
func TestNeverSentTwice(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			s := newStub(t, func(c net.Conn, req *http.Request, connection, number int) bool {
				if connection == 0 && number == 1 {
					return false
				}
				answer(c, req, "200 OK\r\nContent-Length: 2", "ok")
				return true
			})
			c := startClient(t)
			_, _, err := c.Send(t.Context(), s.slot(), config.Service{}, request("first", method))
			is.NoErr(err)
			r := request("second", method)
			r.Header["Idempotency-Key"] = []string{"k"}
			_, attempt, err := c.Send(t.Context(), s.slot(), config.Service{}, r)
			is.Equal(result.CodeOf(err), result.ConnectionLost)
			is.Equal(attempt.Ran, result.MayHaveRun)
			is.Equal(<-s.received, "first")
			is.Equal(<-s.received, "second")
			is.Equal(len(s.received), 0)
		})
	}
}

// TestNotRunIsProved checks that a request is reported as not run if no
// connection to the target could be established.
func TestNotRunIsProved(t *testing.T) {
	is := is.New(t)
	s := newStub(t, nil)
	s.listener.Close()
	c := startClient(t)
	_, attempt, err := c.Send(t.Context(), s.slot(), config.Service{}, request("r", http.MethodPost))
	is.Equal(result.CodeOf(err), result.ConnectFailed)
	is.Equal(attempt.Ran, result.NotRun)
	is.Equal(result.From(err).Ran, result.NotRun)
}

// TestInvalidAnswersAreErrors checks that an answer that is truncated, belongs
// to another request or has no unique request ID is returned as an error, and
// that a refusal counts as "not run" only if it carries the request's ID.
func TestInvalidAnswersAreErrors(t *testing.T) {
	cases := map[string]struct {
		raw  string
		want result.Code
		ran  result.Ran
	}{
		"another request's ID":       {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"without a request ID":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"with two request IDs":       {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"truncated header":           {"HTTP/1.1 200 OK\r\nComfreynotch-Req", result.ConnectionLost, result.MayHaveRun},
		"truncated body":             {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nContent-Length: 20\r\n\r\nhalf", result.ConnectionLost, result.MayHaveRun},
		"truncated between chunks":   {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", result.ConnectionLost, result.MayHaveRun},
		"refusal of another request": {"HTTP/1.1 503 No\r\nComfreynotch-Request-Id: other\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.AnswerMismatch, result.MayHaveRun},
		"shed":                       {"HTTP/1.1 503 No\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.TargetRefused, result.NotRun},
		"stale fence":                {"HTTP/1.1 409 No\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.NotOwner, result.NotRun},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStub(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
				_, _ = io.WriteString(c, test.raw)
				return false
			})
			got, attempt, err := startClient(t).Send(t.Context(), s.slot(), config.Service{}, request("r", http.MethodGet))
			is.True(got == nil)
			is.Equal(result.CodeOf(err), test.want)
			is.Equal(result.From(err).Ran, test.ran)
			is.Equal(attempt.Ran, test.ran)
		})
	}
}

// TestSecondAnswerIsNotMisdelivered checks that a second answer to one request
// is not taken for the answer to the next request on the same connection.
func TestSecondAnswerIsNotMisdelivered(t *testing.T) {
	is := is.New(t)
	s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
		body := req.Header.Get(HeaderRequestID)
		head := fmt.Sprintf("200 OK\r\nContent-Length: %d", len(body))
		answer(c, req, head, body)
		answer(c, req, head, body)
		return true
	})
	c := startClient(t)
	for i := range 20 {
		id := fmt.Sprintf("request-%d", i)
		a, _, err := c.Send(t.Context(), s.slot(), config.Service{}, request(id, http.MethodGet))
		if err == nil {
			is.Equal(string(a.Body), id)
		}
	}
}

// TestLateCopyOfARefusalIsNotTheAnswerToARepeat guards against a late copy of a
// refusal that is taken for the answer to the next attempt of the same request, which
// has the same id: the request then counts as not run though it ran.
func TestLateCopyOfARefusalIsNotTheAnswerToARepeat(t *testing.T) {
	is := is.New(t)
	const refusal = "503 No\r\nContent-Length: 0\r\n" + HeaderNotRun + ": 1"
	s := newStub(t, func(c net.Conn, req *http.Request, connection, number int) bool {
		switch {
		case connection < 2 && number == 0:
			answer(c, req, refusal, "")
		case number > 0:
			answer(c, req, refusal, "") // the late copy
			fallthrough
		default:
			answer(c, req, "200 OK\r\nContent-Length: 3", "ran")
		}
		return true
	})
	c := startClient(t)
	r := request("r", http.MethodPost)
	for range 2 {
		_, _, err := c.Send(t.Context(), s.slot(), config.Service{}, r)
		is.Equal(result.CodeOf(err), result.TargetRefused)
		r.Attempt++
	}
	a, _, err := c.Send(t.Context(), s.slot(), config.Service{}, r)
	is.NoErr(err)
	is.Equal(string(a.Body), "ran")
}

// TestWholeAnswers checks the body and length of answers that are chunked, are
// too long to be buffered, or have no body because of their method or status.
func TestWholeAnswers(t *testing.T) {
	long := strings.Repeat("x", 300)
	cases := map[string]struct {
		method, head, body string
		want               string
		length             int64
	}{
		"held":             {"GET", "200 OK\r\nContent-Length: 4", "body", "body", 4},
		"chunked":          {"GET", "200 OK\r\nTransfer-Encoding: chunked", "4\r\nbody\r\n0\r\n\r\n", "body", 4},
		"long":             {"GET", "200 OK\r\nContent-Length: 300", long, long, 300},
		"chunked and long": {"GET", "200 OK\r\nTransfer-Encoding: chunked", "12c\r\n" + long + "\r\n0\r\n\r\n", long, -1},
		"HEAD":             {"HEAD", "200 OK\r\nContent-Length: 300", "", "", 300},
		"204":              {"GET", "204 No Content", "", "", -1},
		"304":              {"GET", "304 Not Modified", "", "", -1},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
				answer(c, req, test.head, test.body)
				return true
			})
			a, _, err := startClient(t).Send(t.Context(), s.slot(), config.Service{MaxHeldBytes: 100}, request("r", test.method))
			is.NoErr(err)
			got := a.Body
			if a.Stream != nil {
				got, err = io.ReadAll(a.Stream)
				is.NoErr(err)
				a.Stream.Close()
			}
			is.Equal(string(got), test.want)
			is.Equal(a.Length, test.length)
		})
	}
}

// TestTruncatedStreamIsAnError checks that reading a truncated chunked stream
// returns an error instead of a shorter body.
func TestTruncatedStreamIsAnError(t *testing.T) {
	is := is.New(t)
	s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
		answer(c, req, "200 OK\r\nTransfer-Encoding: chunked", "c8\r\n"+strings.Repeat("x", 200)+"\r\n")
		return false
	})
	a, _, err := startClient(t).Send(t.Context(), s.slot(), config.Service{MaxHeldBytes: 100}, request("r", http.MethodGet))
	is.NoErr(err)
	_, err = io.ReadAll(a.Stream)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	a.Stream.Close()
}

// TestUnresponsiveConnectionIsClosed checks that a request on an open connection
// that delivers no answer ends as "may have run" long before its deadline if new
// connections work, and that the next request succeeds.
func TestUnresponsiveConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	testDone := make(chan struct{})
	defer close(testDone)
	s := newStub(t, func(c net.Conn, req *http.Request, connection, number int) bool {
		if connection == 0 && number > 0 {
			<-testDone
			return false
		}
		answer(c, req, "200 OK\r\nContent-Length: 2", "ok")
		return true
	})
	c := startClient(t)
	slot := s.slot()
	slot.FirstByteTimeout = 20 * time.Millisecond
	_, _, err := c.Send(t.Context(), slot, config.Service{}, request("first", http.MethodGet))
	is.NoErr(err)
	r := request("second", http.MethodGet)
	r.Retryable = true
	_, attempt, err := c.Send(t.Context(), slot, config.Service{}, r)
	is.Equal(result.CodeOf(err), result.ConnectionLost)
	is.Equal(attempt.Ran, result.MayHaveRun)
	_, _, err = c.Send(t.Context(), slot, config.Service{}, request("third", http.MethodGet))
	is.NoErr(err)
}

// TestSlowTargetKeepsItsRequest checks that a request keeps waiting for its
// answer if a probe over a new connection gets no answer either.
func TestSlowTargetKeepsItsRequest(t *testing.T) {
	is := is.New(t)
	answerNow := make(chan struct{})
	probes := make(chan struct{}, 8)
	s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
		if req.URL.Path == probePath {
			probes <- struct{}{}
			return false
		}
		<-answerNow
		answer(c, req, "200 OK\r\nContent-Length: 2", "ok")
		return true
	})
	slot := s.slot()
	slot.FirstByteTimeout = 20 * time.Millisecond
	go func() {
		<-probes
		close(answerNow)
	}()
	r := request("r", http.MethodGet)
	r.Retryable = true
	a, _, err := startClient(t).Send(t.Context(), slot, config.Service{}, r)
	is.NoErr(err)
	is.Equal(string(a.Body), "ok")
}

// TestStalledStreamEnds checks that a stream ends once it delivers nothing for
// progressTimeout, and that neither its total duration nor a slow reader ends
// it.
func TestStalledStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, w := io.Pipe()
		stream := newProgressReader(r, func(cause error) { w.CloseWithError(cause) })
		go func() {
			for range 20 {
				time.Sleep(progressTimeout / 2)
				_, _ = w.Write([]byte("x"))
			}
		}()
		b := make([]byte, 1)
		for range 20 {
			_, err := stream.Read(b)
			is.NoErr(err)
			time.Sleep(2 * progressTimeout) // a slow reader
		}
		_, err := stream.Read(b)
		is.Equal(err, errStalled)
		stream.Close()
	})
}
