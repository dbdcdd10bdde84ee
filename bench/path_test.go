// Package bench contains end-to-end tests; its subfolders hold the benchmarks.
package bench_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// TestOneRequestFromEndToEnd checks on one request through one daemon that the
// target does not see the caller key, and that the caller gets the whole answer
// to its own request.
func TestOneRequestFromEndToEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := settings.Default()
	s.Listen = settings.Listen{
		Callers: "127.0.0.1:0", Targets: "127.0.0.1:0", Inner: "127.0.0.1:0",
		Operators: "127.0.0.1:0", Metrics: "127.0.0.1:0",
	}
	d, err := daemon.New(s, log.NewNopLogger())
	is.NoErr(err)
	done := make(chan error, 2)
	go func() { done <- d.Run(ctx) }()
	target, err := faketarget.New(faketarget.Options{
		ID: "t1", Service: "archivio", DataCentre: "local", Slots: 2, Daemons: []string{d.TargetsAddress()},
	})
	is.NoErr(err)
	go func() { done <- target.Run(ctx) }()

	ops := operatorspb.NewOperatorsProtobufClient("http://"+d.OperatorsAddress(), http.DefaultClient)
	_, err = ops.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{
		Workspace: &operatorspb.Workspace{Name: "lab", Rate: 100, Burst: 100},
	})
	is.NoErr(err)
	const secret = "secret of k1"
	hash := config.HashSecret(secret)
	_, err = ops.CreateCallerKey(ctx, &operatorspb.CreateCallerKeyRequest{Id: "k1", Workspace: "lab", SecretSha256: hash[:]})
	is.NoErr(err)
	_, err = ops.PutService(ctx, &operatorspb.PutServiceRequest{
		Service: &operatorspb.Service{Name: "archivio", Keyed: true, Shards: 16},
	})
	is.NoErr(err)

	body := callUntilServed(t, ctx, "http://"+d.CallersAddress()+"/archivio/batch-7/pages?n=1", secret)
	is.Equal(body["target"], "t1")
	is.Equal(body["workspace"], "lab")
	is.Equal(body["key"], "batch-7")
	is.Equal(body["path"], "/batch-7/pages?n=1")
	is.Equal(body["authorization"], "")
	cancel()
	is.NoErr(<-done)
	is.NoErr(<-done)
}

// callUntilServed retries a request until it is served. The test fails on any
// answer that does not say "not run".
func callUntilServed(t *testing.T, ctx context.Context, url, secret string) map[string]string {
	t.Helper()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK {
			var body map[string]string
			if err := json.Unmarshal(data, &body); err != nil {
				t.Fatal(err)
			}
			return body
		}
		if resp.Header.Get("Comfreynotch-Ran") != "not run" {
			t.Fatalf("%s: %s", resp.Status, data)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
