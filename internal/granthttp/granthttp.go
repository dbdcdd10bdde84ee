// Package granthttp sends grant orders to targets over HTTP, as docs/TARGETS.md
// describes. It only encodes and decodes; all decisions are in package grant.
package granthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/grant"
)

const (
	path           = "/comfreynotch/v1/grants"
	maxAnswerBytes = 4 << 20
	idleTimeout    = 30 * time.Second
)

// orderBody is the JSON body of POST /comfreynotch/v1/grants.
type orderBody struct {
	Service     string       `json:"service"`
	Holder      string       `json:"holder"`
	TTLms       int64        `json:"ttl_ms"`
	SinceMs     int64        `json:"since_ms,omitempty"`
	Incarnation uint64       `json:"incarnation,omitempty"`
	Reset       bool         `json:"reset,omitempty"`
	Add         []shardFence `json:"add,omitempty"`
	Remove      []shardFence `json:"remove,omitempty"`
}

type shardFence struct {
	Shard uint32 `json:"shard"`
	Fence string `json:"fence"`
}

// answerBody is the union of the JSON answers to GET and POST and of the refusal
// with status 409.
type answerBody struct {
	Incarnation uint64      `json:"incarnation"`
	ClockMs     int64       `json:"clock_ms"`
	Held        int         `json:"held"`
	Shards      []heldShard `json:"shards"`
	Fence       string      `json:"fence"`
}

type heldShard struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Fence   string `json:"fence"`
}

// Sender sends orders over pooled connections.
type Sender struct{ transport *http.Transport }

// NewSender returns a sender without open connections.
func NewSender() *Sender {
	return &Sender{transport: &http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}}
}

// Order sends o and returns the target's reply.
func (s *Sender) Order(ctx context.Context, o grant.Order) grant.Reply {
	req, err := newRequest(ctx, o)
	if err != nil {
		return grant.Reply{Failed: true}
	}
	resp, err := s.transport.RoundTrip(req)
	if err != nil {
		return grant.Reply{Failed: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return grant.Reply{Failed: true}
	}
	return readAnswer(o, resp.StatusCode, data)
}

func newRequest(ctx context.Context, o grant.Order) (*http.Request, error) {
	url := "http://" + o.Target.Address + path
	method, body := http.MethodGet, []byte(nil)
	if !o.Probe {
		method = http.MethodPost
		var err error
		if body, err = json.Marshal(toBody(o)); err != nil {
			return nil, fmt.Errorf("encode order: %w", err)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("create order for target %s: %w", o.Target.ID, err)
	}
	req.Header["User-Agent"] = nil
	return req, nil
}

func toBody(o grant.Order) orderBody {
	b := orderBody{
		Service: string(o.Target.Service), Holder: o.Holder.String(), TTLms: o.TTL.Milliseconds(),
		SinceMs: o.Since.Milliseconds(), Incarnation: uint64(o.Incarnation), Reset: o.Reset,
	}
	for _, a := range o.Add {
		b.Add = append(b.Add, shardFence{uint32(a.Shard), a.Fence.String()})
	}
	for _, r := range o.Remove {
		b.Remove = append(b.Remove, shardFence{uint32(r.Shard), r.Fence.String()})
	}
	return b
}

// readAnswer decodes an answer. A probe succeeds with any status below 500, since
// a target that does not accept grants may answer it with an error and is alive
// all the same. Any other order succeeds only with status 200 and a valid body.
func readAnswer(o grant.Order, status int, data []byte) grant.Reply {
	var b answerBody
	decoded := json.Unmarshal(data, &b) == nil
	switch {
	case status == http.StatusConflict && decoded && !o.Probe:
		f, err := core.ParseFence(b.Fence)
		return grant.Reply{Stale: err == nil, Failed: err != nil, Fence: f}
	case status == http.StatusOK && decoded:
		return toReply(b)
	case o.Probe && status < http.StatusInternalServerError:
		return grant.Reply{}
	default:
		return grant.Reply{Failed: true}
	}
}

func toReply(b answerBody) grant.Reply {
	r := grant.Reply{
		Incarnation: core.Incarnation(b.Incarnation), Clock: time.Duration(b.ClockMs) * time.Millisecond,
		HeldCount: b.Held,
	}
	for _, s := range b.Shards {
		if f, err := core.ParseFence(s.Fence); err == nil {
			r.Held = append(r.Held, grant.HeldShard{Service: core.Service(s.Service), Shard: core.Shard(s.Shard), Fence: f})
		}
	}
	return r
}
