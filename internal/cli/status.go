package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const statusHelp = `Shows the configuration version in force, the leader and the coordinator, and
the current problems with the measures that the system takes against them. With
several addresses it queries each daemon.

EXAMPLE
  comfreynotch -address http://10.0.0.1:7803,http://10.0.1.1:7803 status`

func (a *app) statusCommand() *ffcli.Command {
	return a.command(command{
		name: "status", short: "show the version in force, the leaders and current problems", help: statusHelp,
		exec: func(ctx context.Context, _ []string) error {
			endpoints, err := a.endpoints()
			if err != nil {
				return err
			}
			var failed error
			for _, endpoint := range endpoints {
				status, err := endpoint.GetStatus(ctx, &operatorspb.GetStatusRequest{})
				if err != nil {
					failed = fmt.Errorf("%s: %w", endpoint.address, operators.FromTwirp(err))
					a.out.printf("%s does not answer\n", endpoint.address)
					continue
				}
				if err := a.show(status, func(o *output) { statusText(o, status) }); err != nil {
					return err
				}
			}
			return failed
		},
	})
}

func statusText(o *output, s *operatorspb.Status) {
	o.printf("%s in cell %s of data centre %s: version %d in force, %s\n", s.GetVm(), s.GetCell(), s.GetDataCentre(), s.GetVersion(), readiness(s))
	if r := s.GetRegistry(); r != nil {
		o.printf("  registry: leader %s in term %d; members %s; committed up to entry %d\n",
			orNone(r.GetLeader()), r.GetTerm(), strings.Join(r.GetVoters(), ", "), r.GetCommitIndex())
	}
	o.printf("  cell: coordinator %s; this daemon's member lease is %s\n", orNone(s.GetCoordinator()), liveness(s.GetLeaseLive()))
	var centres []string
	for _, dc := range s.GetDataCentres() {
		centres = append(centres, dc.GetName()+" "+dc.GetStatus())
	}
	o.printf("  data centres: %s\n", strings.Join(centres, ", "))
	o.printf("  targets: %d\n", len(s.GetTargets()))
	if len(s.GetProblems()) == 0 {
		o.printf("  nothing is wrong\n")
	}
	for _, p := range s.GetProblems() {
		o.printf("  WRONG: %s\n         %s\n", p.GetWhat(), p.GetDoing())
		if p.GetCode() != 0 {
			o.printf("         callers may see %d %s\n", p.GetCode(), result.Code(p.GetCode()))
		}
	}
}

func readiness(s *operatorspb.Status) string {
	if s.GetReady() {
		return "ready"
	}
	return "NOT ready"
}

func liveness(live bool) string {
	if live {
		return "live"
	}
	return "NOT live"
}

func orNone(name string) string {
	if name == "" {
		return "(none known)"
	}
	return name
}

func (a *app) explainCommand() *ffcli.Command {
	r := &operatorspb.ExplainRequest{}
	c := command{
		name: "explain", arguments: "KEY", short: "show the owner of a key, since when and why, and earlier events", argCount: 1,
		help: "EXAMPLE\n  comfreynotch explain -service archivio batch-7",
	}
	c.flags = serviceFlag(&r.Service)
	c.exec = func(ctx context.Context, args []string) error {
		r.Key = args[0]
		explanation, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.Explanation, error) {
			return ops.Explain(ctx, r)
		})
		if err != nil {
			return err
		}
		return a.show(explanation, func(o *output) { explanationText(o, explanation) })
	}
	return a.command(c)
}

func explanationText(o *output, explanation *operatorspb.Explanation) {
	owner := explanation.GetTarget()
	if owner == "" {
		owner = "no target that this daemon knows of"
	}
	o.printf("key %q of service %s is owned by %s", explanation.GetKey(), explanation.GetService(), owner)
	if explanation.GetSinceMicros() != 0 {
		o.printf(" since %s", time.UnixMicro(explanation.GetSinceMicros()).UTC().Format(time.RFC3339))
	}
	o.printf("\n")
	for _, reason := range explanation.GetReasons() {
		o.printf("  - %s\n", reason)
	}
	if len(explanation.GetHistory()) > 0 {
		o.printf("earlier events:\n")
	}
	eventTable(o, explanation.GetHistory())
	unreachableText(o, explanation.GetUnreachable())
}
