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
	callTimeout           = 12 * time.Second
	distinctKeys          = 12
	longAnswerBytes       = 3 << 20 // bytes, more than the router buffers
	longAnswerShare       = 0.02
	postShare             = 0.6
	keyedShare            = 0.6
	noIdempotencyKeyShare = 0.5 // of the POST requests
)

// entryVM is a VM and the address on which it accepts callers.
type entryVM struct{ vm, address string }

// caller generates the load of one workspace.
type caller struct {
	workspace string
	perSecond float64
	entryVMs  []entryVM
	secret    task.Snapshot[string]
	random    *rand.Rand
	client    *http.Client
	calls     chan<- Call
}

// run sends calls at a constant rate until ctx ends. It returns the number of
// calls sent to the calls channel, including retries.
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
		call, second := c.drawCall(serial), c.entryVMs[c.random.IntN(len(c.entryVMs))]
		go func() { ended <- c.send(call, second) }()
	}
}

func (c *caller) drawCall(serial int) Call {
	e := c.entryVMs[c.random.IntN(len(c.entryVMs))]
	call := Call{
		Body:      fmt.Sprintf("%s-%d", c.workspace, serial),
		Workspace: c.workspace, Secret: *c.secret.Load(), VM: e.vm, Service: openService,
		Post: c.random.Float64() < postShare,
	}
	call.ID = call.Body + "-1"
	if c.random.Float64() < keyedShare {
		call.Service, call.Key = keyedService, fmt.Sprintf("key-%d", c.random.IntN(distinctKeys))
	}
	if call.Post && c.random.Float64() >= noIdempotencyKeyShare {
		call.Idempotent = call.Body
	}
	if !call.Post && c.random.Float64() < longAnswerShare {
		call.Padding = longAnswerBytes
	}
	return call
}

// send makes the call. If the call may have run and has an idempotency key, it
// retries the call once through the given second VM. It returns the number of
// calls recorded.
func (c *caller) send(call Call, second entryVM) int {
	first := c.attempt(call)
	c.calls <- first
	if first.Outcome != load.MayHaveRun || call.Idempotent == "" {
		return 1
	}
	call.ID, call.VM = call.Body+"-2", second.vm
	c.calls <- c.attempt(call)
	return 2
}

func (c *caller) attempt(call Call) Call {
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
	for _, e := range c.entryVMs {
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

// newClient returns a client that opens a connection for each call. When
// connections are reused, net/http may retry a request by itself.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}
