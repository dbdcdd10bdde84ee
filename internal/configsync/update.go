// Package configsync distributes the accepted configuration from the registry to
// every daemon through a tree of long polls: each daemon polls a member of its
// cell or a registry voter for versions newer than its own, and answers the same
// request from others. Decisions: update.go, history.go, sources.go. Tasks:
// task.go owns this daemon's copy, task_poll.go polls others.
package configsync

import (
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// AcceptedCommand is one accepted command in its stored form.
type AcceptedCommand struct {
	Version core.Version // of the configuration after the command
	Command []byte
}

// Update is a newer state, or a newer proof that the state is the newest.
type Update struct {
	State       *config.State
	Commands    []AcceptedCommand // that led to State; none if State was received as a snapshot
	ConfirmedAt time.Time         // when State was the registry's newest; zero if not proved
	Confirmed   bool              // State was confirmed by the registry or by a majority of the cell
}

// Request asks for what is newer than Version.
type Request struct {
	Version core.Version
	Hold    time.Duration // how long the answer may wait for a newer version
	// AnswerTimeout is the time after Hold within which the answer must begin. It isn't
	// sent to the source.
	AnswerTimeout time.Duration
}

// Answer is the answer to a Request: nothing, Commands or a Snapshot.
type Answer struct {
	Version  core.Version
	Commands []AcceptedCommand
	Snapshot []byte        // an encoded state
	Age      time.Duration // of the proof
	Proved   bool          // Version is proved to have been the registry's newest, Age ago
	Held     time.Duration // how long the answer waited for something newer
}

// size returns the number of bytes of configuration in the answer.
func (a Answer) size() int { return len(a.Snapshot) + sizeOf(a.Commands) }

func sizeOf(commands []AcceptedCommand) int {
	n := 0
	for _, c := range commands {
		n += len(c.Command)
	}
	return n
}

// Codec encodes and decodes commands and states.
type Codec interface {
	EncodeCommand(config.Command) ([]byte, error)
	DecodeCommand([]byte) (config.Command, error)
	EncodeState(*config.State) ([]byte, error)
	DecodeState([]byte) (*config.State, error)
}

// Merge returns the state that results from applying an answer to s, which is
// not modified. If the answer is not newer than s, Merge returns s, so that the
// version never decreases.
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
		version, err := draft.Apply(command)
		if err != nil {
			return s, fmt.Errorf("command of version %d: %w", c.Version, err)
		}
		if version != c.Version {
			return s, fmt.Errorf("command of version %d resulted in version %d", c.Version, version)
		}
	}
	if draft.Version() != a.Version {
		return s, fmt.Errorf("commands end at version %d, but the answer is for version %d", draft.Version(), a.Version)
	}
	return draft.State(), nil
}
