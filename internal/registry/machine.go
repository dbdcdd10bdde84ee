package registry

import (
	"fmt"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// machine is the replicated state machine. Its state is the configuration after
// all entries up to index were applied. Applying entries is deterministic, so that
// all replicas reach the same state.
type machine struct {
	codec configsync.Codec
	state *config.State
	index raft.Index
}

// outcome is the result of applying one entry.
type outcome struct {
	index   raft.Index
	term    raft.Term
	version core.Version
	err     error // reason for rejecting the change, which stays in the log
}

// load replaces the state with that of a snapshot.
func (m *machine) load(s raft.Snapshot) error {
	m.index = s.Index
	if len(s.Data) == 0 {
		m.state = config.NewState()
		return nil
	}
	state, err := m.codec.DecodeState(s.Data)
	if err != nil {
		return fmt.Errorf("snapshot at %d: %w", s.Index, err)
	}
	m.state = state
	return nil
}

// apply applies committed entries in order. It returns the outcome of each and
// the accepted commands. An error means that this daemon cannot decode an entry:
// the replica must then stop, since its state would diverge from the others.
func (m *machine) apply(entries []raft.Entry) ([]outcome, []configsync.Accepted, error) {
	outcomes := make([]outcome, 0, len(entries))
	var accepted []configsync.Accepted
	draft := m.state.Draft()
	for _, e := range entries {
		o := outcome{index: e.Index, term: e.Term}
		if e.Kind == raft.EntryCommand {
			command, err := m.codec.DecodeCommand(e.Data)
			if err != nil {
				return nil, nil, fmt.Errorf("entry %d: %w", e.Index, err)
			}
			before := draft.Version()
			o.version, o.err = draft.Apply(command)
			if draft.Version() > before {
				accepted = append(accepted, configsync.Accepted{Version: o.version, Command: e.Data})
			}
		}
		outcomes = append(outcomes, o)
		m.index = e.Index
	}
	if len(accepted) > 0 {
		m.state = draft.State()
	}
	return outcomes, accepted, nil
}
