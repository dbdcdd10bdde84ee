package innerproto

import (
	"context"
	"net/http"
	"slices"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/rebalance"
)

// LoadPathPrefix is the path prefix of LoadHandler on the inner listener.
const LoadPathPrefix = innerpb.LoadPathPrefix

// LoadReceiver receives the load reports of the cell's members. An error means that
// it cannot accept a report at present.
type LoadReceiver interface {
	Reported(from core.VM, r rebalance.Report) error
}

type loadServer struct{ receiver LoadReceiver }

// LoadHandler serves the load reports of other daemons, below LoadPathPrefix.
func LoadHandler(r LoadReceiver) http.Handler { return innerpb.NewLoadServer(loadServer{r}) }

// Report implements innerpb.Load.
func (s loadServer) Report(_ context.Context, report *innerpb.LoadReport) (*innerpb.LoadReportAnswer, error) {
	var r rebalance.Report
	for _, w := range report.GetServices() {
		l, err := serviceLoadFromWire(w)
		if err != nil {
			return nil, err
		}
		r.Services = append(r.Services, l)
	}
	if err := s.receiver.Reported(core.VM(report.GetFrom()), r); err != nil {
		return nil, twirp.ResourceExhausted.Error(err.Error())
	}
	return &innerpb.LoadReportAnswer{}, nil
}

func serviceLoadFromWire(w *innerpb.ServiceLoad) (rebalance.ServiceLoad, error) {
	l := rebalance.ServiceLoad{Service: core.Service(w.GetService())}
	targets := w.GetTargets()
	if len(w.GetTargetRates()) != len(targets) {
		return l, twirp.InvalidArgumentError("target_rates", "want one rate for each target")
	}
	for i, id := range targets {
		l.Targets = append(l.Targets, rebalance.TargetRate{Target: core.TargetID(id), Rate: float64(w.GetTargetRates()[i])})
	}
	for _, s := range w.GetShards() {
		if int(s.GetTarget()) >= len(targets) {
			return l, twirp.InvalidArgumentError("shards", "target index out of range")
		}
		l.Shards = append(l.Shards, rebalance.ShardRate{
			Shard: core.Shard(s.GetShard()), Target: core.TargetID(targets[s.GetTarget()]), Rate: float64(s.GetRate()),
		})
	}
	for _, k := range w.GetKeys() {
		if int(k.GetTarget()) >= len(targets) {
			return l, twirp.InvalidArgumentError("keys", "target index out of range")
		}
		l.Keys = append(l.Keys, rebalance.KeyRate{
			Key:    rebalance.KeyID{Shard: core.Shard(k.GetShard()), Hash: k.GetHash()},
			Target: core.TargetID(targets[k.GetTarget()]), Rate: float64(k.GetRate()),
		})
	}
	return l, nil
}

// LoadClient sends load reports to other daemons.
type LoadClient struct{ client *http.Client }

// NewLoadClient returns a client that sends through c.
func NewLoadClient(c *http.Client) *LoadClient { return &LoadClient{c} }

// ReportLoad sends one load report to the daemon to.
func (c *LoadClient) ReportLoad(ctx context.Context, to config.VM, from core.VM, r rebalance.Report) error {
	m := &innerpb.LoadReport{From: string(from)}
	for _, l := range r.Services {
		m.Services = append(m.Services, serviceLoadToWire(l))
	}
	_, err := innerpb.NewLoadProtobufClient("http://"+to.InnerAddress, c.client).Report(ctx, m)
	return err
}

func serviceLoadToWire(l rebalance.ServiceLoad) *innerpb.ServiceLoad {
	w := &innerpb.ServiceLoad{Service: string(l.Service)}
	for _, t := range l.Targets {
		w.Targets = append(w.Targets, string(t.Target))
		w.TargetRates = append(w.TargetRates, float32(t.Rate))
	}
	index := func(id core.TargetID) (uint32, bool) {
		i := slices.Index(w.Targets, string(id))
		return uint32(i), i >= 0
	}
	for _, s := range l.Shards {
		if i, ok := index(s.Target); ok {
			w.Shards = append(w.Shards, &innerpb.ShardLoad{Shard: uint32(s.Shard), Target: i, Rate: float32(s.Rate)})
		}
	}
	for _, k := range l.Keys {
		if i, ok := index(k.Target); ok {
			w.Keys = append(w.Keys, &innerpb.KeyLoad{
				Shard: uint32(k.Key.Shard), Hash: k.Key.Hash, Target: i, Rate: float32(k.Rate),
			})
		}
	}
	return w
}
