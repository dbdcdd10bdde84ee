package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const threeDataCentres = "../../examples/three-data-centres/"

// TestBadInputStartsNothing checks that invalid flags, settings or addresses
// cause one line of error output and exit code 2.
func TestBadInputStartsNothing(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	folder := t.TempDir()
	unknown := filepath.Join(folder, "unknown.json")
	if err := os.WriteFile(unknown, []byte(`{"vn": "x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := map[string][]string{
		"settings file absent.json": {"-settings", "absent.json"},
		"field vn: unknown":         {"-settings", unknown},
		"field log_level: want one": {"-log-level", "loud"},
		"field listen.inner: want":  {"-listen-inner", "127.0.0.1:7801"},
		"flag provided but not def": {"-nonsense"},
		"want flags only":           {"status"},
		"address already in use": {
			"-listen-callers", occupied.Addr().String(), "-listen-targets", "127.0.0.1:0", "-listen-inner", "127.0.0.1:0",
			"-listen-operators", "127.0.0.1:0", "-listen-metrics", "127.0.0.1:0",
		},
	}
	for want, args := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(run(t.Context(), args, &stdout, &stderr), exitMisuse)
			is.Equal(strings.Count(stderr.String(), "\n"), 1)
			is.True(strings.Contains(stderr.String(), want))
			is.Equal(stdout.String(), "")
		})
	}
}

// TestCheckStartsNothing checks that -check generates no token and writes no
// file.
func TestCheckStartsNothing(t *testing.T) {
	is := is.New(t)
	settings, err := filepath.Abs(threeDataCentres + "padana-a-1.json")
	is.NoErr(err)
	t.Chdir(t.TempDir())
	var stdout, stderr bytes.Buffer
	is.Equal(run(t.Context(), []string{"-settings", settings, "-check"}, &stdout, &stderr), exitOK)
	is.Equal(stdout.String(), "settings are valid\n")
	entries, err := os.ReadDir(".")
	is.NoErr(err)
	is.Equal(len(entries), 0)
}

// TestPrecedence checks the documented order of precedence: flag, environment
// variable, settings file, default.
func TestPrecedence(t *testing.T) {
	is := is.New(t)
	file := threeDataCentres + "padana-a-1.json"
	t.Setenv("COMFREYNOTCHD_CELL", "from-environment")
	t.Setenv("COMFREYNOTCHD_VM", "from-environment")
	o, err := parseOptions([]string{"-settings", file, "-vm", "from-flag"}, nil)
	is.NoErr(err)
	is.NoErr(o.settings.Check())
	is.Equal(o.settings.VM, "from-flag")
	is.Equal(o.settings.Cell, "from-environment")
	is.Equal(o.settings.DataCentre, "padana-a") // from the file
	is.Equal(o.settings.LogLevel, "info")       // the default
}

// TestFirstStartShowsTheTokenOnce checks that the first start prints a token,
// that later starts print none, and that the token is never logged.
func TestFirstStartShowsTheTokenOnce(t *testing.T) {
	is := is.New(t)
	hashes := filepath.Join(t.TempDir(), "tokens")
	args := []string{"-operators-token-hash-file", hashes, "-data-folder", t.TempDir()}
	for _, l := range []string{"callers", "targets", "inner", "operators", "metrics"} {
		args = append(args, "-listen-"+l, "127.0.0.1:0")
	}
	settings := filepath.Join(t.TempDir(), "settings.json")
	is.NoErr(os.WriteFile(settings, []byte(`{"operators": {"auth": "token"}, "vm": "v", "data_centre": "d", "cell": "c",
		"listen": {"callers": "", "targets": "", "inner": "", "operators": "", "metrics": ""}}`), 0o600))
	args = append(args, "-settings", settings)
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	var first, second, log bytes.Buffer
	is.Equal(run(stopped, args, &first, &log), exitOK)
	token := strings.TrimSpace(strings.TrimPrefix(first.String(), "operators' token, shown this once: "))
	is.Equal(len(token), 26)
	is.Equal(run(stopped, args, &second, &log), exitOK)
	is.Equal(second.String(), "")
	is.True(!strings.Contains(log.String(), token))
}
