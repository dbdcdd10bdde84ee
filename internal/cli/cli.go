// Package cli implements the operators' command line. It turns arguments into
// calls of api/operators.proto and prints the answers as tables or JSON. Each
// file holds the subcommands of one subject; client.go sends the calls and
// output.go prints.
package cli

import (
	"context"
	"errors"
	"flag"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Env is the environment of a command.
type Env struct {
	Stdout, Stderr io.Writer
	Now            func() time.Time
	Token          string // operator token; from the environment, never from an argument
}

const (
	defaultAddress = "http://127.0.0.1:7803"
	defaultTimeout = 10 * time.Second
)

// app holds the environment and the values of the flags that subcommands share.
type app struct {
	env       Env
	out       *output
	addresses string // comma-separated URLs
	tokenFile string
	authority string // PEM file
	cert, key string // PEM files
	json      bool
	timeout   time.Duration
	requestID string
	expected  uint64
}

// Run executes the command line args and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	a := &app{env: env, out: &output{w: env.Stdout}}
	root := a.root()
	err := root.Parse(args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		err = misuse("%s", err)
	}
	if err == nil {
		err = root.Run(ctx)
	}
	if err == nil {
		err = a.out.err
	}
	return a.exit(err)
}

func (a *app) exit(err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err == nil {
		return 0
	}
	stderr := &output{w: a.env.Stderr}
	stderr.printf("comfreynotch: %s\n", err)
	var callErr *operators.CallError
	if errors.As(err, &callErr) {
		return callErr.Code.ExitCode()
	}
	var localErr *result.Error
	if errors.As(err, &localErr) {
		return localErr.Code.ExitCode()
	}
	return result.ExitNoAnswer
}

const rootHelp = `comfreynotch operates a comfreynotch system.

EXAMPLES
  comfreynotch status
  comfreynotch -address http://10.0.0.1:7803,http://10.0.1.1:7803 status
  comfreynotch workspace put -rate 200 -burst 400 lab
  comfreynotch key create -workspace lab -secret-file lab.secret lab-1
  comfreynotch data-centre take-out padana-b
  comfreynotch explain -service archivio batch-7
  comfreynotch timeline -since 10m -html timeline.html

A flag takes precedence over its environment variable, such as
COMFREYNOTCH_ADDRESS for -address. The operator token is read from -token-file
or from COMFREYNOTCH_TOKEN, never from an argument.

EXIT CODES
  0 success   1 no answer: a change may be in force   2 invalid command line
  3 refused, nothing changed   4 unknown whether anything changed`

func (a *app) root() *ffcli.Command {
	fs := flag.NewFlagSet("comfreynotch", flag.ContinueOnError)
	a.commonFlags(fs)
	root := &ffcli.Command{
		Name: "comfreynotch", ShortUsage: "comfreynotch [flags] SUBCOMMAND [flags] [arguments]", LongHelp: rootHelp,
		FlagSet: fs, Options: []ff.Option{ff.WithEnvVarPrefix("COMFREYNOTCH")},
		Subcommands: []*ffcli.Command{
			a.statusCommand(), a.explainCommand(), a.timelineCommand(), a.configurationCommand(),
			a.workspaceCommands(), a.keyCommands(), a.serviceCommands(), a.dataCentreCommands(), a.cellCommands(),
			a.registryCommands(), a.targetCommands(), a.hotKeyCommands(), a.assignmentCommands(), a.tokenCommand(),
		},
	}
	root.Exec = needsSubcommand(root)
	return root
}

func (a *app) commonFlags(fs *flag.FlagSet) {
	fs.SetOutput(a.env.Stderr)
	fs.StringVar(&a.addresses, "address", defaultAddress, "URL of an operators' listener, or several separated by commas")
	fs.StringVar(&a.tokenFile, "token-file", "", "file that contains the operator token")
	fs.StringVar(&a.authority, "authority-file", "", "PEM certificates of the authorities that sign the daemons' certificates")
	fs.StringVar(&a.cert, "certificate-file", "", "PEM certificate of this operator")
	fs.StringVar(&a.key, "key-file", "", "PEM private key of the certificate")
	fs.BoolVar(&a.json, "json", false, "print the answer as JSON")
	fs.DurationVar(&a.timeout, "timeout", defaultTimeout, "time limit of each call")
}

// command describes a subcommand that does something itself, in contrast to a
// group.
type command struct {
	name, arguments, short, help string
	flags                        func(*flag.FlagSet)
	exec                         func(ctx context.Context, args []string) error
	argCount                     int  // number of arguments; negative if exec checks it
	changes                      bool // the subcommand makes a change: it has -request-id and -expect
}

func (a *app) command(c command) *ffcli.Command {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	a.commonFlags(fs)
	if c.changes {
		fs.StringVar(&a.requestID, "request-id", "", "id of this change; use the same id to retry a change safely (default: a new id)")
		fs.Uint64Var(&a.expected, "expect", 0, "refuse the change unless this configuration version is in force; 0: any")
	}
	if c.flags != nil {
		c.flags(fs)
	}
	return &ffcli.Command{
		Name: c.name, ShortUsage: c.name + " [flags] " + c.arguments, ShortHelp: c.short, LongHelp: c.help, FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if c.argCount >= 0 && len(args) != c.argCount {
				return misuse("%s: want %q, got %d arguments (flags go before arguments)", c.name, c.arguments, len(args))
			}
			return c.exec(ctx, args)
		},
	}
}

// group returns a subcommand that only contains other subcommands.
func (a *app) group(name, short string, subcommands ...*ffcli.Command) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(a.env.Stderr)
	g := &ffcli.Command{
		Name: name, ShortUsage: name + " SUBCOMMAND", ShortHelp: short, FlagSet: fs, Subcommands: subcommands,
	}
	g.Exec = needsSubcommand(g)
	return g
}

func needsSubcommand(c *ffcli.Command) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return misuse("%s has no subcommand %q; try %s -h", c.Name, args[0], c.Name)
		}
		return misuse("%s needs a subcommand; try %s -h", c.Name, c.Name)
	}
}

func misuse(format string, args ...any) error {
	return result.New(result.CommandLineMisuse, format, args...)
}
