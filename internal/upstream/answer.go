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
	defaultHeldAnswer = 1 << 20 // bytes
	maxDiscarded      = 4 << 10 // bytes
	// progressTimeout ends a stream that delivers nothing for so long. A stream
	// that makes progress has no other deadline.
	progressTimeout = 10 * time.Second
)

var errStalled = errors.New("answer makes no progress")

// readAnswer proves that resp belongs to r and reads it whole up to the held
// size of the service; a longer answer streams.
func readAnswer(resp *http.Response, s dispatch.Slot, svc config.Service, r *exchange.Request) (*exchange.Answer, error) {
	if got := resp.Header[HeaderRequestID]; len(got) != 1 || got[0] != string(r.ID) {
		resp.Body.Close()
		return nil, result.New(result.AnswerMismatch, "target %s answered request %q", s.Target.ID, got)
	}
	if resp.Header.Get(HeaderNotRun) == "1" {
		discard(resp.Body)
		return nil, refusal(resp.StatusCode, s)
	}
	a := &exchange.Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Target: s.Target.ID}
	if withoutBody(r.Method, resp.StatusCode) {
		resp.Body.Close()
		a.NoBody = true
		if resp.Header.Get("Content-Length") == "" {
			a.Length = -1
		}
		return a, nil
	}
	held := svc.MaxHeldBytes
	if held == 0 {
		held = defaultHeldAnswer
	}
	if resp.ContentLength > held {
		a.Stream = resp.Body
		return a, nil
	}
	return holdAnswer(a, resp, held, s)
}

// refusal tells a target that lost its shard from one that sheds load.
func refusal(status int, s dispatch.Slot) *result.Error {
	if status == http.StatusConflict {
		return result.New(result.NotOwner, "target %s refused the fence %s", s.Target.ID, s.Fence)
	}
	return result.New(result.TargetRefused, "target %s shed the request", s.Target.ID)
}

// discard ends a body that nobody needs. A short one is read, so that its
// connection can be used again.
func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDiscarded)
	body.Close()
}

func withoutBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// holdAnswer reads the body up to held bytes. One without a length that turns
// out longer streams: what was read, then the rest.
func holdAnswer(a *exchange.Answer, resp *http.Response, held int64, s dispatch.Slot) (*exchange.Answer, error) {
	var buf bytes.Buffer
	if resp.ContentLength > 0 {
		buf.Grow(int(resp.ContentLength) + bytes.MinRead)
	}
	n, err := buf.ReadFrom(io.LimitReader(resp.Body, held+1))
	if err != nil {
		resp.Body.Close()
		return nil, result.Wrap(result.ConnectionLost, err, "answer of target %s broke off", s.Target.ID)
	}
	if n > held {
		a.Stream = prefixed{io.MultiReader(&buf, resp.Body), resp.Body}
		return a, nil
	}
	resp.Body.Close()
	a.Body, a.Length = buf.Bytes(), n
	return a, nil
}

type prefixed struct {
	io.Reader
	io.Closer
}

// progressReader is a stream that is cancelled when it stalls.
type progressReader struct {
	stream io.ReadCloser
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newProgressReader(stream io.ReadCloser, cancel context.CancelCauseFunc) *progressReader {
	timer := time.AfterFunc(progressTimeout, func() { cancel(errStalled) })
	return &progressReader{stream: stream, timer: timer, cancel: cancel}
}

// Read counts only the time that the target takes, not the caller's.
func (p *progressReader) Read(b []byte) (int, error) {
	p.timer.Reset(progressTimeout)
	n, err := p.stream.Read(b)
	p.timer.Stop()
	return n, err
}

// Close ends the stream and its request.
func (p *progressReader) Close() error {
	p.timer.Stop()
	p.cancel(nil)
	return p.stream.Close()
}
