package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/internal/daemon"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

const token = "operators-token"

// commandRunner runs commands against the daemon at address.
type commandRunner struct {
	address string
	token   string
}

// startDaemon runs a daemon that requires a token, until the test ends.
func startDaemon(t *testing.T) commandRunner {
	t.Helper()
	return startDaemonWith(t, func(*settings.Settings) {})
}

// startDaemonWith is startDaemon with settings modified by change.
func startDaemonWith(t *testing.T, change func(*settings.Settings)) commandRunner {
	t.Helper()
	s := settings.Default()
	anyPort := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Targets: anyPort, Inner: anyPort, Operators: anyPort, Metrics: anyPort}
	s.Operators = settings.Operators{Auth: settings.AuthToken, TokenHashes: []string{operators.HashToken(token).String()}}
	change(s)
	d, err := daemon.New(s, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return commandRunner{address: "http://" + d.OperatorsAddress(), token: token}
}

func (c commandRunner) run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = Run(context.Background(), append([]string{"-address", c.address}, args...), Env{
		Stdout: &out, Stderr: &err, Now: time.Now, Token: c.token,
	})
	return code, out.String(), err.String()
}

// mustRun runs a command that must succeed and returns its standard output.
func (c commandRunner) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	code, stdout, stderr := c.run(args...)
	if code != 0 {
		t.Fatalf("%v: exit code %d: %s", args, code, stderr)
	}
	return stdout
}

// TestCommandsOperateADaemon checks that the commands set up a service and its
// callers, revoke a caller key and change a data centre's status, and that the
// timeline shows these events with their causes.
func TestCommandsOperateADaemon(t *testing.T) {
	is := is.New(t)
	c := startDaemon(t)
	folder := t.TempDir()
	secret := filepath.Join(folder, "lab.secret")
	c.mustRun(t, "workspace", "put", "-rate", "200", "-burst", "400", "lab")
	c.mustRun(t, "key", "create", "-workspace", "lab", "-secret-file", secret, "lab-1")
	c.mustRun(t, "service", "put", "-shards", "16", "-checks-fence", "archivio")
	is.True(strings.Contains(c.mustRun(t, "workspace", "list"), "lab        200     400"))
	is.True(strings.Contains(c.mustRun(t, "key", "list"), "lab-1  lab"))
	is.True(strings.Contains(c.mustRun(t, "service", "list"), "archivio  true   16"))
	stored, err := os.ReadFile(secret)
	is.NoErr(err)
	is.Equal(len(strings.TrimSpace(string(stored))), 26)

	c.mustRun(t, "target", "drain", "t1")
	c.mustRun(t, "target", "undrain", "t1")
	c.mustRun(t, "key", "withdraw", "lab-1")
	c.mustRun(t, "data-centre", "take-out", "local")
	is.True(strings.Contains(c.mustRun(t, "status"), "WRONG: data centre local is out"))
	c.mustRun(t, "data-centre", "bring-back", "local")
	is.True(!strings.Contains(c.mustRun(t, "status"), "local is out"))
	events := c.mustRun(t, "timeline", "-since", "1h")
	for _, want := range []string{"caller key withdrawn", "caller key lab-1", "out, was in", "in, was out", "version "} {
		is.True(strings.Contains(events, want))
	}
	is.True(strings.Contains(c.mustRun(t, "explain", "-service", "archivio", "batch-7"), "hashes to shard"))
	page := filepath.Join(folder, "timeline.html")
	c.mustRun(t, "timeline", "-html", page)
	html, err := os.ReadFile(page)
	is.NoErr(err)
	is.True(strings.Contains(string(html), "<svg") && strings.Contains(string(html), "out, was in"))
	var status struct{ Vm string }
	is.NoErr(json.Unmarshal([]byte(c.mustRun(t, "status", "-json")), &status))
	is.Equal(status.Vm, "vm-1")
}

// TestExitCodes checks the exit code and the message of each kind of failure.
func TestExitCodes(t *testing.T) {
	c := startDaemon(t)
	badToken := c
	badToken.token = "another"
	noDaemon := commandRunner{address: "http://127.0.0.1:1"}
	cases := []struct {
		name   string
		who    commandRunner
		args   []string
		code   int
		stderr string
	}{
		{"unknown subcommand", c, []string{"stat"}, result.ExitMisuse, `no subcommand "stat"`},
		{"unknown flag", c, []string{"status", "-x"}, result.ExitMisuse, "not defined"},
		{"argument missing", c, []string{"explain", "-service", "archivio"}, result.ExitMisuse, `want "KEY"`},
		{"bad time", c, []string{"timeline", "-since", "noon"}, result.ExitMisuse, "-since"},
		{"out of range", c, []string{"workspace", "put", "-rate", "-1", "lab"}, result.ExitNotRun, "field workspace.rate"},
		{"old version", c, []string{"workspace", "put", "-expect", "99", "lab"}, result.ExitNotRun, "version_conflict"},
		{"not found", c, []string{"key", "withdraw", "k"}, result.ExitNotRun, "not_found"},
		{"refused membership change", c, []string{"registry", "remove", "vm-1"}, result.ExitNotRun, ""},
		{"wrong token", badToken, []string{"status"}, result.ExitNotRun, "unauthenticated"},
		{"no daemon", noDaemon, []string{"workspace", "put", "lab"}, result.ExitNoAnswer, "send it again with -request-id"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			code, _, stderr := tc.who.run(tc.args...)
			is.Equal(code, tc.code)
			is.True(strings.Contains(stderr, tc.stderr))
		})
	}
}

// TestCallFailsOverToNextAddress checks that a command succeeds if the first of its
// addresses is unreachable.
func TestCallFailsOverToNextAddress(t *testing.T) {
	c := startDaemon(t)
	c.address = "http://127.0.0.1:1," + c.address
	c.mustRun(t, "workspace", "put", "-rate", "1", "lab")
}

// TestRetriedChangeIsAppliedOnce checks that a change which is sent again with
// the same request ID is not applied twice.
func TestRetriedChangeIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	c := startDaemon(t)
	first := c.mustRun(t, "workspace", "put", "-request-id", "r1", "-rate", "1", "lab")
	is.Equal(c.mustRun(t, "workspace", "put", "-request-id", "r1", "-rate", "1", "lab"), first)
}

// TestNoFlagTakesASecret checks that no flag takes a secret as its value, and
// that each flag and subcommand has a help text.
func TestNoFlagTakesASecret(t *testing.T) {
	a := &app{env: Env{Stderr: &bytes.Buffer{}}, out: &output{}}
	var walk func(c *ffcli.Command)
	walk = func(c *ffcli.Command) {
		c.FlagSet.VisitAll(func(f *flag.Flag) {
			if name := f.Name; (strings.Contains(name, "secret") || strings.Contains(name, "token")) && !strings.HasSuffix(name, "-file") {
				t.Errorf("%s: flag -%s", c.Name, name)
			}
			if f.Usage == "" {
				t.Errorf("%s: flag -%s has no help", c.Name, f.Name)
			}
		})
		if c.ShortHelp == "" && c.LongHelp == "" {
			t.Errorf("%s has no help", c.Name)
		}
		for _, s := range c.Subcommands {
			walk(s)
		}
	}
	walk(a.root())
}
