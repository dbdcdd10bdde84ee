package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// output writes to w until a write fails, and keeps the error.
type output struct {
	w   io.Writer
	err error
}

func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, args...)
	}
}

// table writes rows in aligned columns. The header's column names are separated
// by spaces; an empty value is written as a hyphen.
func (o *output) table(header string, rows [][]any) {
	var text bytes.Buffer
	aligned := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	inner := &output{w: aligned}
	inner.printf("%s\n", strings.ReplaceAll(header, " ", "\t"))
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
			if cells[i] == "" {
				cells[i] = "-"
			}
		}
		inner.printf("%s\n", strings.Join(cells, "\t"))
	}
	if err := aligned.Flush(); err != nil && inner.err == nil {
		inner.err = err
	}
	if inner.err != nil && o.err == nil {
		o.err = inner.err
	}
	o.printf("%s", text.String())
}

// show prints an answer as JSON with -json, or else with text.
func (a *app) show(answer proto.Message, text func(*output)) error {
	if !a.json {
		text(a.out)
		return a.out.err
	}
	return a.showJSON(answer)
}

func (a *app) showJSON(answer proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(answer)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	a.out.printf("%s\n", indented.String())
	return a.out.err
}
