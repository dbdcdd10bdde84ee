package cli

import (
	"context"
	"flag"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
)

func (a *app) dataCentreCommands() *ffcli.Command {
	dc := &operatorspb.DataCentre{Status: "in"}
	return a.group("data-centre", "data centres and their status",
		a.command(command{
			name: "add", arguments: "NAME", short: "add a data centre that accepts requests", argCount: 1, changes: true,
			flags: func(fs *flag.FlagSet) { fs.StringVar(&dc.Region, "region", "", "its region") },
			exec: func(ctx context.Context, args []string) error {
				dc.Name = args[0]
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.PutDataCentre(ctx, &operatorspb.PutDataCentreRequest{Change: c, DataCentre: dc})
				})
			},
		}),
		a.statusChange("take-out", "out", "stop new requests to it within seconds; its shards move to other data centres"),
		a.statusChange("leave", "leaving", "drain it: transfer its shards to other data centres, then take it out"),
		a.statusChange("bring-back", "in", "let it accept requests again"),
		a.statusChange("state-dead", "dead", "declare it dead, so that its leases count as expired; safe only if it is certainly dead"),
		a.list("list data centres", "DATA-CENTRE REGION STATUS", func(c *operatorspb.Configuration) [][]any {
			var rows [][]any
			for _, dc := range c.GetDataCentres() {
				rows = append(rows, []any{dc.GetName(), dc.GetRegion(), dc.GetStatus()})
			}
			return rows
		}),
	)
}

func (a *app) statusChange(name, status, short string) *ffcli.Command {
	return a.command(command{
		name: name, arguments: "NAME", short: short, argCount: 1, changes: true,
		help: "EXAMPLE\n  comfreynotch data-centre " + name + " padana-b",
		exec: func(ctx context.Context, args []string) error {
			return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
				return ops.SetDataCentreStatus(ctx, &operatorspb.SetDataCentreStatusRequest{Change: c, Name: args[0], Status: status})
			})
		},
	})
}

func (a *app) cellCommands() *ffcli.Command {
	var dataCentre string
	return a.group("cell", "cells and their members",
		a.command(command{
			name: "put", arguments: "NAME VM=IP:PORT...", short: "add a cell or replace its members", argCount: -1, changes: true,
			help:  "EXAMPLE\n  comfreynotch cell put -data-centre padana-a padana-a vm-1=10.0.0.1:7802 vm-2=10.0.0.2:7802",
			flags: func(fs *flag.FlagSet) { fs.StringVar(&dataCentre, "data-centre", "", "its data centre") },
			exec:  func(ctx context.Context, args []string) error { return a.putCell(ctx, dataCentre, args) },
		}),
		a.list("list cells", "CELL DATA-CENTRE EPOCH MEMBERS", func(c *operatorspb.Configuration) [][]any {
			var rows [][]any
			for _, cell := range c.GetCells() {
				var members []string
				for _, m := range cell.GetMembers() {
					members = append(members, vmText(m))
				}
				rows = append(rows, []any{cell.GetName(), cell.GetDataCentre(), cell.GetEpoch(), strings.Join(members, " ")})
			}
			return rows
		}),
	)
}

func (a *app) putCell(ctx context.Context, dataCentre string, args []string) error {
	if len(args) < 2 {
		return misuse("put: want NAME and at least one VM=IP:PORT")
	}
	cell := &operatorspb.Cell{Name: args[0], DataCentre: dataCentre}
	for _, text := range args[1:] {
		vm, err := vmArgument(text)
		if err != nil {
			return err
		}
		cell.Members = append(cell.Members, vm)
	}
	return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
		return ops.PutCell(ctx, &operatorspb.PutCellRequest{Change: c, Cell: cell})
	})
}

func (a *app) registryCommands() *ffcli.Command {
	return a.group("registry", "members of the registry",
		a.command(command{
			name: "add", arguments: "VM=IP:PORT", short: "add a member, which votes once it has caught up", argCount: 1, changes: true,
			exec: func(ctx context.Context, args []string) error {
				vm, err := vmArgument(args[0])
				if err != nil {
					return err
				}
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.AddVoter(ctx, &operatorspb.AddVoterRequest{Change: c, Vm: vm})
				})
			},
		}),
		a.command(command{
			name: "replace", arguments: "OLD-VM NEW-VM=IP:PORT", short: "add a member, then remove the old one", argCount: 2, changes: true,
			exec: func(ctx context.Context, args []string) error {
				vm, err := vmArgument(args[1])
				if err != nil {
					return err
				}
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.ReplaceVoter(ctx, &operatorspb.ReplaceVoterRequest{Change: c, Old: args[0], Vm: vm})
				})
			},
		}),
		a.command(command{
			name: "remove", arguments: "VM", short: "remove a member", argCount: 1, changes: true,
			exec: func(ctx context.Context, args []string) error {
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.RemoveVoter(ctx, &operatorspb.RemoveVoterRequest{Change: c, Name: args[0]})
				})
			},
		}),
	)
}
