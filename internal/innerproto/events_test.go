package innerproto

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

type fakeRecord struct {
	query  timeline.Query
	events []timeline.Event
}

func (f *fakeRecord) Events(_ context.Context, q timeline.Query) ([]timeline.Event, error) {
	f.query = q
	return f.events, nil
}

type fakeClock struct {
	stamp    timeline.Stamp
	observed []timeline.Stamp
}

func (f *fakeClock) Stamp() timeline.Stamp    { return f.stamp }
func (f *fakeClock) Observe(s timeline.Stamp) { f.observed = append(f.observed, s) }

// TestEventsCrossTheWire checks that fetched events equal the recorded ones, that the
// query arrives unchanged, and that each side's clock observes the other's stamp.
func TestEventsCrossTheWire(t *testing.T) {
	is := is.New(t)
	want := timeline.Event{
		VM: "vm-1", Seq: 3, Stamp: timeline.Stamp{Micros: 12, Logical: 4}, Kind: timeline.ShardGranted,
		DataCentre: "padana-a", Cell: "padana-a", Service: "archivio", Shards: "0-45/3", Target: "t1",
		Workspace: "lab", Version: 9, Fence: core.Fence{Epoch: 1, Ballot: 2, Counter: 3}, Code: 304, Count: 2,
		Ref: "r", Cause: "c", Detail: "d",
	}
	record := &fakeRecord{events: []timeline.Event{want, {Kind: timeline.Started}}}
	server, client := &fakeClock{stamp: timeline.Stamp{Micros: 7}}, &fakeClock{stamp: timeline.Stamp{Micros: 8}}
	srv := httptest.NewServer(WithStamps(server, EventsHandler(record)))
	defer srv.Close()
	shard := core.Shard(0)
	q := timeline.Query{From: time.UnixMicro(5).UTC(), Target: "t1", Service: "archivio", Shard: &shard, Limit: 3, Refs: []string{"r"}}
	remote := NewEventsClient(StampedTransport(client, http.DefaultTransport))
	got, err := remote.Fetch(t.Context(), config.VM{Name: "vm-1", InnerAddress: strings.TrimPrefix(srv.URL, "http://")}, q)
	is.NoErr(err)
	is.Equal(got, []timeline.Event{want, {Kind: timeline.Started}})
	is.Equal(record.query, q)
	is.Equal(server.observed, []timeline.Stamp{{Micros: 8}})
	is.Equal(client.observed, []timeline.Stamp{{Micros: 7}})
}
