package faketarget

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/announce"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const mailboxSize = 4096 // messages

// message is a function that reads or changes the model. The task calls it on its
// own goroutine.
type message func(m *model, now time.Time)

// Target is one fake target. New binds it and Run starts it. Its task owns the
// model; the HTTP handlers and the methods of Target send messages to the task.
type Target struct {
	options  Options
	listener net.Listener
	mailbox  task.Mailbox[message]
	control  task.Mailbox[bool] // true freezes the target, false ends the freeze
}

// New binds a fake target to a loopback port.
func New(o Options) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("fake target %s: %w", o.ID, err)
	}
	return &Target{
		options: o, listener: l,
		mailbox: task.NewMailbox[message]("fake target "+o.ID, mailboxSize),
		control: task.NewMailbox[bool]("fake target "+o.ID+" control", 16),
	}, nil
}

// ID returns the name under which the fake target announces itself.
func (t *Target) ID() core.TargetID { return core.TargetID(t.options.ID) }

// Address returns the bound address, host:port.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Run announces and serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	srv := t.server(ctx)
	failed := make(chan error, 1)
	announced := make(chan struct{})
	go func() { failed <- srv.Serve(t.listener) }()
	go func() {
		defer close(announced)
		t.announceUntil(ctx)
	}()
	err := t.loop(ctx, failed)
	srv.Close()
	<-announced
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// loop owns the model. While the fake target is frozen, messages wait in the
// mailbox and nothing is answered, as with a process that is paused.
func (t *Target) loop(ctx context.Context, failed <-chan error) error {
	m := newModel(t.options, time.Now())
	if !t.options.StartsWarm {
		m.beginColdStart(time.Now())
	}
	incoming := t.mailbox.C()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case frozen := <-t.control.C():
			incoming = t.mailbox.C()
			if frozen {
				incoming = nil
			}
		case change := <-incoming:
			change(m, time.Now())
		}
	}
}

// ask returns the result of question, which the task calls.
func ask[R any](ctx context.Context, t *Target, question func(m *model, now time.Time) R) (R, error) {
	reply := task.NewReply[R]()
	err := t.mailbox.Send(ctx, func(m *model, now time.Time) { reply.Answer(question(m, now)) })
	if err != nil {
		var none R
		return none, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		var none R
		return none, ctx.Err()
	}
}

func (t *Target) send(change message) { _ = t.mailbox.Post(change) }

// Freeze stops the fake target as a pause of its process would. Thaw lets it
// continue with its state and its waiting messages.
func (t *Target) Freeze() { _ = t.control.Post(true) }

// Thaw ends the freeze.
func (t *Target) Thaw() { _ = t.control.Post(false) }

// Restart begins a new incarnation, in a cold start and without grants.
func (t *Target) Restart() { t.send((*model).restart) }

// BeginColdStart begins a cold start without a restart.
func (t *Target) BeginColdStart() { t.send((*model).beginColdStart) }

// Drain makes the fake target announce that it drains.
func (t *Target) Drain() { t.send(func(m *model, _ time.Time) { m.draining = true }) }

// Undrain makes the fake target announce that it no longer drains.
func (t *Target) Undrain() { t.send(func(m *model, _ time.Time) { m.draining = false }) }

// SlowDown multiplies the service time of each request by factor; 0 or 1 restores
// it.
func (t *Target) SlowDown(factor float64) {
	t.send(func(m *model, _ time.Time) { m.slowdown = factor })
}

// OverrideReportedLoad sets the number of requests in flight to report in place of
// the actual one; a negative number restores the actual one.
func (t *Target) OverrideReportedLoad(inFlight int) {
	t.send(func(m *model, _ time.Time) { m.reportedLoad = inFlight })
}

// InjectAnswerFaults injects fault f into the next n answers. delay is that of
// AnswerDelayed.
func (t *Target) InjectAnswerFaults(f AnswerFault, n int, delay time.Duration) {
	t.send(func(m *model, _ time.Time) { m.fault, m.faultsLeft, m.delay = f, n, delay })
}

// HangConnections makes the fake target never answer again on any connection
// that is open now. New connections are served.
func (t *Target) HangConnections() { t.send(func(m *model, _ time.Time) { m.hangConnections() }) }

// Runs returns a copy of all runs so far.
func (t *Target) Runs(ctx context.Context) ([]Run, error) {
	return ask(ctx, t, func(m *model, _ time.Time) []Run { return slices.Clone(m.runs) })
}

// GrantPeriods returns the periods during which each shard was granted.
func (t *Target) GrantPeriods(ctx context.Context) ([]GrantPeriod, error) {
	return ask(ctx, t, func(m *model, now time.Time) []GrantPeriod {
		m.grants.expire(now)
		return m.grants.periods()
	})
}

// Counts returns the counters.
func (t *Target) Counts(ctx context.Context) (Counts, error) {
	return ask(ctx, t, func(m *model, _ time.Time) Counts { return m.summary() })
}

func (t *Target) announcement(ctx context.Context) (announce.Announcement, error) {
	return ask(ctx, t, func(m *model, _ time.Time) announce.Announcement {
		o := m.options
		address := o.Advertise
		if address == "" {
			address = t.Address()
		}
		return announce.Announcement{
			ID: o.ID, Service: o.Service, DataCentre: o.DataCentre, Address: address,
			Incarnation: uint64(m.incarnation), Slots: o.Slots, Connections: o.Connections, Leaving: m.draining,
		}
	})
}
