package operators

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

const (
	defaultEventLimit = 1000 // events of each daemon
	maxEventLimit     = 10_000
	fetchTimeout      = 2 * time.Second
	fetchesAtOnce     = 16
	causeSteps        = 3 // from an effect to its cause, and on to that one's
)

// GetEvents returns the events of all daemons in one order.
func (s *Server) GetEvents(ctx context.Context, r *operatorspb.GetEventsRequest) (*operatorspb.Events, error) {
	if s.parts.Recorder == nil {
		return nil, unsupported("GetEvents")
	}
	q, err := s.query(r)
	if err != nil {
		return nil, toTwirp(err)
	}
	events, unreachable, err := s.gather(ctx, q, r.GetOnlyHere())
	if err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.Events{Version: s.version(), Events: eventsToWire(events), Unreachable: unreachable}, nil
}

func (s *Server) query(r *operatorspb.GetEventsRequest) (timeline.Query, error) {
	q := timeline.Query{
		Target: core.TargetID(r.GetTarget()), DataCentre: core.DataCentre(r.GetDataCentre()),
		Service: core.Service(r.GetService()), Limit: int(r.GetLimit()),
	}
	if err := checkRange("limit", int64(r.GetLimit()), 0, maxEventLimit); err != nil {
		return q, err
	}
	if q.Limit == 0 {
		q.Limit = defaultEventLimit
	}
	if r.GetFromMicros() != 0 {
		q.From = time.UnixMicro(r.GetFromMicros())
	}
	if r.GetToMicros() != 0 {
		q.To = time.UnixMicro(r.GetToMicros())
	}
	if r.GetKey() != "" {
		svc, err := s.keyedService(r.GetService())
		if err != nil {
			return q, err
		}
		shard := routing.Shard(r.GetKey(), svc.Shards)
		q.Shard = &shard
	}
	return q, nil
}

type fetched struct {
	vm     core.VM
	events []timeline.Event
	err    error
}

// gather asks this daemon and, unless onlyHere, all others, a few at a time. It
// adds the events that those found name as their causes.
func (s *Server) gather(ctx context.Context, q timeline.Query, onlyHere bool) ([]timeline.Event, []*operatorspb.Unreachable, error) {
	events, unreachable, err := s.gatherOnce(ctx, q, onlyHere)
	for range causeSteps {
		refs := timeline.MissingCauses(events)
		if err != nil || len(refs) == 0 {
			break
		}
		var causes []timeline.Event
		causes, _, err = s.gatherOnce(ctx, timeline.Query{Refs: refs, Limit: q.Limit}, onlyHere)
		if len(causes) == 0 {
			break
		}
		events = timeline.Merge(events, causes)
	}
	return events, unreachable, err
}

func (s *Server) gatherOnce(ctx context.Context, q timeline.Query, onlyHere bool) ([]timeline.Event, []*operatorspb.Unreachable, error) {
	here, err := s.parts.Recorder.Events(ctx, q)
	if err != nil || onlyHere || s.parts.Peers == nil {
		return here, nil, err
	}
	records := [][]timeline.Event{here}
	var unreachable []*operatorspb.Unreachable
	for _, f := range s.fetchAll(ctx, q) {
		if f.err != nil {
			unreachable = append(unreachable, &operatorspb.Unreachable{Vm: string(f.vm), Error: f.err.Error()})
			continue
		}
		records = append(records, f.events)
	}
	return timeline.Merge(records...), unreachable, nil
}

// fetchAll asks all other daemons and returns their answers by name of VM.
func (s *Server) fetchAll(ctx context.Context, q timeline.Query) []fetched {
	self := s.parts.View().Self
	var peers []config.VM
	for _, vm := range sorted(s.parts.Registry.Current().VMs) {
		if vm.Name != self {
			peers = append(peers, vm)
		}
	}
	answers := make([]fetched, len(peers))
	done := make(chan struct{}, len(peers))
	permits := make(chan struct{}, fetchesAtOnce)
	for i, vm := range peers {
		permits <- struct{}{}
		go func() {
			answers[i] = s.fetch(ctx, vm, q)
			<-permits
			done <- struct{}{}
		}()
	}
	for range peers {
		<-done
	}
	return answers
}

func (s *Server) fetch(ctx context.Context, vm config.VM, q timeline.Query) fetched {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	events, err := s.parts.Peers.Fetch(ctx, vm, q)
	return fetched{vm: vm.Name, events: events, err: err}
}

func eventsToWire(events []timeline.Event) []*operatorspb.Event {
	out := make([]*operatorspb.Event, len(events))
	for i, e := range events {
		out[i] = eventToWire(e)
	}
	return out
}

func eventToWire(e timeline.Event) *operatorspb.Event {
	w := &operatorspb.Event{
		Vm: string(e.VM), Seq: e.Seq, AtMicros: e.Stamp.Micros, Logical: e.Stamp.Logical, Kind: string(e.Kind),
		DataCentre: string(e.DataCentre), Cell: string(e.Cell), Service: string(e.Service), Shards: string(e.Shards),
		Target: string(e.Target), Workspace: string(e.Workspace), Version: uint64(e.Version), Code: uint32(e.Code),
		Count: e.Count, Ref: e.Ref, Cause: e.Cause, Detail: e.Detail,
	}
	if !e.Fence.IsZero() {
		w.Fence = e.Fence.String()
	}
	return w
}
