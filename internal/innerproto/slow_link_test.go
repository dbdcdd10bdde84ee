package innerproto

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// slowLink connects one client to one server in memory. The client receives at most
// bytesPerSecond, and nothing if that is 0.
type slowLink struct {
	conns          chan net.Conn
	closed         chan struct{}
	bytesPerSecond *atomic.Int64
}

func newSlowLink() slowLink {
	l := slowLink{make(chan net.Conn), make(chan struct{}), new(atomic.Int64)}
	l.bytesPerSecond.Store(250_000)
	return l
}

func (l slowLink) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l slowLink) Close() error   { close(l.closed); return nil }
func (l slowLink) Addr() net.Addr { return &net.TCPAddr{} }

func (l slowLink) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return slowConn{client, l}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// transport returns a transport over the link. At the end of the test, which runs in a
// synctest bubble, it waits until reads in progress have ended.
func (l slowLink) transport(t *testing.T) *http.Transport {
	transport := &http.Transport{DialContext: l.dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		time.Sleep(time.Minute)
	})
	return transport
}

type slowConn struct {
	net.Conn
	link slowLink
}

func (c slowConn) Read(p []byte) (int, error) {
	const packetBytes = 1400
	n, err := c.Conn.Read(p[:min(len(p), packetBytes)])
	for c.link.bytesPerSecond.Load() == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Duration(n) * time.Second / time.Duration(c.link.bytesPerSecond.Load()))
	return n, err
}

// routesChange adds n routes, each with the size of those of an operator.
func routesChange(n int) config.PatchCatalog {
	change := config.PatchCatalog{Services: []config.TargetClass{{Item: config.Item{Revision: 1}, Name: "archivio"}}}
	for i := range n {
		name := fmt.Sprintf("route-%d-%x", i, i*7919*104729)
		change.Routes = append(change.Routes, config.Route{
			Item: config.Item{Revision: 1, Source: fmt.Appendf(nil, `{"name":%q,"type":"safe","version":"r1","action":{"service":"archivio","attempts":2}}`, name)},
			Name: name, Host: "batches.example", Prefix: "/" + name + "/", Splits: []config.Split{{Service: "archivio", Weight: 1}}, Attempts: 2,
		})
	}
	return change
}

// source is a control VM's copy of the configuration.
type source struct {
	*configsync.Task
	state atomic.Pointer[config.State]
}

func (s *source) accept(t *testing.T, change config.Change) core.Version {
	t.Helper()
	codec := configjson.Codec{}
	state := s.state.Load()
	data, err := codec.EncodeCommand(config.Command{RequestID: fmt.Sprint(state.Version), Change: change})
	if err != nil {
		t.Fatal(err)
	}
	command, err := codec.DecodeCommand(data)
	if err != nil {
		t.Fatal(err)
	}
	if state, err = state.Apply(command); err != nil {
		t.Fatal(err)
	}
	s.state.Store(state)
	s.Offer(configsync.Update{
		State: state, Commands: []configsync.AcceptedCommand{{Version: state.Version, Command: data}},
		ConfirmedAt: clock.Now(), Confirmed: true,
	})
	return state.Version
}

// confirm proves every second that the state is the newest, as the registry does.
func (s *source) confirm(ctx context.Context) error {
	for ctx.Err() == nil {
		s.Offer(configsync.Update{State: s.state.Load(), ConfirmedAt: clock.Now(), Confirmed: true})
		time.Sleep(time.Second)
	}
	return ctx.Err()
}

// follow starts a source and an entry VM that polls it over link, and returns both
// once the entry VM has a first configuration.
func follow(t *testing.T, link slowLink) (*source, *configsync.Task) {
	t.Helper()
	transport := link.transport(t)
	s := &source{Task: configsync.NewTask(configjson.Codec{}, func(*config.State) {})}
	s.state.Store(config.NewState())
	server := &http.Server{Handler: RegistryHandler("control", nil, s)}
	follower := configsync.NewTask(configjson.Codec{}, func(*config.State) {})
	poller := &configsync.Poller{
		Self: "entry", Voters: func() []string { return []string{"control:1"} }, Coordinator: func() core.VM { return "" },
		Task: follower, Client: NewRegistryClient(raft.Member{VM: "entry"}, transport), MaxAge: configsync.MaxVoterProofAge,
	}
	for _, serve := range []func(context.Context) error{
		s.Serve, s.confirm, follower.Serve, poller.Serve, func(context.Context) error { return server.Serve(link) },
	} {
		run(t, serve)
	}
	t.Cleanup(func() { server.Close() })
	first := s.accept(t, routesChange(10))
	if _, err := follower.WaitForVersion(t.Context(), first); err != nil {
		t.Fatal(err)
	}
	return s, follower
}

// TestLargeChangeOverASlowLink guards against a change that reaches an entry VM late or
// never because its transfer takes longer than what the control VM's hold has left of
// the poll's time, and then begins anew. The rest of the link's capacity is used by
// callers.
func TestLargeChangeOverASlowLink(t *testing.T) {
	for _, c := range []struct{ transfer, inForceWithin time.Duration }{
		{1500 * time.Millisecond, 2 * time.Second},
		{3 * time.Second, 4 * time.Second},
	} {
		t.Run(c.transfer.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				link := newSlowLink()
				s, follower := follow(t, link)
				time.Sleep(10 * time.Second)
				change := routesChange(1560)
				for i := range change.Routes {
					change.Routes[i].Revision = 2
				}
				data, err := configjson.Codec{}.EncodeCommand(config.Command{Change: change})
				is.NoErr(err)
				link.bytesPerSecond.Store(int64(float64(len(data)) / c.transfer.Seconds()))
				accepted := time.Now()
				version := s.accept(t, change)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err = follower.WaitForVersion(ctx, version)
				is.NoErr(err)
				is.True(time.Since(accepted) <= c.inForceWithin)
			})
		})
	}
}

// TestStalledAnswerEndsSoon guards against a poll that waits for the rest of an answer
// until the end of its whole time while the connection is silent, although another one
// would work.
func TestStalledAnswerEndsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		link := newSlowLink()
		s, follower := follow(t, link)
		time.Sleep(10 * time.Second)
		link.bytesPerSecond.Store(50_000)
		change := routesChange(1560)
		for i := range change.Routes {
			change.Routes[i].Revision = 2
		}
		version := s.accept(t, change)
		time.Sleep(500 * time.Millisecond) // a part of the answer has arrived
		link.bytesPerSecond.Store(0)
		time.Sleep(2 * time.Second) // the time in which the old connection is given up
		link.bytesPerSecond.Store(10_000_000)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := follower.WaitForVersion(ctx, version)
		is.NoErr(err)
	})
}

// largeUpdate answers polls with an update about many targets.
type largeUpdate struct{ fleet.Update }

func (l largeUpdate) Poll(ctx context.Context, q fleet.PollRequest) (fleet.Update, error) {
	if q.Sequence == l.Sequence {
		hold := time.NewTimer(q.Hold)
		defer hold.Stop()
		select {
		case <-ctx.Done():
		case <-hold.C:
		}
		return fleet.Update{Term: l.Term, Sequence: l.Sequence}, nil
	}
	return l.Update, nil
}

func (l largeUpdate) Draw(context.Context, []quota.Want, bool) ([]quota.Supply, error) {
	return nil, nil
}

// TestLargeUpdateOverASlowLink guards against an entry VM that never learns the targets,
// because the first update from a new leader takes longer than a poll may wait.
func TestLargeUpdateOverASlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const targets = 720
		news := largeUpdate{fleet.Update{Term: 1, Sequence: 1}}
		for i := range targets {
			news.Targets = append(news.Targets, fleet.TargetState{Target: core.Target{
				ID: core.TargetID(fmt.Sprintf("i-%010x", i*7919)), Service: "archivio", DataCentre: "padana-a", Address: fmt.Sprintf("10.1.0.%d:8068", i), Incarnation: 1, Slots: 4,
			}})
		}
		link := newSlowLink()
		link.bytesPerSecond.Store(20_000)
		transport := link.transport(t)
		server := &http.Server{Handler: FleetHandler(news)}
		run(t, func(context.Context) error { return server.Serve(link) })
		t.Cleanup(func() { server.Close() })
		delivered := make(chan int, 1024)
		follower := fleet.NewFollower(fleet.FollowerOptions{
			Self: "entry", Seeds: func() []string { return []string{"control:1"} }, Client: NewFleetClient(transport),
			Report: func() fleet.Report { return fleet.Report{VM: "entry"} }, Record: func(string, ...any) {},
			Deliver: func(_ context.Context, u fleet.Update) { delivered <- len(u.Targets) },
		})
		run(t, follower.Serve)
		select {
		case n := <-delivered:
			is.Equal(n, targets)
		case <-time.After(10 * time.Second):
			t.Fatal("the update has not arrived")
		}
	})
}
