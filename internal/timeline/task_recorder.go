package timeline

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize    = 4096
	ringCapacity   = 8192 // events
	refusalsPeriod = time.Second
)

type message interface{ isMessage() }

type record struct {
	event Event
	at    time.Time
}

type observe struct{ stamp Stamp }

type refused struct{ refusal Refusal }

type configChanged struct{ state *config.State }

type fetch struct {
	query Query
	reply task.Reply[[]Event]
}

func (record) isMessage()        {}
func (observe) isMessage()       {}
func (refused) isMessage()       {}
func (configChanged) isMessage() {}
func (fetch) isMessage()         {}

// Recorder owns the events of one daemon and its hybrid logical clock.
type Recorder struct {
	vm         core.VM
	dataCentre core.DataCentre
	dropped    func()
	mailbox    task.Mailbox[message]
	stamp      task.Snapshot[Stamp]

	state    *config.State // newest configuration recorded
	clock    Clock
	ring     *Ring
	seq      uint64
	refusals *Refusals
}

// NewRecorder returns the recorder of one daemon. It calls dropped, from the
// caller's goroutine, for each event that found the mailbox full.
func NewRecorder(vm core.VM, dc core.DataCentre, dropped func()) *Recorder {
	return &Recorder{
		vm:         vm,
		dataCentre: dc,
		dropped:    dropped,
		mailbox:    task.NewMailbox[message]("timeline", mailboxSize),
		stamp:      task.NewSnapshot(&Stamp{}),
		ring:       NewRing(ringCapacity),
		refusals:   NewRefusals(),
	}
}

// Record stores e without waiting. An event that finds the mailbox full is
// dropped and counted.
func (r *Recorder) Record(e Event) {
	if r.mailbox.Post(record{event: e, at: time.Now()}) != nil {
		r.dropped()
	}
}

// Refused counts one refused request. Many of one kind become one event.
func (r *Recorder) Refused(k Refusal) {
	if r.mailbox.Post(refused{k}) != nil {
		r.dropped()
	}
}

// ConfigurationChanged records what follows from s coming into force.
func (r *Recorder) ConfigurationChanged(s *config.State) {
	if r.mailbox.Post(configChanged{s}) != nil {
		r.dropped()
	}
}

// Observe takes over the stamp of a peer's message.
func (r *Recorder) Observe(s Stamp) { _ = r.mailbox.Post(observe{s}) }

// Stamp returns the stamp for a message to a peer. It is not before the stamp
// of any event that the recorder has stored, nor before the wall clock.
func (r *Recorder) Stamp() Stamp {
	c := Clock{last: *r.stamp.Load()}
	return c.Tick(time.Now())
}

// Events returns the stored events that q selects, oldest first.
func (r *Recorder) Events(ctx context.Context, q Query) ([]Event, error) {
	return task.Ask(ctx, r.mailbox, func(reply task.Reply[[]Event]) message { return fetch{q, reply} })
}

// Serve runs the task until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	ticker := time.NewTicker(refusalsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.mailbox.C():
			r.handle(m)
		case now := <-ticker.C:
			for _, e := range r.refusals.Flush() {
				r.store(e, now)
			}
		}
	}
}

func (r *Recorder) handle(m message) {
	switch m := m.(type) {
	case record:
		r.store(m.event, m.at)
	case refused:
		r.refusals.Add(m.refusal)
	case observe:
		if r.clock.Observe(m.stamp, time.Now()) {
			r.publishStamp()
		}
	case configChanged:
		for _, e := range ConfigurationEvents(r.state, m.state) {
			r.store(e, time.Now())
		}
		r.state = m.state
	case fetch:
		m.reply.Answer(r.ring.Select(m.query))
	}
}

func (r *Recorder) store(e Event, at time.Time) {
	r.seq++
	e.VM, e.Seq, e.Stamp = r.vm, r.seq, r.clock.Tick(at)
	if e.DataCentre == "" {
		e.DataCentre = r.dataCentre
	}
	r.ring.Add(e)
	r.publishStamp()
}

func (r *Recorder) publishStamp() {
	last := r.clock.Last()
	r.stamp.Publish(&last)
}
