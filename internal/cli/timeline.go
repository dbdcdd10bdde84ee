package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/timelineview"
)

const timelineHelp = `Collects the events of all daemons in one order, with their places and causes.
A time is an age such as 10m or an RFC 3339 time.

EXAMPLES
  comfreynotch timeline -since 10m
  comfreynotch timeline -service archivio -key batch-7
  comfreynotch timeline -data-centre padana-b -html timeline.html`

func serviceFlag(service *string) func(*flag.FlagSet) {
	return func(fs *flag.FlagSet) { fs.StringVar(service, "service", "", "keyed service of the key") }
}

func (a *app) timelineCommand() *ffcli.Command {
	r := &operatorspb.GetEventsRequest{}
	var since, until, html string
	var limit uint
	return a.command(command{
		name: "timeline", short: "show the events of all daemons in order, with their causes", help: timelineHelp,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&since, "since", "", "time of the earliest event")
			fs.StringVar(&until, "until", "", "end of the period; later events are left out")
			fs.StringVar(&r.Target, "target", "", "only this target's events")
			fs.StringVar(&r.DataCentre, "data-centre", "", "only this data centre's events")
			fs.StringVar(&r.Service, "service", "", "only this service's events")
			fs.StringVar(&r.Key, "key", "", "only events of the shard of this key of -service")
			fs.UintVar(&limit, "limit", 0, "maximum events of each daemon, the newest ones (default 1000)")
			fs.BoolVar(&r.OnlyHere, "only-here", false, "query only the addressed daemon")
			fs.StringVar(&html, "html", "", "write a chart and a table to this HTML file")
		},
		exec: func(ctx context.Context, _ []string) error {
			var err error
			if r.FromMicros, err = a.timeFlag("since", since); err != nil {
				return err
			}
			if r.ToMicros, err = a.timeFlag("until", until); err != nil {
				return err
			}
			r.Limit = int32(min(limit, 1<<31-1))
			return a.timeline(ctx, r, html)
		},
	})
}

// timeFlag parses an age or a time. It returns microseconds since the Unix epoch,
// or 0 if the flag is empty.
func (a *app) timeFlag(name, text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if age, err := time.ParseDuration(text); err == nil {
		return a.env.Now().Add(-age).UnixMicro(), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, misuse("-%s: want an age such as 10m or a time such as 2026-01-02T15:04:05Z, not %q", name, text)
	}
	return at.UnixMicro(), nil
}

func (a *app) timeline(ctx context.Context, r *operatorspb.GetEventsRequest, html string) error {
	events, err := call(ctx, a, func(ctx context.Context, ops operatorspb.Operators) (*operatorspb.Events, error) {
		return ops.GetEvents(ctx, r)
	})
	if err != nil {
		return err
	}
	if html != "" {
		return a.writeHTML(html, events)
	}
	return a.show(events, func(o *output) {
		eventTable(o, events.GetEvents())
		unreachableText(o, events.GetUnreachable())
	})
}

func (a *app) writeHTML(path string, events *operatorspb.Events) error {
	f, err := os.Create(path)
	if err != nil {
		return misuse("-html: %s", err)
	}
	defer f.Close()
	page := timelineview.Page{}
	for _, e := range events.GetEvents() {
		page.Rows = append(page.Rows, timelineview.Row{
			At: time.UnixMicro(e.GetAtMicros()).UTC(), VM: e.GetVm(), Kind: e.GetKind(),
			DataCentre: e.GetDataCentre(), Subject: subject(e), Why: e.GetCause(), Detail: detail(e),
		})
	}
	for _, u := range events.GetUnreachable() {
		page.Missing = append(page.Missing, u.GetVm())
	}
	if err := timelineview.Write(f, page); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	a.out.printf("%d events are in %s\n", len(page.Rows), path)
	return a.out.err
}

func eventTable(o *output, events []*operatorspb.Event) {
	if len(events) == 0 {
		return
	}
	var rows [][]any
	for _, e := range events {
		at := time.UnixMicro(e.GetAtMicros()).UTC().Format("2006-01-02T15:04:05.000")
		rows = append(rows, []any{at, e.GetVm(), e.GetDataCentre(), e.GetKind(), subject(e), e.GetCause(), detail(e)})
	}
	o.table("TIME VM DATA-CENTRE WHAT OF BECAUSE-OF DETAIL", rows)
}

// subject returns a text for the OF column: the service, shards, target,
// workspace, cell or version that an event is about.
func subject(e *operatorspb.Event) string {
	var parts []string
	add := func(label, value string) {
		if value != "" {
			parts = append(parts, label+value)
		}
	}
	add("", e.GetService())
	add("shard ", e.GetShards())
	add("", e.GetTarget())
	add("workspace ", e.GetWorkspace())
	if e.GetShards() == "" && e.GetTarget() == "" {
		add("cell ", e.GetCell())
	}
	if e.GetVersion() != 0 && e.GetCause() == "" {
		add("version ", strconv.FormatUint(e.GetVersion(), 10))
	}
	return strings.Join(parts, ", ")
}

func detail(e *operatorspb.Event) string {
	var parts []string
	if e.GetCode() != 0 {
		parts = append(parts, fmt.Sprintf("%d %s", e.GetCode(), result.Code(e.GetCode())))
	}
	if e.GetCount() > 1 && e.GetDetail() == "" {
		unit := "times"
		if e.GetShards() != "" {
			unit = "shards"
		}
		parts = append(parts, fmt.Sprintf("%d %s", e.GetCount(), unit))
	}
	if e.GetFence() != "" {
		parts = append(parts, "fence "+e.GetFence())
	}
	if e.GetDetail() != "" {
		parts = append(parts, e.GetDetail())
	}
	return strings.Join(parts, "; ")
}

func unreachableText(o *output, unreachable []*operatorspb.Unreachable) {
	for _, u := range unreachable {
		o.printf("events of %s are missing: %s\n", u.GetVm(), u.GetError())
	}
}
