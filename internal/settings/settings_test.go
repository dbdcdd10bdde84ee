package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

var update = flag.Bool("update", false, "rewrite docs/settings.schema.json")

const validSettings = `{
  "vm": "vm-1", "data_centre": "padana-a", "cell": "padana-a",
  "listen": {"callers": "127.0.0.1:1", "targets": "127.0.0.1:2", "inner": "127.0.0.1:3",
             "operators": "127.0.0.1:4", "metrics": "127.0.0.1:5"},
  "registry": {"data_folder": "data"},
  "operators": {"auth": "off on loopback"}
}`

// TestGoodSettings checks that absent fields get their documented defaults.
func TestGoodSettings(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(validSettings))
	is.NoErr(err)
	is.Equal(s.LogLevel, "info")
	is.Equal(s.Advertise, "127.0.0.1:3")
	is.NoErr(Default().Check())
}

// TestBadSettingsNameTheField checks that the error for invalid settings is one
// line that names the field and what it allows.
func TestBadSettingsNameTheField(t *testing.T) {
	cases := []struct{ name, old, new, field, allowed string }{
		{"not JSON", validSettings, `{"vm"`, "settings", "want one JSON object"},
		{"no object", validSettings, `[]`, "settings", "want an object, not a list"},
		{"unknown field", `"vm"`, `"vn": "x", "vm"`, "field vn", "allowed here: vm, data_centre"},
		{"unknown inner field", `"callers"`, `"caller": "x", "callers"`, "field listen.caller", "allowed here: callers"},
		{"wrong type", `"vm-1"`, `7`, "field vm", "want a string, not a number"},
		{"wrong inner type", `"127.0.0.1:3"`, `null`, "field listen.inner", "want a string, not null"},
		{"missing field", `"vm": "vm-1",`, ``, "field vm", "want 1 to 63 letters"},
		{"bad name", `"vm-1"`, `"vm 1"`, "field vm", "want 1 to 63 letters"},
		{"bad address", `"127.0.0.1:3"`, `"localhost:3"`, "field listen.inner", "want IP:port"},
		{"bad port", `"127.0.0.1:3"`, `"127.0.0.1:65536"`, "field listen.inner", "want IP:port"},
		{"clash", `"127.0.0.1:3"`, `"127.0.0.1:2"`, "field listen.inner", "already that of listen.targets"},
		{"log level", `"vm"`, `"log_level": "loud", "vm"`, "field log_level", "want one of debug, info, warn, error"},
		{"list item", `"vm"`, `"seeds": ["x"], "vm"`, "field seeds[0]", "want IP:port"},
		{"list item type", `"vm"`, `"seeds": [1], "vm"`, "field seeds[0]", "want a string, not a number"},
		{"auth off", `"127.0.0.1:4"`, `"10.0.0.1:4"`, "field operators.auth", "not loopback"},
		{"auth without token", `"off on loopback"`, `"token"`, "field operators.auth", "token_hash_file"},
		{"auth without files", `"off on loopback"`, `"certificate"`, "field operators.auth", "operators_tls"},
		{"half TLS", `"vm"`, `"inner_tls": {"certificate_file": "c"}, "vm"`, "field inner_tls.key_file", "all set or all absent"},
		{"plain text", `"127.0.0.1:3"`, `"10.0.0.1:3"`, "field inner_tls", "plain_text"},
		{"no registry", `"registry": {"data_folder": "data"},`, ``, "field seeds", "at least one registry voter"},
		{
			"VM twice", `"vm"`, `"bootstrap": {"cells": [{"name": "c", "data_centre": "d", "members": [
			{"vm": "v", "inner": "127.0.0.1:1"}, {"vm": "v", "inner": "127.0.0.1:2"}]}]}, "vm"`,
			"field bootstrap.cells[0].members[1].vm", "each VM in one cell",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSettings, c.old))
			_, err := Parse([]byte(strings.Replace(validSettings, c.old, c.new, 1)))
			is.Equal(result.CodeOf(err), result.SettingsInvalid)
			is.True(strings.Contains(err.Error(), c.field))   // names the field
			is.True(strings.Contains(err.Error(), c.allowed)) // and what it allows
			is.True(!strings.Contains(err.Error(), "\n"))     // in one line
		})
	}
}

// TestMissingFile checks that the error names the missing file.
func TestMissingFile(t *testing.T) {
	is := is.New(t)
	_, err := Load(filepath.Join(t.TempDir(), "absent.json"))
	is.Equal(result.CodeOf(err), result.SettingsInvalid)
	is.True(strings.Contains(err.Error(), "absent.json: there is no such file"))
}

// TestSchemaIsCurrent checks that the committed JSON Schema matches the types.
func TestSchemaIsCurrent(t *testing.T) {
	is := is.New(t)
	path := filepath.Join("..", "..", "docs", "settings.schema.json")
	want, err := Schema()
	is.NoErr(err)
	if *update {
		is.NoErr(os.WriteFile(path, want, 0o644))
	}
	got, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(string(got), string(want)) // if it differs, run go test ./internal/settings -update
}

// TestExamplesAreValid checks that the settings of every example are valid.
func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", "*.json"))
	is.NoErr(err)
	is.True(len(paths) >= 4) // the single VM, and one VM in each of three data centres
	for _, path := range paths {
		_, err := Load(path)
		is.NoErr(err)
	}
}
