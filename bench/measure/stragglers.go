package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

const (
	straggleFactor = 5 // times the normal service time
	stragglerEvery = 6 // one of this many targets is a straggler
)

// Stragglers measures tail latency while some targets are slow but report no
// load.
func Stragglers(ctx context.Context, w io.Writer, c Config) error {
	return execute(ctx, w, c, scenario{
		name: "tail latency with stragglers", settle: settleTime,
		streams: tenantStreams, actions: straggle, report: reportStragglers,
	})
}

func straggle(_ cluster.Deployment, _ Config) []action {
	return []action{{time.Millisecond, func(_ context.Context, s *system) error {
		for i, t := range s.cluster.Targets {
			if i%stragglerEvery == 0 {
				t.SlowDown(straggleFactor)
				t.OverrideReportedLoad(0)
			}
		}
		return nil
	}}}
}

func reportStragglers(w io.Writer, c Config, d cluster.Deployment, runs []*run) error {
	t := newTable(w, append([]string{"system", "kind"}, append(outcomeHeadings, "runs")...)...)
	for _, r := range runs {
		t.row(append([]string{r.system, "all"}, append(outcomeCells(r.results.Total(nil)), fmt.Sprintf("%.0f", r.extra["runs"]))...)...)
		for _, row := range r.results.ByKind() {
			t.row(append([]string{r.system, row.Kind}, outcomeCells(row)...)...)
		}
	}
	if err := plotLatencies(c, d, "latency with stragglers", runs); err != nil {
		return err
	}
	return t.flush()
}
