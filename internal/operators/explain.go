package operators

import (
	"context"
	"fmt"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// Explain says who owns a key and why, since when, and what came before.
func (s *Server) Explain(ctx context.Context, r *operatorspb.ExplainRequest) (*operatorspb.Explanation, error) {
	svc, err := s.keyedService(r.GetService())
	if err == nil && r.GetKey() == "" {
		err = invalid("key", "a key", `""`)
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	shard := routing.Shard(r.GetKey(), svc.Shards)
	x := &operatorspb.Explanation{
		Version: s.version(), Service: r.GetService(), Key: r.GetKey(), Shard: uint32(shard),
		Reasons: []string{fmt.Sprintf("key %q hashes to shard %d of %d of service %s", r.GetKey(), shard, svc.Shards, svc.Name)},
	}
	s.explainHome(ctx, x, svc.Name, shard)
	if s.parts.Recorder == nil {
		return x, nil
	}
	events, unreachable, err := s.gather(ctx, timeline.Query{Service: svc.Name, Shard: &shard, Limit: defaultEventLimit}, false)
	if err != nil {
		return nil, toTwirp(err)
	}
	x.History, x.Unreachable = eventsToWire(events), unreachable
	explainSince(x, events)
	return x, nil
}

func (s *Server) explainHome(ctx context.Context, x *operatorspb.Explanation, service core.Service, shard core.Shard) {
	state := s.parts.Registry.Current()
	home, ok := state.Home(service, shard)
	if !ok {
		x.Reasons = append(x.Reasons, "the shard has no home: no data centre that takes work has a cell")
		return
	}
	dc := state.Cells[home].DataCentre
	x.HomeCell, x.DataCentre = string(home), string(dc)
	x.Reasons = append(x.Reasons, fmt.Sprintf("the registry's version %d makes cell %s in data centre %s (%s) its home",
		state.Version, home, dc, statusNames[state.DataCentres[dc].Status]))
	table, err := s.tableOf(ctx, home)
	if err != nil {
		x.Reasons = append(x.Reasons, fmt.Sprintf("the owner is not known here, since no member of cell %s answers: %s", home, err))
		return
	}
	if own, ok := table.HotKey(service, routing.Hash(x.GetKey())); ok {
		x.Reasons = append(x.Reasons, fmt.Sprintf("the key has shard %d for itself, because an operator pinned it", own))
		shard = own
	}
	a, entry, ok := table.Owner(service, shard)
	if !ok {
		x.Reasons = append(x.Reasons, "no target owns it now: the last grant has to end first, or no target is there")
		return
	}
	x.Target, x.Fence, x.Dispatcher = string(a.Target), a.Fence.String(), string(entry.Dispatcher)
	x.Reasons = append(x.Reasons, fmt.Sprintf("target %s owns it under fence %s; %s alone sends to that target",
		a.Target, a.Fence, entry.Dispatcher))
}

// explainSince dates the owner by the newest grant to it in the record.
func explainSince(x *operatorspb.Explanation, events []timeline.Event) {
	reason := ""
	for _, e := range events {
		if e.Kind != timeline.ShardGranted || x.Target == "" || string(e.Target) != x.Target {
			continue
		}
		x.SinceMicros = e.Stamp.Micros
		if e.Cause != "" {
			reason = fmt.Sprintf("it was granted at %s because of %s", e.Stamp.Time().Format("15:04:05.000"), e.Cause)
		}
	}
	if reason != "" {
		x.Reasons = append(x.Reasons, reason)
	}
}
