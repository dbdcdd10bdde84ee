// Command slopes measures how the cost of each role grows with the size of the
// system. docs/CAPACITY.md lists its results.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/bench/slopes"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(os.Stdout).ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func command(w io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name: "slopes", ShortUsage: "slopes <subcommand>",
		ShortHelp: "Measure how the cost of each role grows with its size.",
		Exec:      func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, s := range []struct {
		name, help string
		run        func(ctx context.Context, w io.Writer) error
	}{
		{"placement", "imbalance and churn of ways to place shards", slopes.Placement},
		{"configuration", "state and time of a change", slopes.Configuration},
		{"changes", "time and bytes of a change of the configuration", slopes.Changes},
		{"choice", "choice of target under stragglers, in virtual time", slopes.Choice},
		{"homes", "homes after the loss of a data centre", slopes.Homes},
		{"cells", "decisions of one cell", slopes.Cells},
		{"idle", "bytes, messages, processor time and memory without callers", slopes.Idle},
	} {
		root.Subcommands = append(root.Subcommands, &ffcli.Command{
			Name: s.name, ShortUsage: "slopes " + s.name, ShortHelp: s.help,
			Exec: func(ctx context.Context, _ []string) error { return s.run(ctx, w) },
		})
	}
	return root
}
