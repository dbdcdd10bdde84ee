package serve

import (
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/rebalance"
	"github.com/comfreynotch/comfreynotch/internal/routing"
)

// LoadCounter counts the keyed requests that are sent to targets. The rebalancer
// places shards by these counts.
type LoadCounter interface {
	CountSent(r rebalance.Request)
}

// countLoad counts a keyed request against its key's own shard, if the key has
// one, and otherwise against the shard of its hash.
func (s *Server) countLoad(slot dispatch.Slot, r *exchange.Request) {
	if s.Counter == nil || r.Key == "" {
		return
	}
	hash := routing.Hash(r.Key)
	shard, own := s.Ownership.Table().HotKey(r.Service, hash)
	if !own {
		shard = r.Shard
	}
	s.Counter.CountSent(rebalance.Request{
		Service: r.Service, Target: slot.Target.ID, Key: rebalance.KeyID{Shard: shard, Hash: hash},
	})
}
