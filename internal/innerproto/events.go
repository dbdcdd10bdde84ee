package innerproto

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// EventsPathPrefix is the path prefix of EventsHandler on the inner listener.
const EventsPathPrefix = innerpb.EventsPathPrefix

// EventStore returns the events that this daemon recorded.
type EventStore interface {
	Events(ctx context.Context, q timeline.Query) ([]timeline.Event, error)
}

// EventsHandler serves this daemon's events to other daemons.
func EventsHandler(s EventStore) http.Handler { return innerpb.NewEventsServer(eventsServer{s}) }

type eventsServer struct{ store EventStore }

// Fetch implements innerpb.Events.
func (s eventsServer) Fetch(ctx context.Context, q *innerpb.EventQuery) (*innerpb.EventRecord, error) {
	events, err := s.store.Events(ctx, queryFromWire(q))
	if err != nil {
		return nil, err
	}
	record := &innerpb.EventRecord{Events: make([]*innerpb.RecordedEvent, len(events))}
	for i, e := range events {
		record.Events[i] = eventToWire(e)
	}
	return record, nil
}

// EventsClient fetches the events of other daemons.
type EventsClient struct{ client *http.Client }

// NewEventsClient returns a client that sends through transport.
func NewEventsClient(transport http.RoundTripper) *EventsClient {
	return &EventsClient{client: &http.Client{Transport: transport}}
}

// Fetch returns the events recorded on the VM from that match q.
func (c *EventsClient) Fetch(ctx context.Context, from config.VM, q timeline.Query) ([]timeline.Event, error) {
	remote := innerpb.NewEventsProtobufClient("http://"+from.InnerAddress, c.client)
	record, err := remote.Fetch(ctx, queryToWire(q))
	if err != nil {
		return nil, fmt.Errorf("events of VM %s: %w", from.Name, err)
	}
	events := make([]timeline.Event, 0, len(record.GetEvents()))
	for _, w := range record.GetEvents() {
		e, err := eventFromWire(w)
		if err != nil {
			return nil, fmt.Errorf("events of VM %s: %w", from.Name, err)
		}
		events = append(events, e)
	}
	return events, nil
}

func queryToWire(q timeline.Query) *innerpb.EventQuery {
	w := &innerpb.EventQuery{
		FromMicros: microsOf(q.From), ToMicros: microsOf(q.To), Target: string(q.Target),
		DataCentre: string(q.DataCentre), Service: string(q.Service), Limit: int32(q.Limit), Refs: q.Refs,
	}
	if q.Shard != nil {
		shard := uint32(*q.Shard)
		w.Shard = &shard
	}
	return w
}

func queryFromWire(w *innerpb.EventQuery) timeline.Query {
	q := timeline.Query{
		From: timeOf(w.GetFromMicros()), To: timeOf(w.GetToMicros()), Target: core.TargetID(w.GetTarget()),
		DataCentre: core.DataCentre(w.GetDataCentre()), Service: core.Service(w.GetService()), Limit: int(w.GetLimit()), Refs: w.GetRefs(),
	}
	if w.Shard != nil {
		shard := core.Shard(w.GetShard())
		q.Shard = &shard
	}
	return q
}

// microsOf encodes the zero time as 0, which on the wire means no bound.
func microsOf(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func timeOf(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros).UTC()
}

func eventToWire(e timeline.Event) *innerpb.RecordedEvent {
	w := &innerpb.RecordedEvent{
		Vm: string(e.VM), Seq: e.Seq, StampMicros: e.Stamp.Micros, StampLogical: e.Stamp.Logical,
		Kind: string(e.Kind), DataCentre: string(e.DataCentre), Cell: string(e.Cell), Service: string(e.Service),
		Shards: string(e.Shards), Target: string(e.Target), Workspace: string(e.Workspace), Version: uint64(e.Version),
		Code: uint32(e.Code), Count: e.Count, Ref: e.Ref, Cause: e.Cause, Detail: e.Detail,
	}
	if !e.Fence.IsZero() {
		w.Fence = e.Fence.String()
	}
	return w
}

func eventFromWire(w *innerpb.RecordedEvent) (timeline.Event, error) {
	e := timeline.Event{
		VM: core.VM(w.GetVm()), Seq: w.GetSeq(), Stamp: timeline.Stamp{Micros: w.GetStampMicros(), Logical: w.GetStampLogical()},
		Kind: timeline.Kind(w.GetKind()), DataCentre: core.DataCentre(w.GetDataCentre()), Cell: core.Cell(w.GetCell()),
		Service: core.Service(w.GetService()), Shards: timeline.ShardSet(w.GetShards()), Target: core.TargetID(w.GetTarget()),
		Workspace: core.Workspace(w.GetWorkspace()), Version: core.Version(w.GetVersion()),
		Code: result.Code(w.GetCode()), Count: w.GetCount(), Ref: w.GetRef(), Cause: w.GetCause(), Detail: w.GetDetail(),
	}
	if w.GetFence() != "" {
		f, err := core.ParseFence(w.GetFence())
		if err != nil {
			return timeline.Event{}, err
		}
		e.Fence = f
	}
	return e, nil
}
