package serve

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/claims"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/spread"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// world is a daemon's surroundings: one cell with one keyed and one open
// service, and a sender that follows a script.
type world struct {
	*Server
	dispatch *dispatch.Task
	spread   *spread.Task
	claims   *claims.Task
	table    task.Snapshot[cell.Table]
	lease    task.Snapshot[cell.Lease]
	script   func(ctx context.Context, s dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error)
	sent     chan core.TargetID
	noGrant  bool // targets own nothing by a live grant
}

func (w *world) Table() *cell.Table                          { return w.table.Load() }
func (w *world) Lease() cell.Lease                           { return *w.lease.Load() }
func (w *world) Owns(dispatch.Slot, time.Time) bool          { return !w.noGrant }
func (w *world) Admit(context.Context, core.Workspace) error { return nil }

func (w *world) Send(ctx context.Context, s dispatch.Slot, _ config.Service, _ *exchange.Request) (*exchange.Answer, exchange.Attempt, error) {
	w.sent <- s.Target.ID
	return w.script(ctx, s, len(w.sent)-1)
}

func (w *world) Forward(context.Context, config.VM, *exchange.Request) (*exchange.Answer, error) {
	return nil, result.New(result.CellUnreachable, "no other daemon")
}

func ok() (*exchange.Answer, exchange.Attempt, error) {
	return &exchange.Answer{Status: 200, Body: []byte("ok"), Length: 2}, exchange.Attempt{Latency: time.Millisecond}, nil
}

func failure(code result.Code, ran result.Ran) (*exchange.Answer, exchange.Attempt, error) {
	return nil, exchange.Attempt{Code: code, Ran: ran}, &result.Error{Code: code, Ran: ran}
}

// inWorld runs test in a bubble of fake time, with targets t0 and t1.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{dispatch: dispatch.NewTask("vm"), spread: spread.NewTask(), sent: make(chan core.TargetID, 1024)}
		w.table = task.NewSnapshot(cell.NewTable("c"))
		w.lease = task.NewSnapshot(&cell.Lease{Until: time.Now().Add(time.Hour)})
		state := config.NewState()
		state.DataCentres["dc"] = config.DataCentre{Name: "dc", Status: config.DataCentreActive}
		state.Cells["c"] = config.Cell{Name: "c", DataCentre: "dc", Members: []core.VM{"vm"}}
		w.claims = claims.NewTask("vm", nil)
		state.VMs["vm"] = config.VM{Name: "vm", Cell: "c"}
		state.Services["open"] = config.Service{Name: "open", Created: time.Now()}
		state.Services["keyed"] = config.Service{Name: "keyed", Keyed: true, Shards: 1}
		state.Homes["keyed"] = config.ShardHomes{Cells: []core.Cell{"c"}, Home: []uint16{0}}
		w.Server = &Server{
			Self: "vm", Config: task.NewSnapshot(state), Limiter: w, Ownership: w,
			Slots: w.dispatch, Sender: w, Forwarder: w, Spread: w.spread, Claims: w.claims,
		}
		done := make(chan error, 3)
		go func() { done <- w.dispatch.Serve(ctx) }()
		go func() { done <- w.spread.Serve(ctx) }()
		go func() { done <- w.claims.Serve(ctx) }()
		w.claims.ConfigChanged(state)
		w.assign(1, "t0")
		test(t, w)
		cancel()
		for range cap(done) {
			<-done
		}
	})
}

// assign publishes a table in which owner has the one shard.
func (w *world) assign(counter uint64, owner core.TargetID) {
	table := cell.NewTable("c")
	table.Fence.Counter = counter
	for _, id := range []core.TargetID{"t0", "t1"} {
		for _, service := range []core.Service{"open", "keyed"} {
			name := id + core.TargetID("-"+service)
			table.Targets[name] = cell.TargetEntry{
				Target: core.Target{ID: name, Service: service, Slots: 4, Incarnation: 1}, Dispatcher: "vm",
			}
		}
	}
	table.Shards["keyed"] = []cell.Assignment{{Target: owner + "-keyed", Fence: table.Fence}}
	w.table.Publish(table)
	w.dispatch.TableChanged(table)
	w.spread.TableChanged(table)
	synctest.Wait()
}

func request(service core.Service, repeatable bool) *exchange.Request {
	return &exchange.Request{Service: service, Workspace: "w", Key: "k", Retryable: repeatable, Deadline: time.Now().Add(10 * time.Second)}
}

// TestSentAgainOnlyWhenProved: a request that may not be repeated is sent again
// after "not run" and never after "may have run".
func TestSentAgainOnlyWhenProved(t *testing.T) {
	cases := []struct {
		code       result.Code
		ran        result.Ran
		repeatable bool
		sends      int
	}{
		{result.TargetRefused, result.NotRun, false, 2},
		{result.ConnectFailed, result.NotRun, false, 2},
		{result.ConnectionLost, result.NotRun, false, 2},
		{result.ConnectionLost, result.MayHaveRun, false, 1},
		{result.TargetTimeout, result.MayHaveRun, false, 1},
		{result.AnswerMismatch, result.MayHaveRun, false, 1},
		{result.ConnectionLost, result.MayHaveRun, true, 2},
	}
	for _, test := range cases {
		inWorld(t, func(t *testing.T, w *world) {
			is := is.New(t)
			w.script = func(_ context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number == 0 {
					return failure(test.code, test.ran)
				}
				return ok()
			}
			_, err := w.Serve(t.Context(), request("open", test.repeatable))
			is.Equal(err == nil, test.sends == 2)
			is.Equal(len(w.sent), test.sends)
			is.NoErr(w.dispatch.AwaitIdle(t.Context())) // no slot is lost
		})
	}
}

// TestMoveDuringTheWait: the shard moves while the request waits for a slot. It
// is not sent to the old owner, and reaches the new one.
func TestMoveDuringTheWait(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		is := is.New(t)
		release := make(chan struct{})
		w.script = func(_ context.Context, s dispatch.Slot, _ int) (*exchange.Answer, exchange.Attempt, error) {
			if s.Target.ID == "t0-keyed" {
				<-release
			}
			return ok()
		}
		ended := make(chan error, 2)
		for range 2 { // t0 is cold: the second waits
			go func() {
				_, err := w.Serve(t.Context(), request("keyed", false))
				ended <- err
			}()
			synctest.Wait()
		}
		w.assign(2, "t1")
		close(release)
		is.NoErr(<-ended)
		is.NoErr(<-ended)
		is.Equal(<-w.sent, core.TargetID("t0-keyed"))
		is.Equal(<-w.sent, core.TargetID("t1-keyed"))
	})
}

// TestWithoutALeaseNothingIsSent: a member whose lease ran out sends nothing,
// however long it takes, and serves at once when it has one again.
func TestWithoutALeaseNothingIsSent(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) { return ok() }
		w.lease.Publish(&cell.Lease{})
		ended := make(chan error)
		go func() {
			_, err := w.Serve(t.Context(), request("keyed", false))
			ended <- err
		}()
		time.Sleep(time.Second)
		is.Equal(len(w.sent), 0)
		w.lease.Publish(&cell.Lease{Until: time.Now().Add(time.Hour)})
		is.NoErr(<-ended)
		is.Equal(len(w.sent), 1)
	})
}

// TestStreamOutlivesTheDeadline: an archive pull goes on after the service's
// deadline, and holds its slot to its last byte.
func TestStreamOutlivesTheDeadline(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		is := is.New(t)
		var sending context.Context
		w.script = func(ctx context.Context, _ dispatch.Slot, _ int) (*exchange.Answer, exchange.Attempt, error) {
			sending = ctx
			stream := io.NopCloser(strings.NewReader("long"))
			return &exchange.Answer{Status: 200, Stream: stream, Length: 4}, exchange.Attempt{Latency: time.Millisecond}, nil
		}
		a, err := w.Serve(t.Context(), request("open", false))
		is.NoErr(err)
		time.Sleep(time.Hour)
		is.NoErr(sending.Err())
		idle, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(w.dispatch.AwaitIdle(idle) != nil)
		a.Stream.Close()
		is.NoErr(w.dispatch.AwaitIdle(t.Context()))
		is.True(sending.Err() != nil)
	})
}

// TestHedgeOnlyWhatMayBeRepeated: a request on a target that froze is sent to
// another one, if it may be repeated, and the loser's slot comes back.
func TestHedgeOnlyWhatMayBeRepeated(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		inWorld(t, func(t *testing.T, w *world) {
			is := is.New(t)
			w.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) { return ok() }
			for range 200 {
				_, err := w.Serve(t.Context(), request("open", false))
				is.NoErr(err)
			}
			before := len(w.sent)
			w.script = func(ctx context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number > before {
					return ok()
				}
				<-ctx.Done()
				return failure(result.TargetTimeout, result.MayHaveRun)
			}
			_, err := w.Serve(t.Context(), request("open", repeatable))
			is.Equal(err == nil, repeatable)
			is.NoErr(w.dispatch.AwaitIdle(t.Context()))
		})
	}
}

// TestResendDoesNotRunAgain: a resend with the same idempotency key gets the
// stored answer, or "may have run" when the outcome is not known; it runs only
// after "not run".
func TestResendDoesNotRunAgain(t *testing.T) {
	cases := []struct {
		first      result.Code
		ran        result.Ran
		resend     result.Code
		totalSends int
	}{
		{result.OK, result.HasRun, result.OK, 1},
		{result.ConnectionLost, result.MayHaveRun, result.DuplicateRequest, 1},
		{result.Internal, result.NotRun, result.OK, 2},
	}
	for _, test := range cases {
		inWorld(t, func(t *testing.T, w *world) {
			is := is.New(t)
			time.Sleep(2 * time.Second) // the service is older than the clocks' difference
			w.script = func(_ context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number == 0 && test.first != result.OK {
					return failure(test.first, test.ran)
				}
				return ok()
			}
			for i, want := range []result.Code{test.first, test.resend} {
				r := request("open", false)
				r.ID, r.IdempotencyKey = core.RequestID(string(rune('a'+i))), "k"
				_, err := w.Serve(t.Context(), r)
				is.Equal(result.CodeOf(err), want)
				synctest.Wait()
			}
			is.Equal(len(w.sent), test.totalSends)
		})
	}
}

// TestNothingIsSentWithoutALiveGrant holds that the owner's grant is checked at
// the moment of sending, and that the refusal "not run" is true.
func TestNothingIsSentWithoutALiveGrant(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		is := is.New(t)
		w.noGrant = true
		r := request("keyed", false)
		r.Deadline = time.Now().Add(50 * time.Millisecond)
		_, err := w.Serve(t.Context(), r)
		is.Equal(result.From(err).Ran, result.NotRun)
		is.Equal(len(w.sent), 0)
	})
}
