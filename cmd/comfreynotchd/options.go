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
	platform bool // the platform provides the settings and the role
}

const usage = `comfreynotchd runs one daemon of a comfreynotch system.

  comfreynotchd                                  a single daemon on loopback with all roles
  comfreynotchd -settings FILE                   one daemon with the settings in FILE
  comfreynotchd -settings FILE -check            check the settings and exit
  comfreynotchd -platform                        a control or entry VM, with the platform's settings

In descending order of precedence, a value comes from a flag, its environment
variable, the settings file or the default. The variable of a flag such as
-log-level is COMFREYNOTCHD_LOG_LEVEL.

`

// override is a settings field that a flag or an environment variable
// overrides.
type override struct {
	name, doc string
	field     func(*settings.Settings) *string
}

var overrides = []override{
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
	{"data-folder", "folder for a registry voter's log and snapshots", dataFolder},
}

func dataFolder(s *settings.Settings) *string {
	if s.Registry == nil {
		s.Registry = &settings.Registry{}
	}
	return &s.Registry.DataFolder
}

// parseOptions reads the settings file and overrides its fields from flags and
// the environment.
func parseOptions(args []string, stderr io.Writer) (*options, error) {
	fs := flag.NewFlagSet("comfreynotchd", flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	path := fs.String("settings", "", "JSON settings file; without one, a single daemon on loopback")
	check := fs.Bool("check", false, "check the settings and exit")
	onPlatform := fs.Bool("platform", false, "take the settings and the role from the platform")
	for _, r := range overrides {
		fs.String(r.name, "", r.doc+"; overrides the settings file")
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
	for _, r := range overrides {
		if value, ok := given[r.name]; ok {
			*r.field(s) = value
		}
	}
	return &options{settings: s, check: *check}, nil
}
