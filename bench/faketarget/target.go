// Package faketarget is a stand-in for the users' targets: it announces itself,
// answers requests, and can be told to misbehave.
package faketarget

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/announce"
	"github.com/comfreynotch/comfreynotch/internal/upstream"
)

const announcePeriod = 500 * time.Millisecond

// Options describe one stand-in.
type Options struct {
	ID         string
	Service    string
	DataCentre string
	Slots      int
	Daemons    []string      // targets' listeners of daemons, host:port
	Work       time.Duration // time that one request takes
}

// Target is one stand-in, bound but not running.
type Target struct {
	options  Options
	listener net.Listener
}

// New binds a stand-in to a loopback port.
func New(o Options) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake target %s: %w", o.ID, err)
	}
	return &Target{options: o, listener: l}, nil
}

// Run announces and serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	srv := &http.Server{Handler: http.HandlerFunc(t.serve)}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(t.listener) }()
	defer srv.Close()
	ticker := time.NewTicker(announcePeriod)
	defer ticker.Stop()
	for {
		t.announce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-ticker.C:
		}
	}
}

func (t *Target) announce(ctx context.Context) {
	body, err := json.Marshal(announce.Announcement{
		ID: t.options.ID, Service: t.options.Service, DataCentre: t.options.DataCentre,
		Address: t.listener.Addr().String(), Incarnation: 1, Slots: t.options.Slots, Connections: 120,
	})
	if err != nil {
		return
	}
	for _, d := range t.options.Daemons {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d+"/v1/announce", bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
	}
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(t.options.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(upstream.HeaderRequestID, r.Header.Get(upstream.HeaderRequestID))
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]string{
		"target":        t.options.ID,
		"workspace":     r.Header.Get(upstream.HeaderWorkspace),
		"key":           r.Header.Get(upstream.HeaderKey),
		"authorization": r.Header.Get("Authorization"),
		"path":          r.URL.String(),
		"body":          string(body),
	})
}
