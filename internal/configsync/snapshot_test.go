package configsync_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// countingCodec counts the states that are encoded.
type countingCodec struct {
	configjson.Codec
	states *int
}

func (c countingCodec) EncodeState(s *config.State) ([]byte, error) {
	*c.states++
	return c.Codec.EncodeState(s)
}

// TestManyRequestsShareOneSnapshot simulates a restart of all entry VMs while the
// configuration changes quickly. Each requests a snapshot, which is encoded only
// once, and has the newest version after one more request.
func TestManyRequestsShareOneSnapshot(t *testing.T) {
	is := is.New(t)
	states := 0
	counting := countingCodec{states: &states}
	source := configsync.NewTask(counting, func(*config.State) {})
	go func() { _ = source.Serve(t.Context()) }()
	state := config.NewState()
	for i := range 200 {
		data, err := codec.EncodeCommand(config.Command{Change: config.PutWorkspace{Workspace: config.Workspace{
			Name: core.Workspace(fmt.Sprint("w", i)), Rate: 1,
		}}})
		is.NoErr(err)
		command, err := codec.DecodeCommand(data)
		is.NoErr(err)
		state, err = state.Apply(command)
		is.NoErr(err)
		update := configsync.Update{State: state, ConfirmedAt: clock.Now(), Confirmed: true}
		if i > 0 { // the first update is a snapshot, so that the commands from version 0 are missing
			update.Commands = []configsync.AcceptedCommand{{Version: state.Version, Command: data}}
		}
		source.Offer(update)
		first, err := source.Watch(t.Context(), configsync.Request{})
		is.NoErr(err)
		received, err := configsync.Merge(config.NewState(), first, codec)
		is.NoErr(err)
		second, err := source.Watch(t.Context(), configsync.Request{Version: received.Version})
		is.NoErr(err)
		received, err = configsync.Merge(received, second, codec)
		is.NoErr(err)
		is.Equal(received.Version, state.Version)
		is.True(second.Proved)
	}
	is.Equal(states, 1)
}

// TestRestartAfterManyChangesOfTheSameItems guards against a restarted daemon that gets
// every change since the first one over its slow link, where the state is far smaller.
func TestRestartAfterManyChangesOfTheSameItems(t *testing.T) {
	is := is.New(t)
	source := configsync.NewTask(codec, func(*config.State) {})
	go func() { _ = source.Serve(t.Context()) }()
	state := config.NewState()
	const changes = 1000
	for i := range changes {
		data, err := codec.EncodeCommand(config.Command{Change: config.PatchCatalog{Tenants: []config.Tenancy{{
			Item: config.Item{Revision: config.Revision(i + 1), Source: bytes.Repeat([]byte("x"), 300)}, Name: "lab", Rate: float64(i),
		}}}})
		is.NoErr(err)
		command, err := codec.DecodeCommand(data)
		is.NoErr(err)
		state, err = state.Apply(command)
		is.NoErr(err)
		source.Offer(configsync.Update{
			State: state, Commands: []configsync.AcceptedCommand{{Version: state.Version, Command: data}}, ConfirmedAt: clock.Now(), Confirmed: true,
		})
		if i%100 == 0 { // the source answers while its history grows
			_, err := source.Watch(t.Context(), configsync.Request{})
			is.NoErr(err)
		}
	}
	snapshot, err := codec.EncodeState(state)
	is.NoErr(err)
	received, bytesReceived := config.NewState(), 0
	for received.Version < state.Version {
		a, err := source.Watch(t.Context(), configsync.Request{Version: received.Version})
		is.NoErr(err)
		bytesReceived += len(a.Snapshot)
		for _, c := range a.Commands {
			bytesReceived += len(c.Command)
		}
		received, err = configsync.Merge(received, a, codec)
		is.NoErr(err)
	}
	const mostKept = 64 << 10 // of commands that are sent instead of a new snapshot
	is.True(bytesReceived <= len(snapshot)+mostKept)
	is.Equal(received.Catalog.Tenants["lab"].Rate, float64(changes-1))
}
