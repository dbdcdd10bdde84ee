package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/internal/gateway"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	idlePerAddress = 512 // connections
	callTimeout    = 15 * time.Second
)

// Caller sends requests to a set of addresses in turn, as the platform's load
// balancer does.
type Caller struct {
	addresses func(service string) []string
	secrets   map[string]string
	client    *http.Client
}

// NewCaller returns a caller. addresses returns the addresses, host:port, for
// requests of a service; secrets holds the caller key of each workspace and may be
// nil.
func NewCaller(addresses func(service string) []string, secrets map[string]string) *Caller {
	return &Caller{
		addresses: addresses, secrets: secrets,
		client: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: idlePerAddress},
		},
	}
}

// Close closes the idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// call sends a planned request to the address whose turn it is and returns its
// outcome. The caller sets the times of the sample.
func (c *Caller) call(ctx context.Context, turn int, s Stream, p planned) Sample {
	sample := Sample{Workspace: s.Workspace, Kind: s.Kind, Key: p.key, Outcome: NotRun}
	addresses := c.addresses(s.Service)
	if len(addresses) == 0 {
		return sample
	}
	body := fmt.Sprintf("%s-%d", s.Kind, p.serial)
	req, err := c.request(ctx, addresses[turn%len(addresses)], s, p, body)
	if err != nil {
		return sample
	}
	resp, err := c.client.Do(req)
	if err != nil {
		sample.Outcome = MayHaveRun
		return sample
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		sample.Outcome = MayHaveRun
		return sample
	}
	var answer faketarget.Answer
	sample.Outcome, answer = Classify(resp, data, body)
	sample.Target = answer.Target
	return sample
}

func (c *Caller) request(ctx context.Context, address string, s Stream, p planned, body string) (*http.Request, error) {
	method := http.MethodGet
	if s.Post {
		method = http.MethodPost
	}
	url := "http://" + address + "/" + s.Service + "/" + p.key
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if s.Post {
		req.Header.Set(gateway.HeaderIdempotencyKey, body)
	}
	if secret := c.secrets[s.Workspace]; secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	return req, nil
}

// Classify returns the outcome of a request that was sent with body, from the
// response and its data.
func Classify(resp *http.Response, data []byte, body string) (Outcome, faketarget.Answer) {
	var a faketarget.Answer
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return OverRate, a
	case resp.StatusCode == http.StatusOK:
		if json.Unmarshal(data, &a) != nil || a.Body != body {
			return WrongAnswer, a
		}
		return Served, a
	case resp.Header.Get(gateway.HeaderRan) == result.NotRun.String():
		return NotRun, a
	case resp.Header.Get(gateway.HeaderRan) == result.HasRun.String():
		return RanFailed, a
	default:
		return MayHaveRun, a
	}
}
