package load

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/task"
)

const mailboxSize = 4096 // messages

// recorder owns the results of one run until every request has ended.
type recorder struct{ mailbox task.Mailbox[Sample] }

func newRecorder() *recorder {
	return &recorder{mailbox: task.NewMailbox[Sample]("recorder", mailboxSize)}
}

// collect waits for n finished requests and returns their results.
func (r *recorder) collect(n int) *Results {
	results := newResults()
	for range n {
		results.add(<-r.mailbox.C())
	}
	return results
}

// Run sends the streams' requests through c for length, and returns the results
// once the last request has ended. Equal streams, length and seed give equal plans.
func Run(ctx context.Context, c *Caller, streams []Stream, length time.Duration, seed uint64) *Results {
	requests := plan(streams, length, seed)
	r := newRecorder()
	go r.send(ctx, c, streams, requests)
	results := r.collect(len(requests))
	results.countRateErrors(streams)
	return results
}

// send starts each request at its planned time, in a goroutine of its own.
func (r *recorder) send(ctx context.Context, c *Caller, streams []Stream, requests []planned) {
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, p := range requests {
		if wait := p.at - time.Since(start); wait > 0 {
			timer.Reset(wait)
			<-timer.C
		}
		go func() {
			sample := c.call(ctx, i, streams[p.stream], p)
			sample.At = p.at
			sample.Latency = time.Since(start.Add(p.at))
			_ = r.mailbox.Send(context.WithoutCancel(ctx), sample)
		}()
	}
}
