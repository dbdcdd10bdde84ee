package measure

import (
	"context"
	"fmt"
	"io"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

// Times of the status changes, as fractions of the run's length.
const (
	outFraction    = 0.25
	returnFraction = 0.55
)

// DataCentre measures the served requests while operators set a data centre's
// status to out and back to in. Its targets are cold when it returns.
func DataCentre(ctx context.Context, w io.Writer, c Config) error {
	return execute(ctx, w, c, scenario{
		name: "a data centre leaves and returns", settle: settleTime,
		streams: tenantStreams, actions: takeOutAndReturn, report: reportDataCentre,
	})
}

func takeOutAndReturn(d cluster.Deployment, c Config) []action {
	name := d.DataCentres[1].Name
	set := func(status, out string) func(context.Context, *system) error {
		return func(ctx context.Context, s *system) error {
			s.out.Publish(&out)
			if !s.routed {
				return nil
			}
			return s.cluster.PutDataCentre(ctx, "measure-"+status, name, status)
		}
	}
	back := set("in", "")
	return []action{
		{at(c, outFraction), set("out", name)},
		{at(c, returnFraction), func(ctx context.Context, s *system) error {
			for _, t := range s.cluster.Targets {
				if t.DataCentre == name {
					t.Restart()
				}
			}
			return back(ctx, s)
		}},
	}
}

func reportDataCentre(w io.Writer, c Config, d cluster.Deployment, runs []*run) error {
	phases := []struct {
		name     string
		from, to float64
	}{{"before", 0, outFraction}, {"out", outFraction, returnFraction}, {"returned", returnFraction, 1}}
	t := newTable(w, append([]string{"system", "phase"}, append(outcomeHeadings, "over ramp")...)...)
	for _, r := range runs {
		for _, p := range phases {
			part := r.results.Between(at(c, p.from), at(c, p.to)).Total(nil)
			over := ""
			if p.name == "returned" {
				over = fmt.Sprintf("%.0f", r.extra["over ramp"])
			}
			t.row(append([]string{r.system, p.name}, append(outcomeCells(part), over)...)...)
		}
	}
	if err := plotServed(c, d, "a data centre leaves and returns", runs); err != nil {
		return err
	}
	return t.flush()
}
