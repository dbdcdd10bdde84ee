package configsync

import "github.com/comfreynotch/comfreynotch/internal/core"

// maxHistory is the number of newest commands that are kept to answer requests
// with commands instead of a snapshot.
const maxHistory = 1024

// history holds the newest commands, without gaps, up to the version in force.
type history struct{ commands []AcceptedCommand }

// add appends the commands that led to version. If they don't directly follow
// the commands in the history, those are dropped; if they don't end at version,
// the history becomes empty.
func (h *history) add(version core.Version, commands []AcceptedCommand) {
	if len(commands) == 0 || commands[len(commands)-1].Version != version {
		h.commands = nil
		return
	}
	if n := len(h.commands); n > 0 && h.commands[n-1].Version+1 != commands[0].Version {
		h.commands = nil
	}
	h.commands = append(h.commands, commands...)
	if excess := len(h.commands) - maxHistory; excess > 0 {
		h.commands = append([]AcceptedCommand(nil), h.commands[excess:]...)
	}
}

// bytesSince returns the size of the commands after version. It is only valid if since
// has them.
func (h *history) bytesSince(version core.Version) int {
	commands, _ := h.since(version)
	return sizeOf(commands)
}

// since returns the commands after version, or false if some of them are no
// longer in the history.
func (h *history) since(version core.Version) ([]AcceptedCommand, bool) {
	if len(h.commands) == 0 || h.commands[0].Version > version+1 {
		return nil, false
	}
	return h.commands[version+1-h.commands[0].Version:], true
}
