// Package configsync spreads the accepted configuration from the registry to
// every daemon, as a tree of long polls: a daemon asks a member of its cell or
// a registry voter for what is newer than its version, and answers others the
// same question. Decisions: update.go, history.go, sources.go. Tasks: task.go
// owns this daemon's copy, task_poll.go asks others.
package configsync

import (
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Accepted is one accepted command in its stored form.
type Accepted struct {
	Version core.Version // in force after it
	Command []byte
}

// Update is a newer state, or a newer proof that the state is the newest.
type Update struct {
	State       *config.State
	Commands    []Accepted // lead to State from the version before them; none: State came whole
	ConfirmedAt time.Time  // State was the registry's newest at this time; zero: not proved
	Confirmed   bool       // the registry or a majority of the cell stands behind State
}

// Question asks a daemon for what is newer than Version.
type Question struct {
	Version core.Version
	Hold    time.Duration // how long the answer may wait for a newer version
}

// Answer is the answer to a Question: nothing, Commands or a Snapshot.
type Answer struct {
	Version  core.Version
	Commands []Accepted
	Snapshot []byte        // a whole state in its stored form
	Age      time.Duration // since Version was proved to be the registry's newest
	Proved   bool          // Age is known
	Held     time.Duration // how long the answer waited for something newer
}

// Codec turns commands and states into their stored form and back.
type Codec interface {
	EncodeCommand(config.Command) ([]byte, error)
	DecodeCommand([]byte) (config.Command, error)
	EncodeState(*config.State) ([]byte, error)
	DecodeState([]byte) (*config.State, error)
}

// Merge returns the state that an answer makes of s, which stays as it is. An
// answer that is not newer returns s: a state never goes back.
func Merge(s *config.State, a Answer, codec Codec) (*config.State, error) {
	switch {
	case a.Version <= s.Version:
		return s, nil
	case len(a.Snapshot) > 0:
		next, err := codec.DecodeState(a.Snapshot)
		if err == nil && next.Version != a.Version {
			err = fmt.Errorf("snapshot of version %d in an answer of version %d", next.Version, a.Version)
		}
		if err != nil {
			return s, err
		}
		return next, nil
	}
	draft := s.Draft()
	for _, c := range a.Commands {
		if c.Version <= draft.Version() {
			continue
		}
		command, err := codec.DecodeCommand(c.Command)
		if err != nil {
			return s, err
		}
		v, err := draft.Apply(command)
		if err != nil {
			return s, fmt.Errorf("command of version %d: %w", c.Version, err)
		}
		if v != c.Version {
			return s, fmt.Errorf("command of version %d made version %d", c.Version, v)
		}
	}
	if draft.Version() != a.Version {
		return s, fmt.Errorf("commands end at version %d, the answer says %d", draft.Version(), a.Version)
	}
	return draft.State(), nil
}
