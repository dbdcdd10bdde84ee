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

const mailboxSize = 4096

// message is a change of or a question to the model. The task calls it on its
// own goroutine.
type message func(m *model, now time.Time)

// Target is one stand-in, bound but not running. Its task owns the model; the
// HTTP handlers and the methods of Target send it messages.
type Target struct {
	options  Options
	listener net.Listener
	mailbox  task.Mailbox[message]
	control  task.Mailbox[bool] // true freezes, false returns
}

// New binds a stand-in to a loopback port.
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

// ID is the name under which the stand-in announces itself.
func (t *Target) ID() core.TargetID { return core.TargetID(t.options.ID) }

// Address is the bound address, host:port.
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

// loop owns the model. While the stand-in is frozen it answers nothing and the
// messages wait, as they would at a stopped process.
func (t *Target) loop(ctx context.Context, failed <-chan error) error {
	m := newModel(t.options, time.Now())
	if !t.options.StartsWarm {
		m.cold(time.Now())
	}
	work := t.mailbox.C()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case frozen := <-t.control.C():
			work = t.mailbox.C()
			if frozen {
				work = nil
			}
		case change := <-work:
			change(m, time.Now())
		}
	}
}

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

func (t *Target) tell(change message) { _ = t.mailbox.Post(change) }

// Freeze stops the stand-in as a paused process stops; Thaw lets it go on as if
// nothing had happened.
func (t *Target) Freeze() { _ = t.control.Post(true) }

// Thaw ends a freeze.
func (t *Target) Thaw() { _ = t.control.Post(false) }

// Restart makes it a new incarnation: cold and without grants.
func (t *Target) Restart() { t.tell((*model).restart) }

// FallCold starts the warm-up anew without a restart.
func (t *Target) FallCold() { t.tell((*model).cold) }

// Leave announces that the stand-in drains, Stay that it no longer does.
func (t *Target) Leave() { t.tell(func(m *model, _ time.Time) { m.leaving = true }) }

// Stay ends a drain.
func (t *Target) Stay() { t.tell(func(m *model, _ time.Time) { m.leaving = false }) }

// Straggle multiplies the time of each request by factor; 0 or 1 ends it.
func (t *Target) Straggle(factor float64) {
	t.tell(func(m *model, _ time.Time) { m.straggle = factor })
}

// LieAboutLoad reports inFlight whatever is true; a negative one ends the lie.
func (t *Target) LieAboutLoad(inFlight int) {
	t.tell(func(m *model, _ time.Time) { m.loadLie = inFlight })
}

// SpoilAnswers gives the next n answers a fault.
func (t *Target) SpoilAnswers(f AnswerFault, n int, lateBy time.Duration) {
	t.tell(func(m *model, _ time.Time) { m.fault, m.faultsLeft, m.lateBy = f, n, lateBy })
}

// SilenceConnections makes every open connection silent for good; new ones work.
func (t *Target) SilenceConnections() { t.tell(func(m *model, _ time.Time) { m.silence() }) }

// Runs returns a copy of every run so far.
func (t *Target) Runs(ctx context.Context) ([]Run, error) {
	return ask(ctx, t, func(m *model, _ time.Time) []Run { return slices.Clone(m.runs) })
}

// Tenures returns the time spans in which each shard was granted.
func (t *Target) Tenures(ctx context.Context) ([]Tenure, error) {
	return ask(ctx, t, func(m *model, now time.Time) []Tenure {
		m.grants.expire(now)
		return m.grants.tenures()
	})
}

// Counts sums up what happened so far.
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
			Incarnation: uint64(m.incarnation), Slots: o.Slots, Connections: o.Connections, Leaving: m.leaving,
		}
	})
}
