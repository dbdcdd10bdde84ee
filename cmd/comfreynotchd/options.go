package main

import (
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"

	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

type options struct {
	settings *settings.Settings
	check    bool
	platform bool // the users' platform gives the settings
}

const usage = `comfreynotchd runs one daemon of the system.

  comfreynotchd                                  a single daemon on loopback with everything in it
  comfreynotchd -settings FILE                   one daemon as its settings say
  comfreynotchd -settings FILE -check            check the settings and exit
  comfreynotchd -platform                        a control or entry VM, as the platform's settings say

A flag goes before its environment variable, that before the settings file, that
before the default. The variable of -log-level is COMFREYNOTCHD_LOG_LEVEL.

`

// replacement is a field of the settings that a flag or variable replaces.
type replacement struct {
	name, doc string
	field     func(*settings.Settings) *string
}

var replacements = []replacement{
	{"vm", "name of this VM", func(s *settings.Settings) *string { return &s.VM }},
	{"data-centre", "data centre of this VM", func(s *settings.Settings) *string { return &s.DataCentre }},
	{"cell", "cell of this VM", func(s *settings.Settings) *string { return &s.Cell }},
	{"log-level", "debug, info, warn or error", func(s *settings.Settings) *string { return &s.LogLevel }},
	{"listen-callers", "IP:port for callers", func(s *settings.Settings) *string { return &s.Listen.Callers }},
	{"listen-targets", "IP:port for targets", func(s *settings.Settings) *string { return &s.Listen.Targets }},
	{"listen-inner", "IP:port for other daemons", func(s *settings.Settings) *string { return &s.Listen.Inner }},
	{"listen-operators", "IP:port for operators", func(s *settings.Settings) *string { return &s.Listen.Operators }},
	{"listen-metrics", "IP:port for metrics and probes", func(s *settings.Settings) *string { return &s.Listen.Metrics }},
	{"advertise", "IP:port by which other daemons reach the inner listener", func(s *settings.Settings) *string { return &s.Advertise }},
	{"operators-token-hash-file", "file with the hashes of operators' tokens", func(s *settings.Settings) *string { return &s.Operators.TokenHashFile }},
	{"data-folder", "folder of a registry voter's log and snapshots", dataFolder},
}

func dataFolder(s *settings.Settings) *string {
	if s.Registry == nil {
		s.Registry = &settings.Registry{}
	}
	return &s.Registry.DataFolder
}

// parseOptions reads the settings file and replaces what flags and the
// environment say.
func parseOptions(args []string, stderr io.Writer) (*options, error) {
	fs := flag.NewFlagSet("comfreynotchd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	path := fs.String("settings", "", "JSON settings file; without one, a single daemon on loopback")
	check := fs.Bool("check", false, "check the settings and exit")
	onPlatform := fs.Bool("platform", false, "take the settings and the role from the platform")
	for _, r := range replacements {
		fs.String(r.name, "", r.doc+"; replaces the settings file's")
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix("COMFREYNOTCHD")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			_, _ = fmt.Fprint(stderr, usage)
			fs.SetOutput(stderr)
			fs.PrintDefaults()
			return nil, flag.ErrHelp
		}
		return nil, result.New(result.CommandLineMisuse, "%s", err)
	}
	if fs.NArg() > 0 {
		return nil, result.New(result.CommandLineMisuse, "want flags only, not %q", fs.Arg(0))
	}
	if *onPlatform {
		return &options{platform: true}, nil
	}
	s := settings.Default()
	if *path != "" {
		read, err := settings.Read(*path)
		if err != nil {
			return nil, err
		}
		s = read
	}
	given := map[string]string{}
	fs.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() })
	for _, r := range replacements {
		if value, ok := given[r.name]; ok {
			*r.field(s) = value
		}
	}
	return &options{settings: s, check: *check}, nil
}
