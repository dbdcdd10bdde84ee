package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	callTimeout = time.Second // after which a caller of the control interface moves on
	callPath    = "/comfreynotch/rpc"
)

// caller calls the control interface as PROTOCOL.md says: it follows a redirect
// twice and moves on to another address after a failure.
type caller struct {
	addresses []string
	client    *http.Client
	next      int
}

func newCaller(addresses []string, first int) *caller {
	return &caller{addresses: addresses, next: first, client: &http.Client{
		Timeout:       callTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// attempt makes one attempt at one address.
func (c *caller) attempt(address, name, object string, body []byte) (int, []byte, error) {
	target := "http://" + address + callPath + "?call=" + name
	if object != "" {
		target += "&of=" + url.QueryEscape(object)
	}
	for redirects := 0; ; redirects++ {
		req, err := http.NewRequest(http.MethodPost, target, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := c.client.Do(req)
		if err != nil {
			return 0, nil, err
		}
		answer, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if resp.StatusCode != http.StatusTemporaryRedirect || redirects == 2 {
			return resp.StatusCode, answer, nil
		}
		target = resp.Header.Get("Location")
	}
}

// order sends an order until it is acknowledged or refused, and returns the time of
// the acknowledgement.
func (c *caller) order(name, object string, body []byte, limit time.Duration) (time.Time, error) {
	pause := 50 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		address := c.addresses[c.next%len(c.addresses)]
		status, answer, err := c.attempt(address, name, object, body)
		switch {
		case err == nil && status/100 == 2:
			return time.Now(), nil
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return time.Time{}, fmt.Errorf("%s is refused with %d: %s", name, status, answer)
		}
		c.next++
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return time.Time{}, errors.New(name + " got no acknowledgement")
}

// Items of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api_keys"`
	Priority int      `json:"priority"`
	Rate     float64  `json:"rate_per_s"`
	Burst    float64  `json:"burst"`
	Version  string   `json:"version"`
}

type route struct {
	name, prefix, kind, service string
	objectiveMs, timeoutMs      int
}

type service struct {
	name    string
	sharded bool
}

const hostName = "muletas.example"

// firstItems encodes the first call of the operator.
func firstItems(tenants []tenant, routes []route, services []service) []byte {
	var rules, clusters []any
	for _, r := range routes {
		rules = append(rules, map[string]any{
			"name": r.name, "type": r.kind, "target_latency_ms": r.objectiveMs, "priority": 1, "public": false, "version": "r1",
			"match":  map[string]any{"path_prefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeout_ms": r.timeoutMs, "attempts": 2},
		})
	}
	for _, s := range services {
		cluster := map[string]any{
			"name": s.name, "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false,
			"cold_start_s": 3.0, "cold_per_s": 13.0, "version": "r1",
		}
		if s.sharded {
			cluster["sharded"], cluster["warm_s"], cluster["grants"] = true, 3.0, "heartbeat"
		}
		clusters = append(clusters, cluster)
	}
	return encode(map[string]any{
		"upsert": map[string]any{
			"tenants":   tenants,
			"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "version": "r1"},
			"listeners": []any{map[string]any{"host": hostName, "rules": rules}},
			"clusters":  clusters,
		},
		"remove": map[string]any{"routes": []any{}},
	})
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the harness encodes only its own types
	}
	return data
}
