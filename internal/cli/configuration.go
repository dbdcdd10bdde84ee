package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/operators"
)

func (a *app) configuration(ctx context.Context) (*operatorspb.Configuration, error) {
	return call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.Configuration, error) {
		return ops.GetConfiguration(ctx, &operatorspb.GetConfigurationRequest{})
	})
}

// list makes a subcommand that shows one table of the configuration.
func (a *app) list(short, header string, rows func(*operatorspb.Configuration) [][]any) *ffcli.Command {
	return a.command(command{
		name: "list", short: short,
		exec: func(ctx context.Context, _ []string) error {
			c, err := a.configuration(ctx)
			if err != nil {
				return err
			}
			return a.show(c, func(o *output) {
				o.table(header, rows(c))
				o.printf("version %d is in force\n", c.GetVersion())
			})
		},
	})
}

func (a *app) configurationCommand() *ffcli.Command {
	return a.command(command{
		name: "configuration", short: "show the whole configuration in force, as JSON",
		exec: func(ctx context.Context, _ []string) error {
			c, err := a.configuration(ctx)
			if err != nil {
				return err
			}
			return a.showJSON(c)
		},
	})
}

func (a *app) workspaceCommands() *ffcli.Command {
	w := &operatorspb.Workspace{}
	return a.group("workspace", "workspaces and their rates",
		a.command(command{
			name: "put", arguments: "NAME", short: "add a workspace or replace its rate", want: 1, changes: true,
			help: "EXAMPLE\n  comfreynotch workspace put -rate 200 -burst 400 lab",
			flags: func(fs *flag.FlagSet) {
				fs.Float64Var(&w.Rate, "rate", 0, "requests a second, over all VMs together")
				fs.Float64Var(&w.Burst, "burst", 0, "requests above the rate at once")
			},
			exec: func(ctx context.Context, args []string) error {
				w.Name = args[0]
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{Change: c, Workspace: w})
				})
			},
		}),
		a.command(command{
			name: "delete", arguments: "NAME", short: "delete a workspace and withdraw its caller keys", want: 1, changes: true,
			exec: func(ctx context.Context, args []string) error {
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.DeleteWorkspace(ctx, &operatorspb.DeleteWorkspaceRequest{Change: c, Name: args[0]})
				})
			},
		}),
		a.list("list workspaces", "WORKSPACE RATE/S BURST", func(c *operatorspb.Configuration) [][]any {
			var rows [][]any
			for _, w := range c.GetWorkspaces() {
				rows = append(rows, []any{w.GetName(), w.GetRate(), w.GetBurst()})
			}
			return rows
		}),
	)
}

func (a *app) keyCommands() *ffcli.Command {
	var workspace, secretFile string
	return a.group("key", "callers' keys",
		a.command(command{
			name: "create", arguments: "ID", short: "grant a caller key; its secret is made here and shown once", want: 1, changes: true,
			help: "EXAMPLE\n  comfreynotch key create -workspace lab -secret-file lab.secret lab-1",
			flags: func(fs *flag.FlagSet) {
				fs.StringVar(&workspace, "workspace", "", "workspace that the key acts for")
				fs.StringVar(&secretFile, "secret-file", "", "new file for the secret, or one with a secret to grant; without it, it is shown")
			},
			exec: func(ctx context.Context, args []string) error {
				return a.createKey(ctx, args[0], workspace, secretFile)
			},
		}),
		a.command(command{
			name: "withdraw", arguments: "ID", short: "withdraw a caller key", want: 1, changes: true,
			exec: func(ctx context.Context, args []string) error {
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.WithdrawCallerKey(ctx, &operatorspb.WithdrawCallerKeyRequest{Change: c, Id: args[0]})
				})
			},
		}),
		a.command(command{
			name: "list", short: "list caller keys, without their secrets",
			flags: func(fs *flag.FlagSet) { fs.StringVar(&workspace, "workspace", "", "only this workspace's") },
			exec: func(ctx context.Context, _ []string) error {
				keys, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.CallerKeys, error) {
					return ops.ListCallerKeys(ctx, &operatorspb.ListCallerKeysRequest{Workspace: workspace})
				})
				if err != nil {
					return err
				}
				return a.show(keys, func(o *output) {
					var rows [][]any
					for _, k := range keys.GetCallerKeys() {
						rows = append(rows, []any{k.GetId(), k.GetWorkspace()})
					}
					o.table("KEY WORKSPACE", rows)
				})
			},
		}),
	)
}

const secretFileMode = 0o600

// createKey grants a key. The secret is in its file before the key is granted,
// so that neither a lost answer nor a lost terminal loses it.
func (a *app) createKey(ctx context.Context, id, workspace, secretFile string) error {
	secret, shown, err := callerSecret(secretFile)
	if err != nil {
		return err
	}
	hash := sha256.Sum256([]byte(secret))
	if shown {
		a.out.printf("secret of caller key %s, shown this once: %s\n", id, secret)
	}
	return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
		return ops.CreateCallerKey(ctx, &operatorspb.CreateCallerKeyRequest{
			Change: c, Id: id, Workspace: workspace, SecretSha256: hash[:],
		})
	})
}

// callerSecret reads the secret from file, or makes one and writes it there. It
// is to be shown if there is no file.
func callerSecret(file string) (secret string, shown bool, err error) {
	if file == "" {
		return rand.Text(), true, nil
	}
	if data, err := os.ReadFile(file); err == nil {
		secret = strings.TrimSpace(string(data))
		if secret == "" {
			return "", false, misuse("-secret-file: want a secret in %s", file)
		}
		return secret, false, nil
	}
	secret = rand.Text()
	if err := os.WriteFile(file, []byte(secret+"\n"), secretFileMode); err != nil {
		return "", false, misuse("-secret-file: %s", err)
	}
	return secret, false, nil
}

func (a *app) serviceCommands() *ffcli.Command {
	return a.group("service", "services and their properties",
		a.putServiceCommand(),
		a.command(command{
			name: "delete", arguments: "NAME", short: "delete a service", want: 1, changes: true,
			exec: func(ctx context.Context, args []string) error {
				return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
					return ops.DeleteService(ctx, &operatorspb.DeleteServiceRequest{Change: c, Name: args[0]})
				})
			},
		}),
		a.list("list services", "SERVICE KEYED SHARDS CHECKS-FENCE DEADLINE", func(c *operatorspb.Configuration) [][]any {
			var rows [][]any
			for _, s := range c.GetServices() {
				deadline := time.Duration(s.GetDeadlineMs()) * time.Millisecond
				rows = append(rows, []any{s.GetName(), s.GetKeyed(), s.GetShards(), s.GetChecksFence(), deadline})
			}
			return rows
		}),
	)
}

func (a *app) putServiceCommand() *ffcli.Command {
	s := &operatorspb.Service{}
	var shards, queue, group, connections uint
	var deadline, ttl time.Duration
	return a.command(command{
		name: "put", arguments: "NAME", short: "add a service or replace all its properties", want: 1, changes: true,
		help: "EXAMPLES\n  comfreynotch service put -shards 256 -checks-fence archivio\n  comfreynotch service put certdesk",
		flags: func(fs *flag.FlagSet) {
			fs.UintVar(&shards, "shards", 0, "divisions of the key space, 1 to 1048576; 0: an open service without keys")
			fs.StringVar(&s.KeyHeader, "key-header", "", "header field with the key (default: the first path segment after the service)")
			fs.BoolVar(&s.ChecksFence, "checks-fence", false, "its targets refuse orders with an old fence")
			fs.BoolVar(&s.RepeatableGet, "repeatable-get", false, "GET and HEAD may be sent twice")
			fs.DurationVar(&deadline, "deadline", 0, "time for a request (default 10s)")
			fs.Int64Var(&s.MaxBodyBytes, "max-body", 0, "bytes of a request's body (default 1 MiB)")
			fs.Int64Var(&s.MaxHeldBytes, "max-held", 0, "bytes up to which an answer is held until whole (default 1 MiB)")
			fs.UintVar(&queue, "queue-per-slot", 0, "waiting requests for each slot (default 16)")
			fs.DurationVar(&ttl, "idempotency-ttl", 0, "time for which a resend with the same idempotency key is recognized")
			fs.UintVar(&group, "dispatch-group", 0, "targets of a cell that one VM sends to, at most (default: no limit)")
			fs.UintVar(&connections, "connections", 0, "connections to each target over the cell (default: as announced)")
		},
		exec: func(ctx context.Context, args []string) error {
			s.Name, s.Keyed, s.Shards = args[0], shards > 0, uint32(min(shards, 1<<32-1))
			s.DeadlineMs, s.IdempotencyTtlMs = deadline.Milliseconds(), ttl.Milliseconds()
			s.QueuePerSlot, s.DispatchGroup, s.ConnectionsLimit = int32(min(queue, 1<<31-1)), int32(min(group, 1<<31-1)), int32(min(connections, 1<<31-1))
			return a.change(ctx, func(ctx context.Context, ops operatorspb.Operators, c *operatorspb.Change) (*operatorspb.ChangeAnswer, error) {
				return ops.PutService(ctx, &operatorspb.PutServiceRequest{Change: c, Service: s})
			})
		},
	})
}

func (a *app) tokenCommand() *ffcli.Command {
	return a.command(command{
		name: "token", short: "make an operators' token and the hash that daemons' settings hold",
		exec: func(context.Context, []string) error {
			token := rand.Text()
			a.out.printf("token, shown this once: %s\nhash for operators.token_hashes or a line of operators.token_hash_file: %s\n",
				token, operators.HashToken(token))
			return a.out.err
		},
	})
}

// vmArgument reads NAME=IP:PORT.
func vmArgument(text string) (*operatorspb.VM, error) {
	name, address, ok := strings.Cut(text, "=")
	if !ok {
		return nil, misuse("want NAME=IP:PORT of an inner listener, not %q", text)
	}
	return &operatorspb.VM{Name: name, InnerAddress: address}, nil
}

func vmText(vm *operatorspb.VM) string {
	return fmt.Sprintf("%s=%s", vm.GetName(), vm.GetInnerAddress())
}
