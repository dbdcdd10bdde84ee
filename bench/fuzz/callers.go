package fuzz

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/load"
	"github.com/comfreynotch/comfreynotch/internal/gateway"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	callTimeout  = 12 * time.Second
	distinctKeys = 12
	longAnswer   = 3 << 20 // bytes, above what the system holds
	longShare    = 0.02
	postShare    = 0.6
	keyedShare   = 0.6
	keylessShare = 0.5 // of the posts: without an idempotency key
)

// entry is one VM's callers' address.
type entry struct{ vm, address string }

// caller sends the calls of one workspace.
type caller struct {
	workspace string
	perSecond float64
	entries   []entry
	secret    task.Snapshot[string]
	random    *rand.Rand
	client    *http.Client
	calls     chan<- Call
}

// run sends calls at a steady pace until ctx ends, and returns how many calls
// were or will be recorded.
func (c *caller) run(ctx context.Context) int {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / c.perSecond))
	defer ticker.Stop()
	ended := make(chan int)
	sent := 0
	for serial := 0; ; serial++ {
		select {
		case <-ctx.Done():
			total := 0
			for range sent {
				total += <-ended
			}
			return total
		case <-ticker.C:
		}
		sent++
		call, second := c.draw(serial), c.entries[c.random.IntN(len(c.entries))]
		go func() { ended <- c.send(call, second) }()
	}
}

func (c *caller) draw(serial int) Call {
	e := c.entries[c.random.IntN(len(c.entries))]
	call := Call{
		Body:      fmt.Sprintf("%s-%d", c.workspace, serial),
		Workspace: c.workspace, Secret: *c.secret.Load(), VM: e.vm, Service: openService,
		Post: c.random.Float64() < postShare,
	}
	call.ID = call.Body + "-1"
	if c.random.Float64() < keyedShare {
		call.Service, call.Key = keyedService, fmt.Sprintf("key-%d", c.random.IntN(distinctKeys))
	}
	if call.Post && c.random.Float64() >= keylessShare {
		call.Idempotent = call.Body
	}
	if !call.Post && c.random.Float64() < longShare {
		call.Padding = longAnswer
	}
	return call
}

// send makes the call, and repeats it once through another VM when its outcome
// is unknown and its idempotency key allows that. It returns the calls recorded.
func (c *caller) send(call Call, second entry) int {
	first := c.once(call)
	c.calls <- first
	if first.Outcome != load.MayHaveRun || call.Idempotent == "" {
		return 1
	}
	call.ID, call.VM = call.Body+"-2", second.vm
	c.calls <- c.once(call)
	return 2
}

func (c *caller) once(call Call) Call {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	call.Sent = time.Now()
	c.exchange(ctx, &call)
	call.Ended = time.Now()
	return call
}

func (c *caller) exchange(ctx context.Context, call *Call) {
	call.Outcome = load.MayHaveRun
	req, err := c.request(ctx, call)
	if err != nil {
		call.Code = err.Error()
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		call.Code = err.Error()
		return
	}
	defer resp.Body.Close()
	call.Code = resp.Header.Get(gateway.HeaderResultCode)
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		call.Code = err.Error()
		return
	}
	call.Outcome, call.Answer = load.Classify(resp, data, call.Body)
}

func (c *caller) request(ctx context.Context, call *Call) (*http.Request, error) {
	method, path := http.MethodGet, "/"+call.Service+"/"+call.Key
	if call.Post {
		method = http.MethodPost
	}
	if call.Padding > 0 {
		path += fmt.Sprintf("?length=%d", call.Padding)
	}
	address := ""
	for _, e := range c.entries {
		if e.vm == call.VM {
			address = e.address
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+call.Secret)
	req.Header.Set(faketarget.HeaderCallID, call.ID)
	if call.Idempotent != "" {
		req.Header.Set(gateway.HeaderIdempotencyKey, call.Idempotent)
	}
	return req, nil
}

// newClient opens a connection for each call: a client that reuses connections
// may send a request twice by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
