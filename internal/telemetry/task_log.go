package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/task"
)

const logMailboxSize = 4096

type line struct {
	kind kind
	text []byte // one JSON object and a newline
}

// LogTask owns the writer of a daemon's log. Each line is a JSON object with
// time, level, VM and message. Lines with the same level, message and result
// code are rate-limited: in each second the first few are written, followed by
// one line with the number of those left out.
type LogTask struct {
	out     io.Writer
	mailbox task.Mailbox[line]
	dropped func()
	logger  log.Logger
	limit   *limiter
}

// NewLogTask returns a task that writes to w. Lines below minLevel (debug, info,
// warn or error) are ignored. If the mailbox is full, a line is discarded and
// dropped is called from the goroutine that logs.
func NewLogTask(w io.Writer, vm, minLevel string, dropped func()) *LogTask {
	t := &LogTask{out: w, mailbox: task.NewMailbox[line]("log", logMailboxSize), dropped: dropped, limit: newLimiter()}
	filtered := level.NewFilter(mailboxLogger{t}, level.Allow(level.ParseDefault(minLevel, level.InfoValue())))
	t.logger = log.With(filtered, "ts", log.DefaultTimestampUTC, "vm", vm)
	return t
}

// Logger returns a logger whose lines the task writes. It never blocks.
func (t *LogTask) Logger() log.Logger { return t.logger }

// mailboxLogger is a log.Logger that encodes lines and posts them to the
// task's mailbox.
type mailboxLogger struct{ t *LogTask }

// Log implements log.Logger.
func (l mailboxLogger) Log(keyvals ...any) error {
	var text bytes.Buffer
	if err := log.NewJSONLogger(&text).Log(keyvals...); err != nil {
		return err
	}
	if l.t.mailbox.Post(line{kind: kindOf(keyvals), text: text.Bytes()}) != nil {
		l.t.dropped()
	}
	return nil
}

func kindOf(keyvals []any) kind {
	var k kind
	for i := 0; i+1 < len(keyvals); i += 2 {
		switch keyvals[i] {
		case level.Key():
			k.level = fmt.Sprint(keyvals[i+1])
		case "msg":
			k.msg = fmt.Sprint(keyvals[i+1])
		case "code":
			k.code = fmt.Sprint(keyvals[i+1])
		}
	}
	return k
}

// Serve writes lines until ctx ends, and then the lines left in the mailbox.
func (t *LogTask) Serve(ctx context.Context) error {
	ticker := time.NewTicker(limitPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.drain()
			return ctx.Err()
		case l := <-t.mailbox.C():
			t.write(l)
		case now := <-ticker.C:
			t.summarize(now)
		}
	}
}

func (t *LogTask) drain() {
	for t.mailbox.Len() > 0 {
		t.write(<-t.mailbox.C())
	}
	t.summarize(time.Now().Add(limitPeriod))
}

func (t *LogTask) write(l line) {
	if t.limit.allow(l.kind) {
		_, _ = t.out.Write(l.text)
	}
}

func (t *LogTask) summarize(now time.Time) {
	for _, r := range t.limit.endPeriod(now) {
		_ = log.NewJSONLogger(t.out).Log(
			"ts", now.UTC().Format(time.RFC3339Nano), "level", r.kind.level,
			"msg", "lines left out", "of", r.kind.msg, "code", r.kind.code, "count", r.count,
		)
	}
}
