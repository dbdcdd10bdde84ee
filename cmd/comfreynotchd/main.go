// Command comfreynotchd runs one daemon of a comfreynotch system.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
	"github.com/comfreynotch/comfreynotch/platform"
)

// Exit codes; docs/RESULT-CODES.md lists them.
const (
	exitOK      = 0
	exitFailure = 1
	exitMisuse  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run starts the daemon that args configure and serves until ctx ends. It writes
// only a new operator token and the result of -check to stdout.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o, err := parseOptions(args, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK
	}
	if err == nil && o.platform {
		return servePlatform(ctx, stdout, stderr)
	}
	if err == nil {
		err = o.settings.Check()
	}
	if err == nil {
		err = o.settings.CheckFiles()
	}
	if err != nil {
		fail(stderr, err)
		return exitMisuse
	}
	if o.check {
		_, _ = fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	if err := makeToken(o.settings.Operators, stdout); err != nil {
		fail(stderr, err)
		return exitFailure
	}
	return serve(ctx, o.settings, stderr)
}

// makeToken generates and prints an operator token on the first start, that is,
// if the settings name a file of token hashes that does not exist.
func makeToken(s settings.Operators, stdout io.Writer) error {
	needsToken := s.Auth == settings.AuthToken || s.Auth == settings.AuthEither
	if !needsToken || s.TokenHashFile == "" {
		return nil
	}
	token, err := operators.CreateTokenFile(s.TokenHashFile)
	if err != nil || token == "" {
		return err
	}
	_, err = fmt.Fprintf(stdout, "operators' token, shown this once: %s\n", token)
	return err
}

func serve(ctx context.Context, s *settings.Settings, stderr io.Writer) int {
	metrics := telemetry.NewMetrics()
	logs := telemetry.NewLogTask(stderr, s.VM, s.LogLevel, metrics.LogLineDropped)
	d, err := daemon.NewWithMetrics(s, logs.Logger(), metrics)
	if err != nil {
		fail(stderr, err)
		return exitMisuse
	}
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	logged := make(chan struct{})
	go func() {
		_ = logs.Serve(logCtx) // returns only when logCtx ends
		close(logged)
	}()
	err = d.Run(ctx)
	endLog()
	<-logged // wait until the last log lines are written
	if err != nil {
		fail(stderr, err)
		return exitFailure
	}
	return exitOK
}

// servePlatform runs the role that the platform assigns to this process. SIGHUP
// makes it reload its settings.
func servePlatform(ctx context.Context, stdout, stderr io.Writer) int {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	if err := platform.Main(ctx, stdout, hangUps); err != nil {
		fail(stderr, err)
		return exitFailure
	}
	return exitOK
}

// fail prints err in one line. A write error is ignored; the exit code still
// reports the failure.
func fail(stderr io.Writer, err error) { _, _ = fmt.Fprintln(stderr, "comfreynotchd:", err) }
