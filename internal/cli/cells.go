package cli

import (
	"context"
	"flag"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
)

func (a *app) targetCommands() *ffcli.Command {
	r := &operatorspb.ListTargetsRequest{}
	return a.group("target", "targets of a cell",
		a.command(command{
			name: "list", short: "list the targets of a cell",
			flags: func(fs *flag.FlagSet) {
				fs.StringVar(&r.Service, "service", "", "list only the targets of this service")
				fs.StringVar(&r.Cell, "cell", "", "cell (default: that of the daemon that answers)")
			},
			exec: func(ctx context.Context, _ []string) error {
				targets, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.Targets, error) {
					return ops.ListTargets(ctx, r)
				})
				if err != nil {
					return err
				}
				return a.show(targets, func(o *output) { targetTable(o, targets.GetTargets()) })
			},
		}),
		a.drainCommand("drain", "stop new requests to a target; it completes those in flight", false),
		a.drainCommand("undrain", "send requests to a drained target again", true),
	)
}

func targetTable(o *output, targets []*operatorspb.TargetStatus) {
	var rows [][]any
	for _, t := range targets {
		state := "in"
		if t.GetLeaving() {
			state = "leaving"
		}
		rows = append(rows, []any{t.GetId(), t.GetService(), t.GetAddress(), t.GetDispatcher(), t.GetShards(), t.GetSlots(), state})
	}
	o.table("TARGET SERVICE ADDRESS DISPATCHER SHARDS SLOTS STATE", rows)
}

func (a *app) drainCommand(name, short string, undo bool) *ffcli.Command {
	return a.command(command{
		name: name, arguments: "TARGET", short: short, argCount: 1, changes: true,
		exec: func(ctx context.Context, args []string) error {
			return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
				return ops.DrainTarget(ctx, &operatorspb.DrainTargetRequest{Change: c, Target: args[0], Undo: undo})
			})
		},
	})
}

func (a *app) hotKeyCommands() *ffcli.Command {
	r := &operatorspb.PinKeyRequest{}
	service := func(fs *flag.FlagSet) { fs.StringVar(&r.Service, "service", "", "service of the key") }
	sendPin := func(ctx context.Context) error {
		return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
			r.Change = c
			return ops.PinKey(ctx, r)
		})
	}
	return a.group("hot-key", "keys with high request rates",
		a.command(command{
			name: "list", short: "list a service's hottest keys", flags: service,
			exec: func(ctx context.Context, _ []string) error { return a.listHotKeys(ctx, r.GetService()) },
		}),
		a.command(command{
			name: "pin", arguments: "KEY TARGET", short: "assign a single key to a target", argCount: 2, changes: true, flags: service,
			exec: func(ctx context.Context, args []string) error {
				r.Key, r.Target = args[0], args[1]
				return sendPin(ctx)
			},
		}),
		a.command(command{
			name: "unpin", arguments: "KEY", short: "undo a pin: the key follows its shard again", argCount: 1, changes: true, flags: service,
			exec: func(ctx context.Context, args []string) error {
				r.Key, r.Undo = args[0], true
				return sendPin(ctx)
			},
		}),
	)
}

func (a *app) listHotKeys(ctx context.Context, service string) error {
	keys, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.HotKeys, error) {
		return ops.ListHotKeys(ctx, &operatorspb.ListHotKeysRequest{Service: service})
	})
	if err != nil {
		return err
	}
	return a.show(keys, func(o *output) {
		var rows [][]any
		for _, k := range keys.GetKeys() {
			rows = append(rows, []any{k.GetKey(), fmt.Sprintf("%.1f", k.GetRate()), k.GetTarget(), k.GetPinned()})
		}
		o.table("KEY RATE/S TARGET PINNED", rows)
	})
}

func (a *app) assignmentCommands() *ffcli.Command {
	r := &operatorspb.AssignRequest{}
	var shard uint
	var cell string
	service := func(fs *flag.FlagSet) { fs.StringVar(&r.Service, "service", "", "keyed service") }
	return a.group("assignment", "owners of shards",
		a.command(command{
			name: "list", short: "list the owners of a cell's shards",
			flags: func(fs *flag.FlagSet) {
				service(fs)
				fs.StringVar(&cell, "cell", "", "cell (default: that of the daemon that answers)")
			},
			exec: func(ctx context.Context, _ []string) error { return a.listAssignments(ctx, r.GetService(), cell) },
		}),
		a.command(command{
			name: "assign", arguments: "TARGET", short: "assign a shard to a target", argCount: 1, changes: true,
			help: "EXAMPLE\n  comfreynotch assignment assign -service archivio -key batch-7 t3",
			flags: func(fs *flag.FlagSet) {
				service(fs)
				fs.StringVar(&r.Key, "key", "", "assign the shard that contains this key")
				fs.UintVar(&shard, "shard", 0, "number of the shard; ignored with -key")
			},
			exec: func(ctx context.Context, args []string) error {
				r.Target, r.Shard = args[0], uint32(min(shard, 1<<32-1))
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					r.Change = c
					return ops.Assign(ctx, r)
				})
			},
		}),
	)
}

func (a *app) listAssignments(ctx context.Context, service, cell string) error {
	answer, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.Assignments, error) {
		return ops.ListAssignments(ctx, &operatorspb.ListAssignmentsRequest{Service: service, Cell: cell})
	})
	if err != nil {
		return err
	}
	return a.show(answer, func(o *output) {
		var rows [][]any
		for _, r := range answer.GetAssignments() {
			rows = append(rows, []any{fmt.Sprintf("%d-%d", r.GetFirstShard(), r.GetLastShard()), r.GetTarget(), r.GetFence(), r.GetHomeCell()})
		}
		o.table("SHARDS TARGET FENCE HOME", rows)
	})
}
