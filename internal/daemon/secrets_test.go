package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// TestNoSecretGetsOut holds that no caller key and no operators' token reaches
// the log, the metrics, the time line or an answer, and that failures are logged
// with result code and request id.
func TestNoSecretGetsOut(t *testing.T) {
	is := is.New(t)
	const known, unknown, token = "known-SECRET", "unknown-SECRET", "token-SECRET"
	s := settings.Default()
	any := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: any, Targets: any, Inner: any, Operators: any, Metrics: any}
	s.Operators = settings.Operators{Auth: settings.AuthToken, TokenHashes: []string{operators.HashToken(token).String()}}
	var log bytes.Buffer
	logs := telemetry.NewLogTask(&log, s.VM, "debug", func() {})
	d, err := New(s, logs.Logger())
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	logCtx, endLog := context.WithCancel(t.Context())
	done, logged := make(chan error, 1), make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	go func() { logged <- logs.Serve(logCtx) }()

	var seen strings.Builder
	send := func(method, url, bearer, body string) *http.Response {
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+bearer)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		seen.Write(answer)
		return resp
	}
	calls := "http://" + d.OperatorsAddress() + operatorspb.OperatorsPathPrefix
	is.Equal(send("POST", calls+"GetStatus", unknown, "{}").StatusCode, http.StatusUnauthorized)
	is.Equal(send("POST", calls+"PutWorkspace", token, `{"workspace": {"name": "lab", "rate": 9, "burst": 9}}`).StatusCode, http.StatusOK)
	is.Equal(send("POST", calls+"PutService", token, `{"service": {"name": "archivio"}}`).StatusCode, http.StatusOK)
	hash := config.HashSecret(known)
	key := operatorspb.NewOperatorsProtobufClient("http://"+d.OperatorsAddress(), bearer{token})
	_, err = key.CreateCallerKey(ctx, &operatorspb.CreateCallerKeyRequest{Id: "k1", Workspace: "lab", SecretSha256: hash[:]})
	is.NoErr(err)
	callers := "http://" + d.CallersAddress()
	is.Equal(send("GET", callers+"/archivio/b?n=1", unknown, "").StatusCode, http.StatusUnauthorized)
	noTarget := send("GET", callers+"/archivio/b?n=1", known, "")
	is.True(noTarget.StatusCode != http.StatusOK)
	send("GET", "http://"+d.listeners.metrics.Addr().String()+"/metrics", "", "")
	send("POST", calls+"GetConfiguration", token, "{}")
	send("POST", calls+"GetEvents", token, "{}")
	events, err := d.recorder.Events(ctx, timeline.Query{})
	is.NoErr(err)
	is.True(len(events) > 0)
	stop()
	is.NoErr(<-done)
	endLog()
	<-logged
	is.True(!strings.Contains(log.String(), "SECRET"))
	is.True(!strings.Contains(seen.String(), "SECRET"))
	is.True(strings.Contains(log.String(), noTarget.Header.Get("Comfreynotch-Request-Id")))
	is.True(strings.Contains(log.String(), `"code":`+noTarget.Header.Get("Comfreynotch-Result-Code")))
}

// bearer sends a token with each request.
type bearer struct{ token string }

func (b bearer) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultClient.Do(r)
}
