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

// stub is a target that speaks raw HTTP. It calls serve for each request with
// the number of its connection and of the request on it, from 0, and closes the
// connection when serve returns false.
type stub struct {
	listener net.Listener
	received chan string // the id of each request
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
			go s.converse(c, connection, serve)
		}
	}()
	return s
}

func (s *stub) converse(c net.Conn, connection int, serve func(net.Conn, *http.Request, int, int) bool) {
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

func running(t *testing.T) *Client {
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

// TestNeverSentTwice holds "runs at most once": the target reads the request on
// a reused connection and closes it without an answer. net/http would send a
// GET, or anything with an Idempotency-Key field, again.
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
			c := running(t)
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

// TestNotRunIsProved: no connection, and no byte sent before the caller left.
func TestNotRunIsProved(t *testing.T) {
	is := is.New(t)
	s := newStub(t, nil)
	s.listener.Close()
	c := running(t)
	_, attempt, err := c.Send(t.Context(), s.slot(), config.Service{}, request("r", http.MethodPost))
	is.Equal(result.CodeOf(err), result.ConnectFailed)
	is.Equal(attempt.Ran, result.NotRun)
	is.Equal(result.From(err).Ran, result.NotRun)
}

// TestSpoiledAnswers holds "late, crossed, cut, doubled or mislabelled answers
// never reach a caller as success".
func TestSpoiledAnswers(t *testing.T) {
	cases := map[string]struct {
		raw  string
		want result.Code
		ran  result.Ran
	}{
		"another request's":  {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"without an id":      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"with two ids":       {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", result.AnswerMismatch, result.MayHaveRun},
		"cut in the header":  {"HTTP/1.1 200 OK\r\nComfreynotch-Req", result.ConnectionLost, result.MayHaveRun},
		"cut in the body":    {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nContent-Length: 20\r\n\r\nhalf", result.ConnectionLost, result.MayHaveRun},
		"cut between chunks": {"HTTP/1.1 200 OK\r\nComfreynotch-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", result.ConnectionLost, result.MayHaveRun},
		"another's not run":  {"HTTP/1.1 503 No\r\nComfreynotch-Request-Id: other\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.AnswerMismatch, result.MayHaveRun},
		"shed":               {"HTTP/1.1 503 No\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.TargetRefused, result.NotRun},
		"stale fence":        {"HTTP/1.1 409 No\r\nComfreynotch-Request-Id: r\r\nComfreynotch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", result.NotOwner, result.NotRun},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newStub(t, func(c net.Conn, _ *http.Request, _, _ int) bool {
				_, _ = io.WriteString(c, test.raw)
				return false
			})
			got, attempt, err := running(t).Send(t.Context(), s.slot(), config.Service{}, request("r", http.MethodGet))
			is.True(got == nil)
			is.Equal(result.CodeOf(err), test.want)
			is.Equal(result.From(err).Ran, test.ran)
			is.Equal(attempt.Ran, test.ran)
		})
	}
}

// TestDoubledAnswerReachesNoOther: the second answer to one request is not
// taken for the answer to the next one on the same connection.
func TestDoubledAnswerReachesNoOther(t *testing.T) {
	is := is.New(t)
	s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
		body := req.Header.Get(HeaderRequestID)
		head := fmt.Sprintf("200 OK\r\nContent-Length: %d", len(body))
		answer(c, req, head, body)
		answer(c, req, head, body)
		return true
	})
	c := running(t)
	for i := range 20 {
		id := fmt.Sprintf("request-%d", i)
		a, _, err := c.Send(t.Context(), s.slot(), config.Service{}, request(id, http.MethodGet))
		if err == nil {
			is.Equal(string(a.Body), id)
		}
	}
}

// TestWholeAnswers: bodies without a length, too long to hold, or ruled out by
// the method or status.
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
			a, _, err := running(t).Send(t.Context(), s.slot(), config.Service{MaxHeldBytes: 100}, request("r", test.method))
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

// TestCutStreamIsSeen: a stream without a length that breaks off ends in an
// error, not in a shorter answer.
func TestCutStreamIsSeen(t *testing.T) {
	is := is.New(t)
	s := newStub(t, func(c net.Conn, req *http.Request, _, _ int) bool {
		answer(c, req, "200 OK\r\nTransfer-Encoding: chunked", "c8\r\n"+strings.Repeat("x", 200)+"\r\n")
		return false
	})
	a, _, err := running(t).Send(t.Context(), s.slot(), config.Service{MaxHeldBytes: 100}, request("r", http.MethodGet))
	is.NoErr(err)
	_, err = io.ReadAll(a.Stream)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	a.Stream.Close()
}

// TestSilentConnectionIsDropped: the connection is open and makes no progress,
// new ones work. The request on it ends as "may have run" long before its
// deadline, and the next one is served.
func TestSilentConnectionIsDropped(t *testing.T) {
	is := is.New(t)
	hold := make(chan struct{})
	defer close(hold)
	s := newStub(t, func(c net.Conn, req *http.Request, connection, number int) bool {
		if connection == 0 && number > 0 {
			<-hold
			return false
		}
		answer(c, req, "200 OK\r\nContent-Length: 2", "ok")
		return true
	})
	c := running(t)
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

// TestSlowTargetIsNotSilent: when a new connection is no better, the request
// waits for its answer.
func TestSlowTargetIsNotSilent(t *testing.T) {
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
	a, _, err := running(t).Send(t.Context(), slot, config.Service{}, r)
	is.NoErr(err)
	is.Equal(string(a.Body), "ok")
}

// TestStalledStreamEnds: a stream lasts as long as it makes progress, and ends
// when it stalls, whatever the time that its reader takes.
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
