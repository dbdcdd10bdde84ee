package main

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keySpace = 1 << 16

// workerOptions describe a worker of a service.
type workerOptions struct {
	id, service, zone, ip string
	slots, queue          int
	sharded               bool
	work                  func(r *http.Request) time.Duration // how long a request takes
	fullFields            string                              // further header fields of the answer that the worker is full
	// extraCopy decides after each answer whether a copy of it follows late, where the
	// next answer on the connection is expected. Nil: never.
	extraCopy func() bool
}

// worker is a stand-in for a worker of PROTOCOL.md.
type worker struct {
	workerOptions
	record   *record
	caller   *caller
	listener net.Listener
	born     int64
	beat     chan struct{} // asks for a heartbeat soon
	stopped  chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	slotFree *sync.Cond
	sequence int
	state    string
	endpoint string
	expiry   time.Time             // of the lease
	held     [keySpace]uint64      // fence, 0: not held
	leaving  [keySpace]bool        // left out by the newest answer, but still worked on
	highest  [keySpace]uint64      // highest fence seen
	busy     [keySpace]int         // requests that are being worked on
	released []any                 // since the last acknowledged heartbeat
	history  []holding             // changes of what is held
	open     map[net.Conn]struct{} // connections
}

// holding is one change of the number of keys that a worker holds.
type holding struct {
	at   time.Time
	keys int
}

func startWorker(o workerOptions, rec *record, controls []string) (*worker, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(o.ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		workerOptions: o, record: rec, caller: newCaller(controls, len(o.id)), listener: l, born: time.Now().UnixMilli(),
		beat: make(chan struct{}, 1), stopped: make(chan struct{}), state: "ready", open: map[net.Conn]struct{}{},
	}
	w.slotFree = sync.NewCond(&w.mu)
	go w.accept()
	go w.sendHeartbeats()
	return w, nil
}

func (w *worker) stop() {
	close(w.stopped)
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		c.Close()
	}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.open[c] = struct{}{}
		w.mu.Unlock()
		go w.serve(c)
	}
}

// serve serves the requests on one connection, one at a time.
func (w *worker) serve(c net.Conn) {
	defer func() {
		c.Close()
		w.mu.Lock()
		delete(w.open, c)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if extra != nil {
			w.record.extra(req.Header.Get("X-Attempt-Id"), extra)
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		answer := w.answer(req, body)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if w.extraCopy != nil && w.extraCopy() {
			extra = answer
		}
	}
}

// answer processes a request and returns the bytes of the answer.
func (w *worker) answer(req *http.Request, body []byte) []byte {
	arrived := time.Now()
	id := req.Header.Get("X-Attempt-Id")
	if req.URL.Path == "/health" {
		return w.format(id, 200, "X-Instance-Id: "+w.id+"\r\n", "")
	}
	if expected := req.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		return w.format(id, 421, "X-Not-Executed: 1\r\nX-Instance-Id: "+w.id+"\r\n", "")
	}
	key, _ := strconv.Atoi(req.Header.Get("X-Shard-Key"))
	w.record.arrival(id, w.id)
	w.mu.Lock()
	if w.running >= w.slots && w.waiting >= w.queue {
		w.mu.Unlock()
		return w.format(id, 503, "X-Not-Executed: 1\r\n"+w.fullFields, "")
	}
	w.waiting++
	for w.running >= w.slots {
		w.slotFree.Wait()
	}
	w.waiting--
	if ms, err := strconv.Atoi(req.Header.Get("X-Deadline-Ms")); err == nil && time.Since(arrived) > time.Duration(ms)*time.Millisecond {
		w.slotFree.Signal()
		w.mu.Unlock()
		return w.format(id, 503, "X-Not-Executed: 1\r\n", "")
	}
	if w.sharded && !w.holds(key) {
		w.slotFree.Signal()
		w.mu.Unlock()
		return w.format(id, 421, "X-Not-Executed: 1\r\n", "")
	}
	w.running++
	w.busy[key]++
	w.mu.Unlock()
	w.record.run(id, w.id, req.Header.Get("X-Tenant"))
	time.Sleep(w.work(req))
	w.mu.Lock()
	w.running--
	w.busy[key]--
	if w.leaving[key] && w.busy[key] == 0 {
		w.askBeat()
	}
	w.slotFree.Signal()
	w.mu.Unlock()
	return w.format(id, 200, "X-Server-Signature: "+signature(id)+"\r\n", fmt.Sprintf("answer to %s, %d bytes", id, len(body)))
}

func signature(id string) string { return "3e1b." + id }

func (w *worker) format(id string, status int, fields, body string) []byte {
	w.mu.Lock()
	load := fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.slots)
	w.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\nX-Instance-Load: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, load, fields, len(body), body)
}

// holds reports whether the worker may run a request of a key. The caller has locked mu.
func (w *worker) holds(key int) bool {
	return key < keySpace && w.held[key] > 0 && !w.leaving[key] && time.Now().Before(w.expiry)
}

func (w *worker) askBeat() {
	select {
	case w.beat <- struct{}{}:
	default:
	}
}

func (w *worker) sendHeartbeats() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-w.stopped:
			return
		case <-timer.C:
		case <-w.beat:
		}
		again := w.heartbeat()
		interval := heartbeatInterval
		if again {
			interval = 80 * time.Millisecond
		}
		timer.Reset(interval)
	}
}

// rows encodes runs of keys that have the same value.
func rows(values *[keySpace]uint64) [][]any {
	list := [][]any{}
	for first := 0; first < keySpace; {
		last := first
		for last+1 < keySpace && values[last+1] == values[first] {
			last++
		}
		if values[first] > 0 {
			list = append(list, []any{first, last, values[first]})
		}
		first = last + 1
	}
	return list
}

// heartbeat sends one heartbeat and applies the answer. It reports whether another one
// is to follow soon.
func (w *worker) heartbeat() bool {
	w.mu.Lock()
	w.expire()
	w.sequence++
	released := w.released
	body := encode(map[string]any{
		"address": w.listener.Addr().String(), "born": w.born,
		"info":   map[string]any{"service": w.service, "version": "v1", "zone": w.zone, "slots": w.slots},
		"status": map[string]any{"state": w.state, "sequence": w.sequence, "cold_remaining_ms": 0},
		"holds":  rows(&w.held), "released": append([]any{}, released...),
	})
	endpoint := w.endpoint
	w.mu.Unlock()
	if endpoint == "" {
		endpoint = w.caller.addresses[w.caller.next%len(w.caller.addresses)]
		w.caller.next++
	}
	sent := time.Now()
	status, answer, err := w.caller.attempt(endpoint, "instances.heartbeat", w.id, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || status/100 != 2 || time.Since(sent) > time.Second || len(answer) > 4096 {
		w.record.note("heartbeat of %s at %s: status %d, %v", w.id, endpoint, status, err)
		w.endpoint = ""
		return true
	}
	var grant struct {
		Endpoint string   `json:"heartbeat_endpoint"`
		Holds    *[][]any `json:"holds"`
		HoldMs   float64  `json:"hold_ms"`
	}
	if err := json.Unmarshal(answer, &grant); err != nil {
		return true
	}
	w.released = w.released[len(released):]
	w.endpoint = grant.Endpoint
	if grant.Holds == nil {
		return false
	}
	return w.applyGrant(*grant.Holds, sent.Add(time.Duration(grant.HoldMs)*time.Millisecond))
}

// expire drops all keys when the lease has ended. An expired lease is not reported in
// released.
func (w *worker) expire() {
	if !w.expiry.IsZero() && time.Now().After(w.expiry) {
		w.held, w.leaving = [keySpace]uint64{}, [keySpace]bool{}
		w.noteHoldings()
	}
}

// applyGrant applies the list of everything that the worker is to hold.
func (w *worker) applyGrant(granted [][]any, expiry time.Time) bool {
	w.expire()
	var next [keySpace]uint64
	for _, row := range granted {
		first, last, fence := int(row[0].(float64)), int(row[1].(float64)), uint64(row[2].(float64))
		accepted := true
		for k := first; k <= last; k++ {
			accepted = accepted && w.highest[k] <= fence
		}
		if !accepted {
			continue
		}
		for k := first; k <= last; k++ {
			next[k], w.highest[k] = fence, fence
		}
	}
	pending := false
	var gone [keySpace]uint64
	for k := range keySpace {
		switch {
		case next[k] > 0:
			w.held[k], w.leaving[k] = next[k], false
		case w.held[k] > 0 && w.busy[k] > 0:
			w.leaving[k], pending = true, true
		case w.held[k] > 0:
			gone[k], w.held[k], w.leaving[k] = w.held[k], 0, false
		}
	}
	for _, row := range rows(&gone) {
		w.released = append(w.released, []any{row[0], row[1], rand.Text()})
		pending = true
	}
	w.expiry = expiry
	w.noteHoldings()
	return pending
}

// noteHoldings records how many keys are held.
func (w *worker) noteHoldings() {
	keys := 0
	for _, fence := range w.held {
		if fence > 0 {
			keys++
		}
	}
	if n := len(w.history); n == 0 || w.history[n-1].keys != keys {
		w.history = append(w.history, holding{time.Now(), keys})
	}
}

// keysHeld returns how many keys the worker may serve now.
func (w *worker) keysHeld() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	if time.Now().After(w.expiry) {
		return 0
	}
	for k := range keySpace {
		if w.held[k] > 0 && !w.leaving[k] {
			n++
		}
	}
	return n
}

// heldKey reports whether the worker holds a key now.
func (w *worker) heldKey(key int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds(key)
}
