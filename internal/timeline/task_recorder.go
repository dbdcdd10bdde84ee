package timeline

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize    = 4096
	ringCapacity   = 8192 // events
	refusalsPeriod = time.Second
	observePeriod  = 100 * time.Millisecond
)

type message interface{ isMessage() }

type record struct {
	event Event
	at    time.Time
}

type observe struct{ stamp Stamp }

type refused struct{ refusal Refusal }

type configChanged struct{ state *config.State }

type tableChanged struct{ table *cell.Table }

type fetch struct {
	query Query
	reply task.Reply[[]Event]
}

func (record) isMessage()        {}
func (observe) isMessage()       {}
func (refused) isMessage()       {}
func (configChanged) isMessage() {}
func (tableChanged) isMessage()  {}
func (fetch) isMessage()         {}

// Recorder owns the events of one daemon and its hybrid logical clock.
type Recorder struct {
	vm         core.VM
	dataCentre core.DataCentre
	dropped    func()
	mailbox    task.Mailbox[message]
	stamp      task.Snapshot[Stamp]
	observe    func() Observation

	state    *config.State // newest configuration recorded
	table    *cell.Table   // newest table recorded
	seen     Observation
	clock    Clock
	ring     *Ring
	seq      uint64
	refusals *Refusals
}

// NewRecorder returns the recorder of one daemon. It calls dropped, from the
// caller's goroutine, for each event that found the mailbox full. It asks observe,
// from its own goroutine, what the daemon sees; observe must not wait.
func NewRecorder(vm core.VM, dc core.DataCentre, dropped func(), observe func() Observation) *Recorder {
	return &Recorder{
		vm:         vm,
		dataCentre: dc,
		dropped:    dropped,
		observe:    observe,
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

// TableChanged records what follows from a new table of the cell, if this daemon
// is the coordinator that wrote it.
func (r *Recorder) TableChanged(t *cell.Table) {
	if r.mailbox.Post(tableChanged{t}) != nil {
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
	look := time.NewTicker(observePeriod)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.mailbox.C():
			r.handle(m)
		case now := <-look.C:
			r.look(now)
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
	case tableChanged:
		r.storeTable(m.table, time.Now())
	case fetch:
		m.reply.Answer(r.ring.Select(m.query))
	}
}

// storeTable records what a table changed. The first one of a run stands for
// what was there before it.
func (r *Recorder) storeTable(t *cell.Table, now time.Time) {
	prev := r.table
	if prev == nil {
		prev = cell.NewTable(t.Cell)
	}
	r.table = t
	if t.Coordinator != r.vm {
		return
	}
	for _, e := range TableEvents(prev, t) {
		r.store(e, now)
	}
}

func (r *Recorder) look(now time.Time) {
	seen := r.observe()
	for _, e := range ObservationEvents(r.vm, r.seen, seen) {
		r.store(e, now)
	}
	r.seen = seen
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
