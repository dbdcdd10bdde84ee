package operators

import (
	"context"
	"fmt"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// Explain returns the owner of a key, the reasons for and the time of its
// assignment, and the earlier events of the key's shard.
func (s *Server) Explain(ctx context.Context, r *operatorspb.ExplainRequest) (*operatorspb.Explanation, error) {
	svc, err := s.keyedService(r.GetService())
	if err == nil && r.GetKey() == "" {
		err = invalid("key", "a key", `""`)
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	shard := routing.Shard(r.GetKey(), svc.Shards)
	explanation := &operatorspb.Explanation{
		Version: s.version(), Service: r.GetService(), Key: r.GetKey(), Shard: uint32(shard),
		Reasons: []string{fmt.Sprintf("key %q hashes to shard %d of %d of service %s", r.GetKey(), shard, svc.Shards, svc.Name)},
	}
	s.addOwner(ctx, explanation, svc.Name, shard)
	if s.components.Recorder == nil {
		return explanation, nil
	}
	events, unreachable, err := s.collect(ctx, timeline.Query{Service: svc.Name, Shard: &shard, Limit: defaultEventLimit}, false)
	if err != nil {
		return nil, toTwirp(err)
	}
	explanation.History, explanation.Unreachable = eventsToWire(events), unreachable
	addSince(explanation, events)
	return explanation, nil
}

func (s *Server) addOwner(ctx context.Context, explanation *operatorspb.Explanation, service core.Service, shard core.Shard) {
	state := s.components.Registry.Current()
	home, ok := state.Home(service, shard)
	if !ok {
		explanation.Reasons = append(explanation.Reasons, "the shard has no home cell: no data centre that accepts requests has a cell")
		return
	}
	dc := state.Cells[home].DataCentre
	explanation.HomeCell, explanation.DataCentre = string(home), string(dc)
	explanation.Reasons = append(explanation.Reasons, fmt.Sprintf("configuration version %d makes cell %s in data centre %s (%s) its home",
		state.Version, home, dc, statusNames[state.DataCentres[dc].Status]))
	table, err := s.tableOf(ctx, home)
	if err != nil {
		explanation.Reasons = append(explanation.Reasons, fmt.Sprintf("the owner is unknown, since no member of cell %s answered: %s", home, err))
		return
	}
	if hotShard, ok := table.HotKey(service, routing.Hash(explanation.GetKey())); ok {
		explanation.Reasons = append(explanation.Reasons, fmt.Sprintf("the key has its own shard, %d, because an operator pinned it", hotShard))
		shard = hotShard
	}
	assignment, entry, ok := table.Owner(service, shard)
	if !ok {
		explanation.Reasons = append(explanation.Reasons, "no target owns it now: the previous grant has not ended yet, or no target is available")
		return
	}
	explanation.Target, explanation.Fence, explanation.Dispatcher = string(assignment.Target), assignment.Fence.String(), string(entry.Dispatcher)
	explanation.Reasons = append(explanation.Reasons, fmt.Sprintf("target %s owns it with fence %s; only VM %s sends requests to that target",
		assignment.Target, assignment.Fence, entry.Dispatcher))
}

// addSince sets the start of the current ownership to the time of the newest
// recorded grant to the owner, and adds that grant's cause to the reasons.
func addSince(explanation *operatorspb.Explanation, events []timeline.Event) {
	reason := ""
	for _, e := range events {
		if e.Kind != timeline.ShardGranted || explanation.Target == "" || string(e.Target) != explanation.Target {
			continue
		}
		explanation.SinceMicros = e.Stamp.Micros
		if e.Cause != "" {
			reason = fmt.Sprintf("it was granted at %s because of %s", e.Stamp.Time().Format("15:04:05.000"), e.Cause)
		}
	}
	if reason != "" {
		explanation.Reasons = append(explanation.Reasons, reason)
	}
}
