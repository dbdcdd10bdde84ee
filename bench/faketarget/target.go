// Package faketarget simulates the users' targets for tests and measurements: a
// fake target announces itself, accepts grants, answers requests and injects
// faults on demand.
//
// Decisions are in model.go and grants.go. The task in task.go owns the model.
// target.go and grantsedge.go hold the HTTP endpoints and the announcements.
package faketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/announce"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/upstream"
)

// HeaderCallID is the header in which a caller numbers its calls, so that tests
// can match them with the runs at the fake target.
const HeaderCallID = "Bench-Call-Id"

const (
	announcePeriod  = 500 * time.Millisecond
	announceTimeout = 400 * time.Millisecond
	// maxLongAnswer bounds the padding that a request can ask for, in bytes.
	maxLongAnswer = 64 << 20
)

// connectionKey is the context key of a request's connection number.
type connectionKey struct{}

func (t *Target) server(ctx context.Context) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /comfreynotch/v1/grants", t.takeGrants)
	mux.HandleFunc("GET /comfreynotch/v1/grants", t.listGrants)
	mux.HandleFunc("GET /comfreynotch/v1/load", t.reportLoad)
	mux.HandleFunc("/", t.serve)
	var last connection
	return &http.Server{
		Handler: mux,
		// ConnContext runs on the goroutine that accepts connections, so that
		// ConnectionCost delays all further connections.
		ConnContext: func(base context.Context, c net.Conn) context.Context {
			wait(ctx, t.options.ConnectionCost)
			last++
			number := last
			t.send(func(m *model, _ time.Time) { m.connected(number) })
			return context.WithValue(base, connectionKey{}, number)
		},
	}
}

// wait returns true after d, or false as soon as ctx ends.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// announceUntil posts the announcement to every daemon of the options, until ctx
// ends.
func (t *Target) announceUntil(ctx context.Context) {
	client := &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		a, err := t.announcement(ctx)
		if err != nil {
			return
		}
		for _, d := range t.options.Daemons {
			post(ctx, client, d, a)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func post(ctx context.Context, client *http.Client, daemon string, a announce.Announcement) {
	body, err := json.Marshal(a)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+daemon+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

func (t *Target) reportLoad(w http.ResponseWriter, r *http.Request) {
	load, err := ask(r.Context(), t, (*model).load)
	if err == nil {
		writeJSON(w, http.StatusOK, load)
	}
}

// serve handles one request.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := t.runOf(r, string(body))
	number, _ := r.Context().Value(connectionKey{}).(connection)
	v, err := ask(r.Context(), t, func(m *model, now time.Time) verdict {
		if r.Context().Err() != nil {
			m.runAbandoned(run, now)
			return verdict{unanswered: true}
		}
		return m.begin(number, run, now)
	})
	if err != nil {
		return
	}
	switch {
	case v.unanswered:
		<-r.Context().Done()
		return
	case v.refused:
		notRun(w, run.RequestID, http.StatusConflict)
		return
	case v.shed:
		notRun(w, run.RequestID, http.StatusServiceUnavailable)
		return
	}
	finished := wait(r.Context(), v.serviceTime)
	_, err = ask(context.WithoutCancel(r.Context()), t, func(m *model, now time.Time) struct{} {
		m.end(v.run, !finished, now)
		return struct{}{}
	})
	if finished && err == nil {
		t.answer(w, r, run, v)
	}
}

func (t *Target) runOf(r *http.Request, body string) Run {
	fence, _ := core.ParseFence(r.Header.Get(upstream.HeaderFence))
	return Run{
		Target: t.ID(), Service: core.Service(t.options.Service),
		RequestID:         core.RequestID(r.Header.Get(upstream.HeaderRequestID)),
		IdempotencyKey:    r.Header.Get("Idempotency-Key"),
		Workspace:         core.Workspace(r.Header.Get(upstream.HeaderWorkspace)),
		Key:               r.Header.Get(upstream.HeaderKey),
		Fence:             fence,
		Body:              body,
		CallID:            r.Header.Get(HeaderCallID),
		ReceivedCallerKey: r.Header.Get("Authorization") != "",
	}
}

// notRun answers that the request did not run.
func notRun(w http.ResponseWriter, id core.RequestID, status int) {
	w.Header().Set(upstream.HeaderRequestID, string(id))
	w.Header().Set(upstream.HeaderNotRun, "1")
	w.WriteHeader(status)
}

// Answer is the body of an answer to a request.
type Answer struct {
	Target        string `json:"target"`
	Workspace     string `json:"workspace"`
	Key           string `json:"key"`
	Authorization string `json:"authorization"`
	Path          string `json:"path"`
	Body          string `json:"body"`
	RequestID     string `json:"request_id"`
	Padding       string `json:"padding,omitempty"`
}

// answer writes the answer to a run, with the fault that v requires. The query
// parameter "length" of the request sets the bytes of padding.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, run Run, v verdict) {
	id := run.RequestID
	a := Answer{
		Target: t.options.ID, Workspace: string(run.Workspace), Key: run.Key,
		Authorization: r.Header.Get("Authorization"), Path: r.URL.String(), Body: run.Body,
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("length")); err == nil && n > 0 && n <= maxLongAnswer {
		a.Padding = strings.Repeat("x", n)
	}
	switch v.fault {
	case AnswerDelayed:
		if !wait(r.Context(), v.delay) {
			return
		}
	case AnswerWithEarlierID:
		id = v.earlierID
	case AnswerMislabeled:
		id = "mislabeled-" + id
	case AnswerLost:
		panic(http.ErrAbortHandler)
	}
	a.RequestID = string(id)
	data, err := json.Marshal(a)
	if err != nil {
		return
	}
	if v.fault == AnswerDoubled {
		writeTwice(w, id, data)
		return
	}
	w.Header().Set(upstream.HeaderRequestID, string(id))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if v.fault == AnswerTruncated {
		_, _ = w.Write(data[:len(data)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data)
}

// writeTwice writes the same response twice on the request's connection, which it
// then closes.
func writeTwice(w http.ResponseWriter, id core.RequestID, data []byte) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\n" + upstream.HeaderRequestID + ": " + string(id) +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(data)) + "\r\n\r\n"
	one := append([]byte(head), data...)
	_, _ = conn.Write(append(one, one...))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
