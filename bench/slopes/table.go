// Package slopes measures how the cost of each role grows with the size of the
// system: state, messages, bytes and processor time, each at three sizes or more.
// The figures in docs/CAPACITY.md are computed from them.
package slopes

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

func newTable(w io.Writer, headings ...string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, strings.Join(headings, "\t"))
	return t
}

func row(t io.Writer, cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		switch c := c.(type) {
		case float64:
			parts[i] = fmt.Sprintf("%.3g", c)
		case time.Duration:
			parts[i] = fmt.Sprintf("%.3g ms", float64(c)/float64(time.Millisecond))
		default:
			parts[i] = fmt.Sprint(c)
		}
	}
	_, _ = fmt.Fprintln(t, strings.Join(parts, "\t"))
}

// timed returns the shortest duration of three calls of do.
func timed(do func()) time.Duration {
	least := time.Duration(1<<63 - 1)
	for range 3 {
		start := time.Now()
		do()
		least = min(least, time.Since(start))
	}
	return least
}
