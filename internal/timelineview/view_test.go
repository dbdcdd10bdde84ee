package timelineview

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPageShowsEachEvent checks that the diagram has a lane for each VM and a mark
// within its bounds for each event, that the page names missing VMs, and that
// event texts are escaped.
func TestPageShowsEachEvent(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_700_000_000, 0).UTC()
	p := Page{Missing: []string{"vm-9"}, Rows: []Row{
		{At: at, VM: "vm-1", Kind: "target lost", Subject: "<script>"},
		{At: at.Add(time.Second), VM: "vm-2", Kind: "shard granted", Why: "target t1#1"},
	}}
	d := draw(p)
	is.Equal(len(d.Lanes), 2)
	is.Equal(d.Marks[0].X, labelWidth)
	is.Equal(d.Marks[1].X, d.LaneEnd)
	is.True(d.Marks[0].Y != d.Marks[1].Y)
	is.True(d.Marks[0].Color != d.Marks[1].Color)
	var out strings.Builder
	is.NoErr(Write(&out, p))
	is.Equal(strings.Count(out.String(), "<circle"), 2)
	is.True(strings.Contains(out.String(), "vm-9"))
	is.True(strings.Contains(out.String(), "because of target t1#1"))
	is.True(!strings.Contains(out.String(), "<script>"))
	is.NoErr(Write(&out, Page{})) // no events
}
