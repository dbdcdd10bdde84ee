package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/load"
)

// table writes aligned rows.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, heads ...string) table {
	t := table{tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)}
	t.row(heads...)
	return t
}

func (t table) row(cells ...string) { _, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t table) flush() error { return t.w.Flush() }

func millis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func percent(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }

func count(n int) string { return fmt.Sprint(n) }

// outcomeHeadings are the heads of the cells that outcomeCells returns.
var outcomeHeadings = []string{"sent", "served", "p50 ms", "p99 ms", "p99.9 ms", "over rate", "not run", "may have run", "ran, failed", "wrong answer"}

func outcomeCells(r *load.Row) []string {
	return []string{
		count(r.Sent), percent(r.ServedShare()),
		millis(r.Quantile(50)), millis(r.Quantile(99)), millis(r.Quantile(99.9)),
		count(r.Outcomes[load.OverRate]), count(r.Outcomes[load.NotRun]), count(r.Outcomes[load.MayHaveRun]),
		count(r.Outcomes[load.RanFailed]), count(r.Outcomes[load.WrongAnswer]),
	}
}
