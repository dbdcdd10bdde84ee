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

// simulation is a server in a simulated cell with one keyed and one open service.
// Its sender follows a script.
type simulation struct {
	*Server
	dispatch *dispatch.Task
	spread   *spread.Task
	claims   *claims.Task
	table    task.Snapshot[cell.Table]
	lease    task.Snapshot[cell.Lease]
	script   func(ctx context.Context, s dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error)
	sent     chan core.TargetID
	noGrant  bool // no target has a live grant
}

func (sim *simulation) Table() *cell.Table                          { return sim.table.Load() }
func (sim *simulation) Lease() cell.Lease                           { return *sim.lease.Load() }
func (sim *simulation) Owns(dispatch.Slot, time.Time) bool          { return !sim.noGrant }
func (sim *simulation) Admit(context.Context, core.Workspace) error { return nil }

func (sim *simulation) Send(ctx context.Context, s dispatch.Slot, _ config.Service, _ *exchange.Request) (*exchange.Answer, exchange.Attempt, error) {
	sim.sent <- s.Target.ID
	return sim.script(ctx, s, len(sim.sent)-1)
}

func (sim *simulation) Forward(context.Context, config.VM, *exchange.Request) (*exchange.Answer, error) {
	return nil, result.New(result.CellUnreachable, "no other daemon")
}

func ok() (*exchange.Answer, exchange.Attempt, error) {
	return &exchange.Answer{Status: 200, Body: []byte("ok"), Length: 2}, exchange.Attempt{Latency: time.Millisecond}, nil
}

func failure(code result.Code, ran result.Ran) (*exchange.Answer, exchange.Attempt, error) {
	return nil, exchange.Attempt{Code: code, Ran: ran}, &result.Error{Code: code, Ran: ran}
}

// simulate runs test with simulated time and with targets t0 and t1 of each
// service.
func simulate(t *testing.T, test func(t *testing.T, sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := &simulation{dispatch: dispatch.NewTask("vm"), spread: spread.NewTask(), sent: make(chan core.TargetID, 1024)}
		sim.table = task.NewSnapshot(cell.NewTable("c"))
		sim.lease = task.NewSnapshot(&cell.Lease{Until: time.Now().Add(time.Hour)})
		state := config.NewState()
		state.DataCentres["dc"] = config.DataCentre{Name: "dc", Status: config.DataCentreActive}
		state.Cells["c"] = config.Cell{Name: "c", DataCentre: "dc", Members: []core.VM{"vm"}}
		sim.claims = claims.NewTask("vm", nil)
		state.VMs["vm"] = config.VM{Name: "vm", Cell: "c"}
		state.Services["open"] = config.Service{Name: "open", Created: time.Now()}
		state.Services["keyed"] = config.Service{Name: "keyed", Keyed: true, Shards: 1}
		state.Homes["keyed"] = config.ShardHomes{Cells: []core.Cell{"c"}, Home: []uint16{0}}
		sim.Server = &Server{
			Self: "vm", Config: task.NewSnapshot(state), Limiter: sim, Ownership: sim,
			Slots: sim.dispatch, Sender: sim, Forwarder: sim, Spread: sim.spread, Claims: sim.claims,
		}
		done := make(chan error, 3)
		go func() { done <- sim.dispatch.Serve(ctx) }()
		go func() { done <- sim.spread.Serve(ctx) }()
		go func() { done <- sim.claims.Serve(ctx) }()
		sim.claims.ConfigChanged(state)
		sim.assign(1, "t0")
		test(t, sim)
		cancel()
		for range cap(done) {
			<-done
		}
	})
}

// assign publishes a table in which owner owns the only shard of the keyed
// service.
func (sim *simulation) assign(counter uint64, owner core.TargetID) {
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
	sim.table.Publish(table)
	sim.dispatch.TableChanged(table)
	sim.spread.TableChanged(table)
	synctest.Wait()
}

func request(service core.Service, retryable bool) *exchange.Request {
	return &exchange.Request{Service: service, Workspace: "w", Key: "k", Retryable: retryable, Deadline: time.Now().Add(10 * time.Second)}
}

// TestRetriedOnlyWhenNotRun checks that a request which is not retryable is sent
// again after "not run" and never after "may have run".
func TestRetriedOnlyWhenNotRun(t *testing.T) {
	cases := []struct {
		code      result.Code
		ran       result.Ran
		retryable bool
		sends     int
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
		simulate(t, func(t *testing.T, sim *simulation) {
			is := is.New(t)
			sim.script = func(_ context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number == 0 {
					return failure(test.code, test.ran)
				}
				return ok()
			}
			_, err := sim.Serve(t.Context(), request("open", test.retryable))
			is.Equal(err == nil, test.sends == 2)
			is.Equal(len(sim.sent), test.sends)
			is.NoErr(sim.dispatch.AwaitIdle(t.Context())) // every slot was released
		})
	}
}

// TestShardMovesWhileRequestWaits checks that a request whose shard moves while it
// waits for a slot is sent to the new owner and not to the old one.
func TestShardMovesWhileRequestWaits(t *testing.T) {
	simulate(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		release := make(chan struct{})
		sim.script = func(_ context.Context, s dispatch.Slot, _ int) (*exchange.Answer, exchange.Attempt, error) {
			if s.Target.ID == "t0-keyed" {
				<-release
			}
			return ok()
		}
		ended := make(chan error, 2)
		for range 2 { // t0 is cold and takes one request at a time: the second waits
			go func() {
				_, err := sim.Serve(t.Context(), request("keyed", false))
				ended <- err
			}()
			synctest.Wait()
		}
		sim.assign(2, "t1")
		close(release)
		is.NoErr(<-ended)
		is.NoErr(<-ended)
		is.Equal(<-sim.sent, core.TargetID("t0-keyed"))
		is.Equal(<-sim.sent, core.TargetID("t1-keyed"))
	})
}

// TestWithoutALeaseNothingIsSent checks that a member whose lease has expired sends
// nothing, and sends the waiting request once it has a live lease again.
func TestWithoutALeaseNothingIsSent(t *testing.T) {
	simulate(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		sim.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) { return ok() }
		sim.lease.Publish(&cell.Lease{})
		ended := make(chan error)
		go func() {
			_, err := sim.Serve(t.Context(), request("keyed", false))
			ended <- err
		}()
		time.Sleep(time.Second)
		is.Equal(len(sim.sent), 0)
		sim.lease.Publish(&cell.Lease{Until: time.Now().Add(time.Hour)})
		is.NoErr(<-ended)
		is.Equal(len(sim.sent), 1)
	})
}

// TestStreamOutlivesTheDeadline checks that a streamed answer, such as a large
// download, continues after the request's deadline and holds its slot until the
// stream is closed.
func TestStreamOutlivesTheDeadline(t *testing.T) {
	simulate(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		var sending context.Context
		sim.script = func(ctx context.Context, _ dispatch.Slot, _ int) (*exchange.Answer, exchange.Attempt, error) {
			sending = ctx
			stream := io.NopCloser(strings.NewReader("long"))
			return &exchange.Answer{Status: 200, Stream: stream, Length: 4}, exchange.Attempt{Latency: time.Millisecond}, nil
		}
		a, err := sim.Serve(t.Context(), request("open", false))
		is.NoErr(err)
		time.Sleep(time.Hour)
		is.NoErr(sending.Err())
		idle, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(sim.dispatch.AwaitIdle(idle) != nil)
		a.Stream.Close()
		is.NoErr(sim.dispatch.AwaitIdle(t.Context()))
		is.True(sending.Err() != nil)
	})
}

// TestHedgeOnlyRetryableRequests checks that a request whose target freezes is
// sent to another target only if it is retryable, and that both slots are
// released.
func TestHedgeOnlyRetryableRequests(t *testing.T) {
	for _, retryable := range []bool{true, false} {
		simulate(t, func(t *testing.T, sim *simulation) {
			is := is.New(t)
			sim.script = func(context.Context, dispatch.Slot, int) (*exchange.Answer, exchange.Attempt, error) { return ok() }
			for range 200 {
				_, err := sim.Serve(t.Context(), request("open", false))
				is.NoErr(err)
			}
			before := len(sim.sent)
			sim.script = func(ctx context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number > before {
					return ok()
				}
				<-ctx.Done()
				return failure(result.TargetTimeout, result.MayHaveRun)
			}
			_, err := sim.Serve(t.Context(), request("open", retryable))
			is.Equal(err == nil, retryable)
			is.NoErr(sim.dispatch.AwaitIdle(t.Context()))
		})
	}
}

// TestResendDoesNotRunAgain checks that a request sent again with the same
// idempotency key gets the stored answer, or is refused as a duplicate when the
// outcome of the first is not known, and runs only after "not run".
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
		simulate(t, func(t *testing.T, sim *simulation) {
			is := is.New(t)
			time.Sleep(2 * time.Second) // members do not vote on claims of a service younger than claims.clockSkew
			sim.script = func(_ context.Context, _ dispatch.Slot, number int) (*exchange.Answer, exchange.Attempt, error) {
				if number == 0 && test.first != result.OK {
					return failure(test.first, test.ran)
				}
				return ok()
			}
			for i, want := range []result.Code{test.first, test.resend} {
				r := request("open", false)
				r.ID, r.IdempotencyKey = core.RequestID(string(rune('a'+i))), "k"
				_, err := sim.Serve(t.Context(), r)
				is.Equal(result.CodeOf(err), want)
				synctest.Wait()
			}
			is.Equal(len(sim.sent), test.totalSends)
		})
	}
}

// TestNothingIsSentWithoutALiveGrant checks that the owner's grant is checked just
// before a request is sent, and that a request refused as "not run" was not sent.
func TestNothingIsSentWithoutALiveGrant(t *testing.T) {
	simulate(t, func(t *testing.T, sim *simulation) {
		is := is.New(t)
		sim.noGrant = true
		r := request("keyed", false)
		r.Deadline = time.Now().Add(50 * time.Millisecond)
		_, err := sim.Serve(t.Context(), r)
		is.Equal(result.From(err).Ran, result.NotRun)
		is.Equal(len(sim.sent), 0)
	})
}
