// Command comfreynotchd runs one daemon of the system.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/telemetry"
)

const (
	exitFailure = 1
	exitMisuse  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("comfreynotchd", flag.ContinueOnError)
	path := fs.String("settings", "", "JSON settings file; without one, a single daemon on loopback")
	check := fs.Bool("check", false, "check the settings and exit")
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("COMFREYNOTCHD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		fmt.Fprintln(os.Stderr, "comfreynotchd:", err)
		return exitMisuse
	}
	s := settings.Default()
	if *path != "" {
		loaded, err := settings.Load(*path)
		if err != nil {
			fmt.Fprintln(os.Stderr, "comfreynotchd:", err)
			return exitMisuse
		}
		s = loaded
	}
	if *check {
		return 0
	}
	return serve(s)
}

func serve(s *settings.Settings) int {
	d, err := daemon.New(s, telemetry.NewLogger(os.Stderr, s.VM, s.LogLevel))
	if err != nil {
		fmt.Fprintln(os.Stderr, "comfreynotchd:", err)
		return exitMisuse
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "comfreynotchd:", err)
		return exitFailure
	}
	return 0
}
