// Command search runs random plans of load and faults on whole systems and reports
// each promise that a run breaks. The plan follows from the seed, which is printed
// for each run so that it can be repeated.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/go-kit/log"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/bench/fuzz"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(os.Stdout).ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "search:", err)
		os.Exit(1)
	}
}

func command(w io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("search", flag.ContinueOnError)
	seed := flags.Int("seed", 1, "seed of the first plan")
	plans := flags.Int("plans", 10, "plans, with the seeds that follow")
	list := flags.Bool("list", false, "print the plans without carrying them out")
	verbose := flags.Bool("verbose", false, "write the daemons' logs to the standard error")
	return &ffcli.Command{
		Name: "search", ShortUsage: "search [flags]", ShortHelp: "Search for plans that break a promise.",
		FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error {
			if *list {
				for s := *seed; s < *seed+*plans; s++ {
					_, _ = fmt.Fprint(w, fuzz.NewPlan(s))
				}
				return nil
			}
			logger := log.NewNopLogger()
			if *verbose {
				logger = log.NewJSONLogger(log.NewSyncWriter(os.Stderr))
			}
			return search(ctx, w, logger, *seed, *plans)
		},
	}
}

// search runs the plans of seeds seed to seed+plans-1 and returns an error if any
// of them failed or broke a promise.
func search(ctx context.Context, w io.Writer, logger log.Logger, seed, plans int) error {
	failed := 0
	for s := seed; s < seed+plans && ctx.Err() == nil; s++ {
		p := fuzz.NewPlan(s)
		_, _ = fmt.Fprint(w, p)
		h, err := fuzz.Run(ctx, p, logger)
		if err != nil {
			failed++
			_, _ = fmt.Fprintf(w, "  FAILED: %v\n", err)
			continue
		}
		_, _ = fmt.Fprintf(w, "  %s\n", fuzz.Summary(h))
		for _, broken := range fuzz.Check(h) {
			failed++
			_, _ = fmt.Fprintf(w, "  BROKEN: %v\n", broken)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d failures", failed)
	}
	return nil
}
