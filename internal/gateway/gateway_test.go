package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const secret = "caller-secret-0123456789"

type pipeline func(r *exchange.Request) (*exchange.Answer, error)

func (p pipeline) Serve(_ context.Context, r *exchange.Request) (*exchange.Answer, error) {
	return p(r)
}

func stateWithKey() *config.State {
	s := config.NewState()
	s.Version = 1
	s.Workspaces["lab"] = config.Workspace{Name: "lab"}
	s.CallerKeys[config.HashSecret(secret)] = config.CallerKey{ID: "k", Workspace: "lab"}
	s.Services["open"] = config.Service{Name: "open", MaxBodyBytes: 10}
	s.Services["keyed"] = config.Service{Name: "keyed", Keyed: true, Shards: 4, KeyHeader: "Batch"}
	return s
}

// caller sends requests over one connection.
type caller struct {
	t      *testing.T
	server *httptest.Server
	state  task.Snapshot[config.State]
}

func newCaller(t *testing.T, p pipeline) *caller {
	state := task.NewSnapshot(stateWithKey())
	server := httptest.NewServer(New(state, p))
	t.Cleanup(server.Close)
	return &caller{t: t, server: server, state: state}
}

func (c *caller) call(key, path, body string) (*http.Response, string) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, c.server.URL+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Comfreynotch-Workspace", "stolen")
	req.Header.Set("Connection", "X-Hop")
	req.Header.Set("X-Hop", "1")
	resp, err := c.server.Client().Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return resp, string(data)
}

// TestWithdrawnKeyStopsOnAnOpenConnection checks that the caller key is
// verified at each request and not only when the connection is opened, and
// that neither the pipeline nor an answer contains it.
func TestWithdrawnKeyStopsOnAnOpenConnection(t *testing.T) {
	is := is.New(t)
	served := 0
	c := newCaller(t, func(r *exchange.Request) (*exchange.Answer, error) {
		served++
		is.Equal(string(r.Workspace), "lab")
		for name, values := range r.Header {
			is.True(!strings.Contains(strings.Join(values, " "), secret))
			is.True(name != "Comfreynotch-Workspace" && name != "X-Hop")
		}
		return &exchange.Answer{Status: 200, Body: []byte("ok"), Length: 2}, nil
	})
	resp, _ := c.call(secret, "/open/x", "")
	is.Equal(resp.StatusCode, http.StatusOK)
	withdrawn := stateWithKey()
	clear(withdrawn.CallerKeys)
	c.state.Publish(withdrawn)
	resp, body := c.call(secret, "/open/x", "")
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	is.Equal(resp.Header.Get(HeaderRan), "not run")
	is.True(!strings.Contains(body, secret))
	is.Equal(served, 1)
}

// TestRefusalsReachTheCaller checks that a refusal has the right HTTP status, result
// code and Retry-After, and states that the request has not run.
func TestRefusalsReachTheCaller(t *testing.T) {
	is := is.New(t)
	c := newCaller(t, func(*exchange.Request) (*exchange.Answer, error) {
		e := result.New(result.RateExceeded, "over")
		e.RetryAfter = 1200 * time.Millisecond
		return nil, e
	})
	resp, _ := c.call(secret, "/open/x", "")
	is.Equal(resp.StatusCode, http.StatusTooManyRequests)
	is.Equal(resp.Header.Get("Retry-After"), "2")
	is.Equal(resp.Header.Get(HeaderResultCode), "200")
	for path, want := range map[string]int{
		"/open/x": http.StatusRequestEntityTooLarge, "/keyed/x": http.StatusBadRequest, "/none/x": http.StatusNotFound,
	} {
		resp, _ := c.call(secret, path, strings.Repeat("x", 11))
		is.Equal(resp.StatusCode, want)
		is.Equal(resp.Header.Get(HeaderRan), "not run")
	}
}

type brokenStream struct{ io.Reader }

func (brokenStream) Close() error { return nil }

// TestBrokenStreamIsSeen checks that a truncated answer, with or without a
// length, is an error for the caller and never taken for a shorter answer.
func TestBrokenStreamIsSeen(t *testing.T) {
	for _, length := range []int64{100, -1} {
		is := is.New(t)
		c := newCaller(t, func(*exchange.Request) (*exchange.Answer, error) {
			broken := io.MultiReader(strings.NewReader("half"), failing{})
			return &exchange.Answer{Status: 200, Stream: brokenStream{broken}, Length: length}, nil
		})
		req, err := http.NewRequest(http.MethodGet, c.server.URL+"/open/x", nil)
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := c.server.Client().Do(req)
		if err != nil {
			continue // broken before the header was flushed
		}
		_, err = io.ReadAll(resp.Body)
		is.True(err != nil)
		resp.Body.Close()
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("broken") }
