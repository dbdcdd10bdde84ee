package daemon

import (
	"net/http"

	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/rebalance"
)

func (d *Daemon) newRebalance() *rebalance.Task {
	client := &http.Client{Transport: innerproto.StampedTransport(d.recorder, d.secured.transport)}
	return rebalance.NewTask(core.VM(d.settings.VM), d.cell, innerproto.NewLoadClient(client), func(m rebalance.Move) {
		_ = level.Info(d.logger).Log("msg", "rebalancing move requested", "service", m.Service, "shard", m.Shard,
			"by_key", m.ByKey, "from", m.From, "to", m.To, "rate", m.Rate)
	})
}
