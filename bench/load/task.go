package load

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/task"
)

const mailboxSize = 4096

// recorder owns the results of one run until every request has ended.
type recorder struct{ mailbox task.Mailbox[Sample] }

func newRecorder() *recorder {
	return &recorder{mailbox: task.NewMailbox[Sample]("recorder", mailboxSize)}
}

// collect returns the results of n requests.
func (r *recorder) collect(n int) *Results {
	results := newResults()
	for range n {
		results.add(<-r.mailbox.C())
	}
	return results
}

// Run sends the streams' requests to caller for length, and returns the results
// when the last has ended. The plan follows from the seed alone.
func Run(ctx context.Context, c *Caller, streams []Stream, length time.Duration, seed uint64) *Results {
	requests := plan(streams, length, seed)
	r := newRecorder()
	go r.send(ctx, c, streams, requests)
	results := r.collect(len(requests))
	results.judgeRates(streams)
	return results
}

// send starts each request at its time.
func (r *recorder) send(ctx context.Context, c *Caller, streams []Stream, requests []planned) {
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i, p := range requests {
		if left := p.at - time.Since(start); left > 0 {
			timer.Reset(left)
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
