// Command demo runs a single daemon with all roles and one simulated target, sends
// one request through them, prints the answer, and runs until it is stopped.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/internal/cli"
	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/gateway"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
)

const (
	startTimeout = 30 * time.Second
	retryPeriod  = 200 * time.Millisecond
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, settings.Default(), os.Stdout, os.Stderr)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// run starts the daemon and the target, shows one answered request and serves
// until ctx ends.
func run(ctx context.Context, s *settings.Settings, stdout, stderr io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	logs := telemetry.NewLogTask(stderr, s.VM, "warn", func() {})
	d, err := daemon.New(s, logs.Logger())
	if err != nil {
		return err
	}
	target, err := faketarget.New(faketarget.Options{
		ID: "t1", Service: "archivio", DataCentre: s.DataCentre, Slots: 6, StartsWarm: true, Daemons: []string{d.TargetsAddress()},
	})
	if err != nil {
		return err
	}
	ended := make(chan error, 3)
	go func() { ended <- logs.Serve(ctx) }()
	go func() { ended <- d.Run(ctx) }()
	go func() { ended <- target.Run(ctx) }()
	if err := show(ctx, d, stdout); err != nil {
		return err
	}
	for range cap(ended) {
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			return err
		}
	}
	return nil
}

// show configures a workspace, a caller key and a service, sends one request and
// prints its answer.
func show(ctx context.Context, d *daemon.Daemon, stdout io.Writer) error {
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	folder, err := os.MkdirTemp("", "comfreynotch-demo-")
	if err != nil {
		return fmt.Errorf("folder for the caller's secret: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	secretFile := folder + "/secret"
	for _, args := range [][]string{
		{"workspace", "put", "-rate", "100", "-burst", "100", "lab"},
		{"key", "create", "-workspace", "lab", "-secret-file", secretFile, "lab-1"},
		{"service", "put", "-shards", "16", "archivio"},
	} {
		if err := command(startCtx, d, args, stdout); err != nil {
			return err
		}
	}
	secret, err := os.ReadFile(secretFile)
	if err != nil {
		return fmt.Errorf("caller's secret: %w", err)
	}
	url := "http://" + d.CallersAddress() + "/archivio/batch-7"
	answer, err := ask(startCtx, url, string(secret[:len(secret)-1]))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(stdout, `
caller's key:  %s
request:       GET %s
answer:        %s
operators:     comfreynotch -address http://%s status
stop with Ctrl-C
`, secret[:len(secret)-1], url, answer, d.OperatorsAddress())
	return err
}

// command runs one command of the operators' tool. It retries a command that
// fails, because the registry has no leader right after the start.
func command(ctx context.Context, d *daemon.Daemon, args []string, stdout io.Writer) error {
	args = append([]string{"-address", "http://" + d.OperatorsAddress()}, args...)
	for {
		code := cli.Run(ctx, args, cli.Env{Stdout: stdout, Stderr: io.Discard, Now: time.Now})
		if code == 0 {
			return nil
		}
		if code == result.ExitMisuse {
			return fmt.Errorf("%v: exit code %d", args, code)
		}
		if err := pause(ctx); err != nil {
			return fmt.Errorf("%v: exit code %d: %w", args, code, err)
		}
	}
}

// ask sends a request and returns the body of the answer. It retries while the
// answer says that the request did not run, as until the target holds its shards.
func ask(ctx context.Context, url, secret string) (string, error) {
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return "", err
		}
		req.Header.Set("Authorization", "Bearer "+secret)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || resp.StatusCode == http.StatusOK {
			return string(body), err
		}
		if resp.Header.Get(gateway.HeaderRan) != result.NotRun.String() {
			return "", fmt.Errorf("%s: %s", resp.Status, body)
		}
		if err := pause(ctx); err != nil {
			return "", fmt.Errorf("%s: %w", body, err)
		}
	}
}

// pause waits for retryPeriod, or until ctx ends.
func pause(ctx context.Context) error {
	timer := time.NewTimer(retryPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
