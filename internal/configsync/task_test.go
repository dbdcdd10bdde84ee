package configsync_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// fleet is daemons of one cell that ask each other and one registry, whose
// address is "registry". An address in down answers nothing, and hangs.
type fleet struct {
	mu      sync.Mutex
	tasks   map[string]*configsync.Task
	down    map[string]bool
	asked   map[string]int
	bytes   int
	state   *config.State
	running context.Context
}

var codec configjson.Codec

func newFleet(ctx context.Context, daemons int) *fleet {
	f := &fleet{
		tasks: map[string]*configsync.Task{}, down: map[string]bool{}, asked: map[string]int{},
		state: config.NewState(), running: ctx,
	}
	top := configsync.NewTask(codec, func(*config.State) {})
	f.tasks["registry"] = top
	go func() { _ = top.Serve(ctx) }()
	go f.prove()
	put := config.PutCell{Cell: config.Cell{Name: "c", DataCentre: "a"}}
	for i := range daemons {
		name := fmt.Sprint("d", i)
		put.Cell.Members = append(put.Cell.Members, core.VM(name))
		put.VMs = append(put.VMs, config.VM{Name: core.VM(name), InnerAddress: name})
	}
	f.change(config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreActive}})
	f.change(put)
	return f
}

// prove renews the registry's proof every second while it is not down.
func (f *fleet) prove() {
	for f.running.Err() == nil {
		f.mu.Lock()
		if !f.down["registry"] {
			f.tasks["registry"].Offer(configsync.Update{State: f.state, ConfirmedAt: time.Now(), Confirmed: true})
		}
		f.mu.Unlock()
		select {
		case <-f.running.Done():
		case <-time.After(time.Second):
		}
	}
}

func (f *fleet) change(c config.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := codec.EncodeCommand(config.Command{RequestID: fmt.Sprint("r", f.state.Version), Change: c})
	if err != nil {
		panic(err)
	}
	command, err := codec.DecodeCommand(data)
	if err != nil {
		panic(err)
	}
	if f.state, err = f.state.Apply(command); err != nil {
		panic(err)
	}
	f.tasks["registry"].Offer(configsync.Update{
		State: f.state, Commands: []configsync.Accepted{{Version: f.state.Version, Command: data}},
		ConfirmedAt: time.Now(), Confirmed: true,
	})
}

// start runs a daemon that knows nothing yet; d0 is the cell's coordinator.
func (f *fleet) start(name string) (stop func()) {
	ctx, cancel := context.WithCancel(f.running)
	t := configsync.NewTask(codec, func(*config.State) {})
	p := &configsync.Poller{
		Self: core.VM(name), Cell: "c", Voters: func() []string { return []string{"registry"} }, First: f.state,
		Coordinator: func() core.VM { return "d0" }, Task: t, Client: client{f, name},
	}
	f.add(name, t)
	done := make(chan struct{}, 2)
	for _, serve := range []func(context.Context) error{t.Serve, p.Serve} {
		go func() {
			_ = serve(ctx)
			done <- struct{}{}
		}()
	}
	return func() { cancel(); <-done; <-done }
}

func (f *fleet) add(name string, t *configsync.Task) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tasks[name] = t
}

type client struct {
	fleet *fleet
	self  string
}

func (c client) Watch(ctx context.Context, address string, q configsync.Question) (configsync.Answer, error) {
	f := c.fleet
	f.mu.Lock()
	t, down := f.tasks[address], f.down[address] || f.down[c.self]
	f.asked[address]++
	f.mu.Unlock()
	if t == nil || down {
		<-ctx.Done() // a connection that went silent
		return configsync.Answer{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	a, err := t.Watch(ctx, q)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bytes += len(a.Snapshot)
	return a, err
}

func (client) ProposeAt(context.Context, string, []byte) (core.Version, error) {
	return 0, result.New(result.NoLeader, "none here")
}

func (f *fleet) set(address string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[address] = down
}

// counts returns the polls of the registry and the bytes of snapshots.
func (f *fleet) counts(reset bool) (atRegistry, snapshotBytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	atRegistry, snapshotBytes = f.asked["registry"], f.bytes
	if reset {
		clear(f.asked)
		f.bytes = 0
	}
	return atRegistry, snapshotBytes
}

func (f *fleet) version(name string) core.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tasks[name].Current().Version
}

func workspace(rate float64) config.Change {
	return config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: rate}}
}

// TestInForceEverywhereWithinSeconds holds "an accepted configuration is in
// force everywhere within seconds": along the tree, and when the coordinator
// that all members ask goes silent.
func TestInForceEverywhereWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 10)
		for i := range 10 {
			defer f.start(fmt.Sprint("d", i))()
		}
		defer cancel()
		time.Sleep(30 * time.Second)
		f.counts(true)
		f.change(workspace(1))
		time.Sleep(10 * time.Millisecond)
		for i := range 10 {
			is.Equal(f.version(fmt.Sprint("d", i)), f.state.Version)
		}
		atRegistry, snapshotBytes := f.counts(false)
		is.True(atRegistry <= 3)   // the members asked the coordinator
		is.Equal(snapshotBytes, 0) // a delta
		f.set("d0", true)
		time.Sleep(time.Second)
		f.change(workspace(2))
		time.Sleep(4 * time.Second)
		for i := range 9 {
			is.Equal(f.version(fmt.Sprint("d", i+1)), f.state.Version)
		}
	})
}

// TestRestartNextToALaggingMember: a member that was cut off holds an old
// version; a restarted one does not take it into force while the registry or
// other members know better.
func TestRestartNextToALaggingMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 3)
		stops := map[string]func(){}
		for i := range 3 {
			stops[fmt.Sprint("d", i)] = f.start(fmt.Sprint("d", i))
		}
		time.Sleep(5 * time.Second)
		f.set("d0", true)
		time.Sleep(3 * time.Second) // its last poll ends
		old := f.state.Version
		f.change(workspace(1))
		time.Sleep(5 * time.Second)
		is.Equal(f.version("d0"), old)
		is.Equal(f.version("d1"), old+1)

		f.set("d0", false) // cut off with d2 from the registry; d0 still lags
		f.set("registry", true)
		f.set("d1", true)
		stops["d2"]()
		stops["d2"] = f.start("d2")
		time.Sleep(10 * time.Second)
		is.Equal(f.version("d2"), core.Version(0)) // one lagging member is no majority
		f.set("d1", false)
		time.Sleep(10 * time.Second)
		is.Equal(f.version("d2"), old+1)
		is.Equal(f.version("d0"), old+1)
		cancel()
		for _, stop := range stops {
			stop()
		}
	})
}

// TestMergeNeverGoesBack: doubled, late and contradicting answers leave a state
// as it is.
func TestMergeNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s, err := config.NewState().Apply(config.Command{RequestID: "a", Change: workspace(1)})
	is.NoErr(err)
	older, err := codec.EncodeState(config.NewState())
	is.NoErr(err)
	for _, a := range []configsync.Answer{
		{Version: 0, Snapshot: older},
		{Version: 1},
		{Version: 2},
		{Version: 2, Snapshot: older},
		{Version: 3, Commands: []configsync.Accepted{{Version: 3, Command: []byte("{}")}}},
	} {
		got, _ := configsync.Merge(s, a, codec)
		is.Equal(got, s)
	}
}

// TestCutOffVoterIsLeftSoon holds that daemons which ask voters directly have a
// change within three seconds though the voter that they ask is cut off from
// the others as the change comes.
func TestCutOffVoterIsLeftSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 1)
		connected, cut := context.WithCancel(ctx)
		voter := configsync.NewTask(codec, func(*config.State) {})
		f.add("cut", voter)
		go func() { _ = voter.Serve(ctx) }()
		go func() {
			for connected.Err() == nil {
				f.mu.Lock()
				voter.Offer(configsync.Update{State: f.state, ConfirmedAt: time.Now(), Confirmed: true})
				f.mu.Unlock()
				time.Sleep(time.Second)
			}
		}()
		for i := range 6 { // each begins with the voter that its name leads to
			p := &configsync.Poller{
				Self: core.VM(fmt.Sprint("e", i)), Voters: func() []string { return []string{"cut", "registry"} },
				Coordinator: func() core.VM { return "" }, Task: configsync.NewTask(codec, func(*config.State) {}),
				Client: client{f, fmt.Sprint("e", i)}, MaxAge: configsync.VoterAge,
			}
			f.add(string(p.Self), p.Task)
			go func() { _ = p.Task.Serve(ctx) }()
			go func() { _ = p.Serve(ctx) }()
		}
		time.Sleep(5 * time.Second)
		cut()
		f.change(workspace(7))
		time.Sleep(3 * time.Second)
		for i := range 6 {
			is.Equal(f.version(fmt.Sprint("e", i)), f.state.Version)
		}
		cancel()
		synctest.Wait()
	})
}
