package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Outcome is the result of one attempt to send a request to a target.
type Outcome struct {
	Ticket      uint64
	Target      core.TargetID
	Incarnation core.Incarnation
	Route       config.Route
	Key         uint32
	Latency     time.Duration
	Answered    bool          // a complete answer arrived
	Failed      bool          // the target answered with a failure, or is to blame for a missing answer
	Refused     bool          // the target did not run the request because it was full
	NotOwner    bool          // the target refused the key because it does not own it
	Load        *Load         // reported with the answer, or nil
	ColdFor     time.Duration // remaining time that the target reports to be cold
	Leaving     bool          // the target said that it is about to stop
	RestFor     time.Duration // how long the target, which refused, asked to get nothing from this VM
	Reset       bool          // the target reset the connection: it is full, or the answer got lost
	IdleTimeout time.Duration // how long the target said it keeps an idle connection open
	At          time.Time
}

// Done records the outcome of an attempt. Outcomes of an earlier incarnation of
// the target and of unknown tickets are ignored.
func (p *Pool) Done(o Outcome) {
	t := p.targets[o.Target]
	if t == nil || t.Incarnation != o.Incarnation {
		return
	}
	sentAt, ok := t.pending[o.Ticket]
	if !ok {
		return
	}
	delete(t.pending, o.Ticket)
	loadAtSend := t.expectedLoad(sentAt, float64(p.entryVMs))
	t.inFlight--
	if o.Load != nil {
		t.load, t.loadAt, t.loadInFlight = *o.Load, o.At, t.inFlight
		if t.load.Slowness <= 0 {
			t.load.Slowness = 1
		}
	}
	if o.ColdFor > 0 {
		t.coldUntil = o.At.Add(o.ColdFor)
	}
	if o.IdleTimeout > 0 {
		t.IdleTimeout = o.IdleTimeout
	}
	if o.Leaving {
		p.markLeaving(t, o.At)
	}
	if rest := o.At.Add(min(o.RestFor, maxRest)); rest.After(t.restUntil) {
		t.restUntil = rest
	}
	t.failureRate += smoothing * (indicator(o.Failed) - t.failureRate)
	t.refusalRate += smoothing * (indicator(o.Refused) - t.refusalRate)
	switch {
	case o.NotOwner:
		if held, ok := p.state.Keys[t.Service].Find(o.Key); ok && held.Owner == t.ID {
			t.refusedFence, t.refusedAt = held.Fence, o.At
		}
	case o.Answered:
		t.answeredAt = o.At
		t.endBackoff(o.At)
		if !o.Failed && !o.Refused {
			p.observe(t, o, loadAtSend)
		}
	case o.Failed:
		t.backOff(o.At, p.entryVMs)
		t.mayHaveStopped = t.mayHaveStopped || !o.Reset
	}
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// observe updates the mean processing time of the route and the speed of the
// target. loadAtSend is the expected load of the target when the request was
// sent.
func (p *Pool) observe(t *target, o Outcome, loadAtSend float64) {
	estimate := p.processingTimeOf(o.Route)
	queue := 1 + max(loadAtSend-t.slots(), 0)/t.slots()
	unqueued := float64(o.Latency) / queue / max(t.load.Slowness, 0.1)
	const meanSmoothing = 0.02
	estimate.mean += time.Duration(meanSmoothing * (unqueued/t.speed - float64(estimate.mean)))
	if estimate.mean < time.Millisecond {
		estimate.mean = time.Millisecond
	}
	ratio := min(max(unqueued/float64(estimate.mean), 0.2), 5)
	t.speed += smoothing / 2 * (ratio - t.speed)
	t.speed = min(max(t.speed, 0.3), 8)
	t.samples++
}
