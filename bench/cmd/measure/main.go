// Command measure runs one of five measurements with this system and with two
// baselines, prints a table of the results and writes plots.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/bench/measure"
)

const (
	defaultLength      = 10 * time.Second
	defaultRounds      = 2
	defaultUtilisation = 0.3
	defaultVMs         = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command(os.Stdout).ParseAndRun(ctx, os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

type measurement func(ctx context.Context, w io.Writer, c measure.Config) error

func command(w io.Writer) *ffcli.Command {
	root := &ffcli.Command{
		Name: "measure", ShortUsage: "measure <subcommand> [flags]",
		ShortHelp: "Measure the system and baselines under the same load.",
		Exec:      func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, s := range []struct {
		name, help string
		run        measurement
	}{
		{"imbalance", "imbalance, churn and unavailable time", measure.Imbalance},
		{"datacentre", "service while a data centre leaves and returns", measure.DataCentre},
		{"stragglers", "tail latency while some targets are stragglers", measure.Stragglers},
		{"workspaces", "the worst-served workspace beside a greedy one", measure.Workspaces},
		{"refusals", "requests refused inside a workspace's rate", measure.Refusals},
	} {
		root.Subcommands = append(root.Subcommands, subcommand(w, s.name, s.help, s.run))
	}
	return root
}

func subcommand(w io.Writer, name, help string, run measurement) *ffcli.Command {
	var c measure.Config
	flags := flag.NewFlagSet("measure "+name, flag.ContinueOnError)
	flags.StringVar(&c.Deployment, "deployment", "", "vernicert or tlaloc; default: both")
	flags.DurationVar(&c.Length, "length", defaultLength, "length of one run")
	flags.IntVar(&c.Rounds, "rounds", defaultRounds, "runs of each system, interleaved")
	flags.Uint64Var(&c.Seed, "seed", 1, "seed of the first round's plan")
	flags.Float64Var(&c.Utilised, "load", defaultUtilisation, "part of the targets' slots that the load fills")
	flags.StringVar(&c.Plot, "plot", name+".png", "file of the plot, with the deployment's name added; empty: none")
	flags.StringVar(&c.Only, "only", "", "name of one system; default: all")
	flags.IntVar(&c.VMs, "vms", defaultVMs, "entry VMs in each data centre")
	return &ffcli.Command{
		Name: name, ShortUsage: "measure " + name + " [flags]", ShortHelp: help, FlagSet: flags,
		Exec: func(ctx context.Context, _ []string) error { return run(ctx, w, c) },
	}
}
