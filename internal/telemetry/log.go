// Package telemetry makes the logger and the metrics of one daemon.
package telemetry

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger of JSON lines with time and VM. Lines below
// minLevel (debug, info, warn or error) are dropped.
func NewLogger(w io.Writer, vm, minLevel string) log.Logger {
	logger := log.NewJSONLogger(log.NewSyncWriter(w))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "vm", vm)
}
