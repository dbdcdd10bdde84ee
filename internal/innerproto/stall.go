package innerproto

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// stallTimeout is how long the body of an answer may pause. It covers a few lost packets
// in a row.
const stallTimeout = time.Second

// errStalled ends a call whose answer doesn't begin in time, or pauses for too long.
var errStalled = errors.New("the answer of the other VM stalled")

type firstByteKey struct{}

// withFirstByteTimeout returns a context for a call whose answer must begin within
// timeout and then make progress. Unlike a deadline it doesn't end the transfer of a
// large answer over a slow link, which would have to begin anew.
func withFirstByteTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, firstByteKey{}, timeout)
}

// stallTransport ends calls whose answers stall, if their context asks for it.
type stallTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t stallTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	timeout, ok := r.Context().Value(firstByteKey{}).(time.Duration)
	if !ok {
		return t.RoundTripper.RoundTrip(r)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	watchdog := time.AfterFunc(timeout, func() { cancel(errStalled) })
	resp, err := t.RoundTripper.RoundTrip(r.WithContext(ctx))
	if err != nil {
		watchdog.Stop()
		cancel(nil)
		return nil, stalledOr(ctx, err)
	}
	watchdog.Reset(stallTimeout)
	resp.Body = &stallReader{resp.Body, ctx, cancel, watchdog}
	return resp, nil
}

// stallReader reads the body of an answer. The watchdog cancels the call unless each
// read ends within stallTimeout.
type stallReader struct {
	io.ReadCloser
	ctx      context.Context
	cancel   context.CancelCauseFunc
	watchdog *time.Timer
}

// Read implements io.Reader.
func (s *stallReader) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.watchdog.Stop()
		return n, stalledOr(s.ctx, err)
	}
	s.watchdog.Reset(stallTimeout)
	return n, nil
}

// Close implements io.Closer.
func (s *stallReader) Close() error {
	s.watchdog.Stop()
	err := s.ReadCloser.Close()
	s.cancel(nil)
	return err
}

// stalledOr returns errStalled if it is the reason for which ctx ended, and err
// otherwise.
func stalledOr(ctx context.Context, err error) error {
	if errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}
