package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	defaultMaxHeldBytes = 1 << 20 // bytes of an answer that are buffered if the service sets no limit
	maxDrainedBytes     = 4 << 10 // bytes of an unused body that are read to keep its connection
	// progressTimeout cancels a stream that delivers no bytes for this long. A
	// stream that makes progress has no other deadline.
	progressTimeout = 10 * time.Second
)

var errStalled = errors.New("answer stream stalled")

// readAnswer checks that resp belongs to r by its request ID. It buffers the
// body up to the service's MaxHeldBytes; a longer body is returned as a stream.
func readAnswer(resp *http.Response, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, error) {
	if got := resp.Header[HeaderRequestID]; len(got) != 1 || got[0] != string(r.ID) {
		resp.Body.Close()
		return nil, result.New(result.AnswerMismatch, "answer of target %s carries request IDs %q", s.Target.ID, got)
	}
	if resp.Header.Get(HeaderNotRun) == "1" {
		drainAndClose(resp.Body)
		return nil, refusalError(resp.StatusCode, s)
	}
	a := &exchange.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Target: s.Target.ID}
	if hasNoBody(r.Method, resp.StatusCode) {
		resp.Body.Close()
		a.NoBody = true
		if resp.Header.Get("Content-Length") == "" {
			a.Length = -1
		}
		return a, nil
	}
	maxHeld := svc.MaxHeldBytes
	if maxHeld == 0 {
		maxHeld = defaultMaxHeldBytes
	}
	if resp.ContentLength > maxHeld {
		a.Stream = resp.Body
		return a, nil
	}
	return bufferAnswer(a, resp, maxHeld, s)
}

// refusalError returns NotOwner if the target rejected the fence (status 409),
// since it no longer owns the shard, and TargetRefused if it shed load.
func refusalError(status int, s dispatch.Slot) *result.Error {
	if status == http.StatusConflict {
		return result.New(result.NotOwner, "target %s rejected fence %s", s.Target.ID, s.Fence)
	}
	return result.New(result.TargetRefused, "target %s shed the request", s.Target.ID)
}

// drainAndClose closes an unused body. It first reads up to maxDrainedBytes, so
// that the connection of a short body can be reused.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainedBytes)
	body.Close()
}

func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// bufferAnswer buffers the body. If a body of unknown length turns out to be
// longer than maxHeld bytes, the answer becomes a stream of the bytes read and
// the rest.
func bufferAnswer(a *exchange.Answer, resp *http.Response, maxHeld int64, s dispatch.Slot) (*exchange.Answer, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, maxHeld+1))
	if err != nil {
		resp.Body.Close()
		return nil, result.Wrap(result.ConnectionLost, err, "answer of target %s was truncated", s.Target.ID)
	}
	if n > maxHeld {
		a.Stream = prefixedBody{io.MultiReader(&buf, resp.Body), resp.Body}
		return a, nil
	}
	resp.Body.Close()
	a.Body, a.Length = buf.Bytes(), n
	return a, nil
}

// prefixedBody reads buffered bytes and then the rest of a body, which it
// closes.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// progressReader cancels the request of a stream if a Read delivers no bytes for
// progressTimeout.
type progressReader struct {
	stream io.ReadCloser
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newProgressReader(stream io.ReadCloser, cancel context.CancelCauseFunc) *progressReader {
	timer := time.AfterFunc(progressTimeout, func() { cancel(errStalled) })
	return &progressReader{stream: stream, timer: timer, cancel: cancel}
}

// Read runs the timer only while it waits for the target, so that a slow caller
// does not end the stream.
func (p *progressReader) Read(b []byte) (int, error) {
	p.timer.Reset(progressTimeout)
	n, err := p.stream.Read(b)
	p.timer.Stop()
	return n, err
}

// Close closes the stream and cancels its request.
func (p *progressReader) Close() error {
	p.timer.Stop()
	p.cancel(nil)
	return p.stream.Close()
}
