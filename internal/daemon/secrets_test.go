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

// TestNoSecretLeaks checks that no caller key and no operators' token appears in
// the log, the metrics, the time line or a response, and that failed requests
// are logged with their result code and request id.
func TestNoSecretLeaks(t *testing.T) {
	is := is.New(t)
	const known, unknown, token = "known-SECRET", "unknown-SECRET", "token-SECRET"
	s := settings.Default()
	loopback := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: loopback, Targets: loopback, Inner: loopback, Operators: loopback, Metrics: loopback}
	s.Operators = settings.Operators{Auth: settings.AuthToken, TokenHashes: []string{operators.HashToken(token).String()}}
	var logOutput bytes.Buffer
	logTask := telemetry.NewLogTask(&logOutput, s.VM, "debug", func() {})
	d, err := New(s, logTask.Logger())
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	logCtx, endLog := context.WithCancel(t.Context())
	daemonDone, logDone := make(chan error, 1), make(chan error, 1)
	go func() { daemonDone <- d.Run(ctx) }()
	go func() { logDone <- logTask.Serve(logCtx) }()

	var responses strings.Builder
	send := func(method, url, credential, body string) *http.Response {
		req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		is.NoErr(err)
		req.Header.Set("Authorization", "Bearer "+credential)
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		defer resp.Body.Close()
		answer, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		responses.Write(answer)
		return resp
	}
	operatorsURL := "http://" + d.OperatorsAddress() + operatorspb.OperatorsPathPrefix
	is.Equal(send("POST", operatorsURL+"GetStatus", unknown, "{}").StatusCode, http.StatusUnauthorized)
	is.Equal(send("POST", operatorsURL+"PutWorkspace", token, `{"workspace": {"name": "lab", "rate": 9, "burst": 9}}`).StatusCode, http.StatusOK)
	is.Equal(send("POST", operatorsURL+"PutService", token, `{"service": {"name": "archivio"}}`).StatusCode, http.StatusOK)
	hash := config.HashSecret(known)
	client := operatorspb.NewOperatorsProtobufClient("http://"+d.OperatorsAddress(), bearer{token})
	_, err = client.CreateCallerKey(ctx, &operatorspb.CreateCallerKeyRequest{Id: "k1", Workspace: "lab", SecretSha256: hash[:]})
	is.NoErr(err)
	callersURL := "http://" + d.CallersAddress()
	is.Equal(send("GET", callersURL+"/archivio/b?n=1", unknown, "").StatusCode, http.StatusUnauthorized)
	noTarget := send("GET", callersURL+"/archivio/b?n=1", known, "")
	is.True(noTarget.StatusCode != http.StatusOK)
	send("GET", "http://"+d.listeners.metrics.Addr().String()+"/metrics", "", "")
	send("POST", operatorsURL+"GetConfiguration", token, "{}")
	send("POST", operatorsURL+"GetEvents", token, "{}")
	events, err := d.recorder.Events(ctx, timeline.Query{})
	is.NoErr(err)
	is.True(len(events) > 0)
	stop()
	is.NoErr(<-daemonDone)
	endLog()
	<-logDone
	is.True(!strings.Contains(logOutput.String(), "SECRET"))
	is.True(!strings.Contains(responses.String(), "SECRET"))
	is.True(strings.Contains(logOutput.String(), noTarget.Header.Get("Comfreynotch-Request-Id")))
	is.True(strings.Contains(logOutput.String(), `"code":`+noTarget.Header.Get("Comfreynotch-Result-Code")))
}

// bearer is an HTTP client that sends a token with each request.
type bearer struct{ token string }

func (b bearer) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+b.token)
	return http.DefaultClient.Do(r)
}
