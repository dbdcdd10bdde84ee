// Package gateway is the callers' edge: it turns an HTTP request into an
// exchange.Request, authenticates it, and writes the answer. The path is
// /{service}/{rest}; the caller's key is the bearer token.
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

// Pipeline takes one request through its stages.
type Pipeline interface {
	Serve(ctx context.Context, r *exchange.Request) (*exchange.Answer, error)
}

// Handler serves callers.
type Handler struct {
	config   task.Snapshot[config.State]
	pipeline Pipeline
}

// New returns a handler that authenticates against the state in force.
func New(state task.Snapshot[config.State], p Pipeline) *Handler {
	return &Handler{config: state, pipeline: p}
}

// ServeHTTP owns one request from its first byte to its last.
func (h *Handler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := core.RequestID(rand.Text())
	w.Header().Set(HeaderRequestID, string(id))
	// A caller that stops sending its body does not hold the request for ever.
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
		WriteError(w, result.New(result.AnswerTooLarge, "HTTP/1.0 cannot show that an answer without a length broke off"))
		return
	}
	WriteAnswer(w, answer)
}

// read authenticates req and returns it whole.
func (h *Handler) read(req *http.Request, id core.RequestID) (*exchange.Request, error) {
	state := h.config.Load()
	secret, ok := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return nil, result.New(result.MissingCallerKey, "want a bearer token in the Authorization field")
	}
	if state.Version == 0 {
		return nil, result.New(result.Starting, "no configuration is confirmed at this VM yet")
	}
	workspace, ok := state.Authenticate(secret)
	if !ok {
		return nil, result.New(result.UnknownCallerKey, "the caller key is not known or was withdrawn")
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

func targetPath(rest, query string) string {
	if query == "" {
		return "/" + rest
	}
	return "/" + rest + "?" + query
}

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
		return nil, result.New(result.BodyTooLarge, "service %s takes up to %d bytes", svc.Name, limit)
	}
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err, "body broke off")
	}
	return body, nil
}

// hopByHop lists the fields that end at each hop, and those that only the
// system may set.
var hopByHop = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Expect", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

const systemPrefix = "Comfreynotch-"

// StripHeader returns h without the caller's key, the hop-by-hop fields and
// the fields of the system.
func StripHeader(h http.Header) exchange.Header {
	out := h.Clone()
	for _, field := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(field))
	}
	for _, field := range hopByHop {
		out.Del(field)
	}
	for field := range out {
		if strings.HasPrefix(field, systemPrefix) {
			out.Del(field)
		}
	}
	return out
}

// WriteAnswer writes a whole answer, or streams one. A stream that ends early
// breaks the connection, so that the caller sees it.
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

// WriteError writes a refusal or failure with its result code and class.
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
