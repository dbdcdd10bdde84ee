package telemetry

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log/level"
	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TestRepeatedLinesAreLimited checks that of many equal lines only the first
// linesInPeriod and one summary are written, and that the last line before a
// stop is written.
func TestRepeatedLinesAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		task := NewLogTask(&out, "vm-1", "info", func() { t.Error("dropped") })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- task.Serve(ctx) }()
		for range 100 {
			is.NoErr(level.Warn(task.Logger()).Log("msg", "refused", "code", 304, "request_id", "r"))
			is.NoErr(level.Debug(task.Logger()).Log("msg", "below the level"))
		}
		is.NoErr(level.Info(task.Logger()).Log("msg", "other"))
		time.Sleep(limitPeriod + time.Millisecond)
		is.NoErr(level.Info(task.Logger()).Log("msg", "last"))
		cancel()
		<-done
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		is.Equal(len(lines), linesInPeriod+3) // refused, other, their count, last
		var count struct {
			Msg, Of, Level string
			Count          int
		}
		is.NoErr(json.Unmarshal([]byte(lines[linesInPeriod+1]), &count))
		is.Equal(count.Of, "refused")
		is.Equal(count.Level, "warn")
		is.Equal(count.Count, 100-linesInPeriod)
		var last map[string]any
		is.NoErr(json.Unmarshal([]byte(lines[len(lines)-1]), &last))
		is.Equal(last["msg"], "last")
		is.Equal(last["vm"], "vm-1")
	})
}

// TestLoggingNeverBlocks checks that logging does not block while the task is not
// running: lines that exceed the mailbox are dropped and counted.
func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	dropped := 0
	task := NewLogTask(&bytes.Buffer{}, "vm-1", "info", func() { dropped++ })
	for range logMailboxSize + 3 {
		is.NoErr(task.Logger().Log("msg", "x"))
	}
	is.Equal(dropped, 3)
}

// TestMetricsAreDocumented checks that docs/METRICS.md lists exactly the metrics
// that a daemon exports, with their labels.
func TestMetricsAreDocumented(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	m.Request("archivio", result.RateExceeded, time.Millisecond)
	m.WorkspaceRequest("lab", result.NotRun)
	m.ConfigurationPoll(configsync.PollResult{From: 1, Version: 2, Behind: time.Millisecond})
	m.RegisterGauges(func() health.View {
		return health.View{State: config.NewState(), Table: cell.NewTable("padana-a")}
	})
	families, err := m.Registry().Gather()
	is.NoErr(err)
	var served []string
	for _, f := range families {
		if !strings.HasPrefix(f.GetName(), namespace) {
			continue
		}
		row := f.GetName() + " " + strings.ToLower(f.GetType().String())
		for _, l := range f.GetMetric()[0].GetLabel() {
			row += " " + l.GetName()
		}
		served = append(served, row)
	}
	doc, err := os.ReadFile(filepath.Join("..", "..", "docs", "METRICS.md"))
	is.NoErr(err)
	var documented []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(comfreynotch_\\w+)` \\| (\\w+) \\|([^|]*)\\|").FindAllStringSubmatch(string(doc), -1) {
		labels := regexp.MustCompile(`\w+`).FindAllString(match[3], -1)
		slices.Sort(labels)
		documented = append(documented, strings.Join(append([]string{match[1], match[2]}, labels...), " "))
	}
	slices.Sort(documented)
	is.Equal(documented, served)
}

// TestFirstVersionIsNotLate guards against a delay of centuries in the histogram, from a
// version that arrives before there is any proof.
func TestFirstVersionIsNotLate(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	m.ConfigurationPoll(configsync.PollResult{From: 1, Version: 2, Behind: -1})
	m.ConfigurationPoll(configsync.PollResult{From: 2, Version: 3, Behind: time.Second})
	families, err := m.Registry().Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "comfreynotch_configuration_behind_seconds" {
			is.Equal(f.GetMetric()[0].GetHistogram().GetSampleCount(), uint64(1))
			is.Equal(f.GetMetric()[0].GetHistogram().GetSampleSum(), 1.0)
		}
	}
}

// TestLastLinesAreWritten checks that the lines in the mailbox are written when
// the task stops.
func TestLastLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	task := NewLogTask(&out, "vm-1", "info", func() { t.Error("dropped") })
	const lines = 100
	for i := range lines {
		is.NoErr(task.Logger().Log("msg", i))
	}
	stopped, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(task.Serve(stopped), context.Canceled)
	is.Equal(strings.Count(out.String(), "\n"), lines)
}
