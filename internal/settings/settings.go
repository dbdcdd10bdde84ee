// Package settings reads and checks the static settings of one daemon: a JSON
// file that a restart is needed to change. What operators change while the
// system runs is in package config.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Settings are the static settings of one daemon.
type Settings struct {
	VM         string    `json:"vm"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region,omitempty"`
	Cell       string    `json:"cell"`
	Listen     Listen    `json:"listen"`
	Advertise  string    `json:"advertise,omitempty"` // host:port by which peers reach the inner listener; default: listen.inner
	Registry   *Registry `json:"registry,omitempty"`  // set on registry voters
	Seeds      []string  `json:"seeds,omitempty"`     // inner addresses of registry voters
	LogLevel   string    `json:"log_level,omitempty"` // debug, info, warn, error; default info
	Bootstrap  Bootstrap `json:"bootstrap,omitzero"`
}

// Listen holds the listeners' addresses, host:port.
type Listen struct {
	Callers   string `json:"callers"`
	Targets   string `json:"targets"`
	Inner     string `json:"inner"`
	Operators string `json:"operators"`
	Metrics   string `json:"metrics"`
}

// Registry holds the settings of a registry voter.
type Registry struct {
	DataFolder string `json:"data_folder"` // holds the log and the snapshots
}

// Bootstrap is the configuration of a registry's first start. It is ignored
// once the registry holds any.
type Bootstrap struct {
	Voters []Peer          `json:"voters,omitempty"`
	Cells  []BootstrapCell `json:"cells,omitempty"`
}

// Peer is one VM and its inner address.
type Peer struct {
	VM    string `json:"vm"`
	Inner string `json:"inner"`
}

// BootstrapCell is one cell of the first configuration.
type BootstrapCell struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	Members    []Peer `json:"members"`
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings file")
	}
	return Parse(data)
}

// Parse reads and checks settings. The error names the field at fault and what
// it allows, in one line.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{LogLevel: "info"}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(s); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings")
	}
	if s.Advertise == "" {
		s.Advertise = s.Listen.Inner
	}
	if err := s.check(); err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "settings")
	}
	return s, nil
}

// Default returns the settings of one daemon with everything in it, on loopback.
func Default() *Settings {
	s := &Settings{
		VM: "vm-1", DataCentre: "local", Cell: "local", LogLevel: "info",
		Listen: Listen{
			Callers: "127.0.0.1:7800", Targets: "127.0.0.1:7801", Inner: "127.0.0.1:7802",
			Operators: "127.0.0.1:7803", Metrics: "127.0.0.1:7804",
		},
		Advertise: "127.0.0.1:7802",
	}
	s.Bootstrap.Cells = []BootstrapCell{{
		Name: "local", DataCentre: "local", Members: []Peer{{VM: "vm-1", Inner: "127.0.0.1:7802"}},
	}}
	return s
}

var logLevels = []string{"debug", "info", "warn", "error"}

func (s *Settings) check() error {
	required := []struct{ field, value string }{
		{"vm", s.VM}, {"data_centre", s.DataCentre}, {"cell", s.Cell},
	}
	for _, r := range required {
		if r.value == "" {
			return fmt.Errorf("field %s: want a name that is not empty", r.field)
		}
	}
	if !slices.Contains(logLevels, s.LogLevel) {
		return fmt.Errorf("field log_level: want one of %v, not %q", logLevels, s.LogLevel)
	}
	return s.checkAddresses()
}

func (s *Settings) checkAddresses() error {
	seen := map[string]string{}
	for _, a := range []struct{ field, value string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.targets", s.Listen.Targets},
		{"listen.inner", s.Listen.Inner},
		{"listen.operators", s.Listen.Operators},
		{"listen.metrics", s.Listen.Metrics},
	} {
		_, port, err := net.SplitHostPort(a.value)
		if err != nil {
			return fmt.Errorf("field %s: want host:port, not %q", a.field, a.value)
		}
		if other, ok := seen[a.value]; ok && port != "0" {
			return fmt.Errorf("field %s: address %s is already that of %s", a.field, a.value, other)
		}
		seen[a.value] = a.field
	}
	return nil
}
