// Package gateway is the HTTP interface for callers: it authenticates an HTTP
// request, converts it into an exchange.Request, and writes the answer. The
// path is /{service}/{rest}, and the caller's key is the bearer token.
package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// Header fields between callers and the system.
const (
	HeaderRequestID      = "Comfreynotch-Request-Id"
	HeaderResultCode     = "Comfreynotch-Result-Code"
	HeaderRan            = "Comfreynotch-Ran"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	defaultDeadline = 10 * time.Second
	defaultMaxBody  = 1 << 20 // bytes
	bodyTimeout     = 30 * time.Second
)

// Pipeline serves authenticated requests.
type Pipeline interface {
	Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error)
}

// Handler is the http.Handler for callers.
type Handler struct {
	config   task.Snapshot[config.State]
	pipeline Pipeline
}

// New returns a handler that authenticates each request against the state in
// force at that time.
func New(state task.Snapshot[config.State], p Pipeline) *Handler {
	return &Handler{config: state, pipeline: p}
}

// ServeHTTP serves one request, from reading its body to writing its answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := core.RequestID(rand.Text())
	w.Header().Set(HeaderRequestID, string(id))
	// The deadline ends requests of callers that stop sending their body.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	r, err := h.read(req, id)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		WriteError(w, err)
		return
	}
	answer, err := h.pipeline.Serve(req.Context(), r)
	if err != nil {
		WriteError(w, err)
		return
	}
	if answer.Stream != nil && answer.Length < 0 && !req.ProtoAtLeast(1, 1) {
		answer.Stream.Close()
		WriteError(w, result.New(result.AnswerTooLarge, "HTTP/1.0 can't report that an answer without a length was truncated"))
		return
	}
	WriteAnswer(w, answer)
}

// read authenticates req, reads its whole body, and returns the request.
func (h *Handler) read(req *http.Request, id core.RequestID) (*exchange.Request, error) {
	state := h.config.Load()
	secret, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return nil, result.New(result.MissingCallerKey, "the Authorization header must contain a bearer token")
	}
	if state.Version == 0 {
		return nil, result.New(result.Starting, "this VM has no confirmed configuration yet")
	}
	workspace, ok := state.Authenticate(secret)
	if !ok {
		return nil, result.New(result.UnknownCallerKey, "the caller key is unknown or was withdrawn")
	}
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	svc, ok := state.Services[core.Service(name)]
	if !ok {
		return nil, result.New(result.UnknownService, "service %q", name)
	}
	key, err := keyOf(svc, req, rest)
	if err != nil {
		return nil, err
	}
	body, err := readBody(req, svc)
	if err != nil {
		return nil, err
	}
	deadline := svc.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	return &exchange.Request{
		ID:             id,
		Workspace:      workspace,
		Service:        svc.Name,
		Method:         req.Method,
		Path:           targetPath(rest, req.URL.RawQuery),
		Header:         StripHeader(req.Header),
		Body:           body,
		Key:            key,
		Deadline:       time.Now().Add(deadline),
		Retryable:      svc.RepeatableGET && (req.Method == http.MethodGet || req.Method == http.MethodHead),
		IdempotencyKey: req.Header.Get(HeaderIdempotencyKey),
	}, nil
}

// targetPath returns the path and query that the target gets.
func targetPath(rest, query string) string {
	if query == "" {
		return "/" + rest
	}
	return "/" + rest + "?" + query
}

// keyOf returns the key of a request to a keyed service: the value of the
// service's key header, or the first element of the path if no header is
// configured.
func keyOf(svc config.Service, req *http.Request, rest string) (string, error) {
	if !svc.Keyed {
		return "", nil
	}
	key, _, _ := strings.Cut(rest, "/")
	if svc.KeyHeader != "" {
		key = req.Header.Get(svc.KeyHeader)
	}
	if key == "" {
		return "", result.New(result.MissingKey, "service %s needs a key", svc.Name)
	}
	return key, nil
}

func readBody(req *http.Request, svc config.Service) ([]byte, error) {
	limit := svc.MaxBodyBytes
	if limit == 0 {
		limit = defaultMaxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, req.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "service %s accepts bodies of up to %d bytes", svc.Name, limit)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "reading the request body")
	}
	return body, nil
}

// hopByHop lists the header fields that apply to a single hop, and those that
// only this system may set.
var hopByHop = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

const systemPrefix = "Comfreynotch-"

// StripHeader returns a copy of h without the caller's key, the hop-by-hop fields
// and the fields of this system.
func StripHeader(h http.Header) exchange.Header {
	stripped := h.Clone()
	for _, field := range strings.Split(h.Get("Connection"), ",") {
		stripped.Del(strings.TrimSpace(field))
	}
	for _, field := range hopByHop {
		stripped.Del(field)
	}
	for field := range stripped {
		if strings.HasPrefix(field, systemPrefix) {
			stripped.Del(field)
		}
	}
	return stripped
}

// WriteAnswer writes an answer, from memory or from its stream. If a stream
// ends early, it aborts the connection, so that the caller does not take the
// answer for a complete one.
func WriteAnswer(w http.ResponseWriter, a *exchange.Answer) {
	header := w.Header()
	for field, values := range StripHeader(a.Header) {
		header[field] = values
	}
	header.Set(HeaderResultCode, "0")
	header.Set(HeaderRan, result.HasRun.String())
	if a.Length >= 0 && a.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if a.Stream == nil {
		_, _ = w.Write(a.Body)
		return
	}
	defer a.Stream.Close()
	if n, err := io.Copy(w, a.Stream); err != nil || a.Length >= 0 && n != a.Length {
		panic(http.ErrAbortHandler)
	}
}

// WriteError writes an error with its result code and whether the request has
// run.
func WriteError(w http.ResponseWriter, err error) {
	e := result.From(err)
	header := w.Header()
	header.Set(HeaderResultCode, strconv.Itoa(int(e.Code)))
	header.Set(HeaderRan, e.Ran.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(e.Code.Info().HTTPStatus)
	_, _ = io.WriteString(w, e.Error()+"\n")
}
