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

// stopAt is a buffer that calls stop once text has been written to it.
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

// TestDemoAnswersARequest checks that the demo, the first command in the README,
// shows one answered request and then runs until it is stopped.
func TestDemoAnswersARequest(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := settings.Default()
	loopback := "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: loopback, Targets: loopback, Inner: loopback, Operators: loopback, Metrics: loopback}
	out := &stopAt{text: "Ctrl-C", stop: cancel}
	is.NoErr(run(ctx, s, out, io.Discard))
	is.True(strings.Contains(out.String(), `"target":"t1"`))
	is.True(strings.Contains(out.String(), `"workspace":"lab"`))
}
