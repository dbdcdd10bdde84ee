package main

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// stopAt ends a run once the text was written.
type stopAt struct {
	bytes.Buffer
	text string
	stop context.CancelFunc
}

func (w *stopAt) Write(p []byte) (int, error) {
	n, err := w.Buffer.Write(p)
	if strings.Contains(w.String(), w.text) {
		w.stop()
	}
	return n, err
}

// TestDemoAnswersARequest holds the README's first command: one answered
// request, then in the foreground until stopped.
func TestDemoAnswersARequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := settings.Default()
	any := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: any, Targets: any, Inner: any, Operators: any, Metrics: any}
	out := &stopAt{text: "Ctrl-C", stop: cancel}
	is.NoErr(run(ctx, s, out, io.Discard))
	is.True(strings.Contains(out.String(), `"target":"t1"`))
	is.True(strings.Contains(out.String(), `"workspace":"lab"`))
}
