// Command comfreynotch is the operators' command line.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
)

const (
	exitFailure = 1
	exitMisuse  = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	fs := flag.NewFlagSet("comfreynotch", flag.ContinueOnError)
	address := fs.String("address", "http://127.0.0.1:7803", "address of a daemon's operators' listener")
	client := func() operatorspb.Operators {
		return operatorspb.NewOperatorsProtobufClient(*address, http.DefaultClient)
	}
	root := &ffcli.Command{
		Name:       "comfreynotch",
		ShortUsage: "comfreynotch [-address URL] SUBCOMMAND",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			{
				Name: "status", ShortHelp: "show what a daemon sees of its cell",
				Exec: func(ctx context.Context, _ []string) error {
					return show(client().GetStatus(ctx, &operatorspb.GetStatusRequest{}))
				},
			},
			{
				Name: "configuration", ShortHelp: "show the configuration in force",
				Exec: func(ctx context.Context, _ []string) error {
					return show(client().GetConfiguration(ctx, &operatorspb.GetConfigurationRequest{}))
				},
			},
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(context.Background(), args)
	if errors.Is(err, flag.ErrHelp) {
		return exitMisuse
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "comfreynotch:", err)
		return exitFailure
	}
	return 0
}

func show[M any](answer M, err error) error {
	if err != nil {
		return err
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(answer)
}
