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
	defaultEventLimit    = 1000 // events per daemon
	maxEventLimit        = 10_000
	fetchTimeout         = 2 * time.Second
	maxConcurrentFetches = 16 // daemons that one call queries concurrently
	maxCauseSteps        = 3  // length of the chain of causes that is followed back from an event
)

// GetEvents returns the events of all daemons, merged into one order.
func (s *Server) GetEvents(ctx context.Context, r *operatorspb.GetEventsRequest) (*operatorspb.Events, error) {
	if s.components.Recorder == nil {
		return nil, unsupported("GetEvents")
	}
	q, err := s.query(r)
	if err != nil {
		return nil, toTwirp(err)
	}
	events, unreachable, err := s.collect(ctx, q, r.GetOnlyHere())
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

type peerAnswer struct {
	vm     core.VM
	events []timeline.Event
	err    error
}

// collect gathers the events that match q from this daemon and, unless onlyHere
// is set, from all others. It also adds the events that the collected ones name
// as their causes, up to maxCauseSteps steps back.
func (s *Server) collect(ctx context.Context, q timeline.Query, onlyHere bool) ([]timeline.Event, []*operatorspb.Unreachable, error) {
	events, unreachable, err := s.collectOnce(ctx, q, onlyHere)
	for range maxCauseSteps {
		missing := timeline.MissingCauses(events)
		if err != nil || len(missing) == 0 {
			break
		}
		var causes []timeline.Event
		causes, _, err = s.collectOnce(ctx, timeline.Query{Refs: missing, Limit: q.Limit}, onlyHere)
		if len(causes) == 0 {
			break
		}
		events = timeline.Merge(events, causes)
	}
	return events, unreachable, err
}

func (s *Server) collectOnce(ctx context.Context, q timeline.Query, onlyHere bool) ([]timeline.Event, []*operatorspb.Unreachable, error) {
	local, err := s.components.Recorder.Events(ctx, q)
	if err != nil || onlyHere || s.components.Peers == nil {
		return local, nil, err
	}
	records := [][]timeline.Event{local}
	var unreachable []*operatorspb.Unreachable
	for _, answer := range s.fetchAll(ctx, q) {
		if answer.err != nil {
			unreachable = append(unreachable, &operatorspb.Unreachable{Vm: string(answer.vm), Error: answer.err.Error()})
			continue
		}
		records = append(records, answer.events)
	}
	return timeline.Merge(records...), unreachable, nil
}

// fetchAll queries all other daemons, at most maxConcurrentFetches concurrently, and
// returns their answers ordered by VM name.
func (s *Server) fetchAll(ctx context.Context, q timeline.Query) []peerAnswer {
	self := s.components.View().Self
	var peers []config.VM
	for _, vm := range sorted(s.components.Registry.Current().VMs) {
		if vm.Name != self {
			peers = append(peers, vm)
		}
	}
	answers := make([]peerAnswer, len(peers))
	done := make(chan struct{}, len(peers))
	permits := make(chan struct{}, maxConcurrentFetches)
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

func (s *Server) fetch(ctx context.Context, vm config.VM, q timeline.Query) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	events, err := s.components.Peers.Fetch(ctx, vm, q)
	return peerAnswer{vm: vm.Name, events: events, err: err}
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
