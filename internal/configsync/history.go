package configsync

import "github.com/comfreynotch/comfreynotch/internal/core"

// historyKept is how many of the newest commands are kept for deltas.
const historyKept = 1024

// history holds the newest commands, without gaps, up to the version in force.
type history struct{ commands []Accepted }

// add appends the commands that led to version. If they do not follow what is
// held, older ones are dropped.
func (h *history) add(version core.Version, commands []Accepted) {
	if len(commands) == 0 || commands[len(commands)-1].Version != version {
		h.commands = nil
		return
	}
	if n := len(h.commands); n > 0 && h.commands[n-1].Version+1 != commands[0].Version {
		h.commands = nil
	}
	h.commands = append(h.commands, commands...)
	if drop := len(h.commands) - historyKept; drop > 0 {
		h.commands = append([]Accepted(nil), h.commands[drop:]...)
	}
}

// since returns the commands after a version, false if some are not held.
func (h *history) since(version core.Version) ([]Accepted, bool) {
	if len(h.commands) == 0 || h.commands[0].Version > version+1 {
		return nil, false
	}
	return h.commands[version+1-h.commands[0].Version:], true
}
