package main

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and writes it to a file.
type record struct {
	mu     sync.Mutex
	start  time.Time
	lines  []string
	seen   map[string]*request
	order  []string
	extras int // extra copies that were sent before the answer to a request
}

// request is what is known of one client attempt.
type request struct {
	id       string
	kind     string // route type
	tenant   string
	sent     time.Time
	answered time.Time
	status   int // 0: the connection ended without an answer
	signed   bool
	body     string
	cut      bool // the kept connection was closed by the other side before the answer was complete
	arrivals []string
	runs     []execution
}

type execution struct {
	at     time.Time
	worker string
	tenant string
}

func newRecord() *record { return &record{start: time.Now(), seen: map[string]*request{}} }

// note adds a line of free text.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...)))
}

// of returns the entry of a request. The caller has locked mu.
func (r *record) of(id string) *request {
	q := r.seen[id]
	if q == nil {
		q = &request{id: id}
		r.seen[id] = q
		r.order = append(r.order, id)
	}
	return q
}

func (r *record) send(id, kind, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.of(id)
	q.kind, q.tenant, q.sent = kind, tenant, time.Now()
}

func (r *record) answer(id string, status int, signed bool, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.of(id)
	q.answered, q.status, q.signed, q.body = time.Now(), status, signed, body
}

// close records that the kept connection of a request was closed before its answer was
// complete.
func (r *record) close(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(id).cut = true
}

func (r *record) arrival(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.of(id)
	q.arrivals = append(q.arrivals, worker)
}

func (r *record) run(id, worker, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.of(id)
	q.runs = append(q.runs, execution{time.Now(), worker, tenant})
}

// extra records that a worker sends a copy of an earlier answer where the answer to
// request id is expected.
func (r *record) extra(id string, answer []byte) {
	own := bytes.Contains(answer, []byte("X-Attempt-Id: "+id+"\r\n"))
	status, _, _ := bytes.Cut(answer, []byte("\r\n"))
	r.note("a copy of an answer is sent before the answer to %s: %s, of the same request: %v", id, status, own)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extras++
}

// requests returns copies of all entries in the order of their sending.
func (r *record) requests() []request {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []request
	for _, id := range r.order {
		all = append(all, *r.seen[id])
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	return all
}

// write writes the record to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	r.mu.Lock()
	for _, line := range r.lines {
		fmt.Fprintln(out, line)
	}
	r.mu.Unlock()
	since := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
	}
	fmt.Fprintln(out, "requests: id, type, tenant, sent at, answered at with status, arrivals, runs")
	for _, q := range r.requests() {
		fmt.Fprintf(out, "%s %s %s sent %s answered %s with %d, %d arrivals, %d runs:", q.id, q.kind, q.tenant, since(q.sent), since(q.answered), q.status, len(q.arrivals), len(q.runs))
		for _, e := range q.runs {
			fmt.Fprintf(out, " %s at %s for %q", e.worker, since(e.at), e.tenant)
		}
		fmt.Fprintln(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return f.Close()
}
