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

// cluster simulates the daemons of one cell, which poll each other, and a
// registry at the address "registry". Requests to or from an address in down hang
// until they time out.
type cluster struct {
	mu            sync.Mutex
	tasks         map[string]*configsync.Task
	down          map[string]bool
	polls         map[string]int // by address
	snapshotBytes int
	state         *config.State
	running       context.Context
}

var codec configjson.Codec

func newCluster(ctx context.Context, daemons int) *cluster {
	c := &cluster{
		tasks: map[string]*configsync.Task{}, down: map[string]bool{}, polls: map[string]int{},
		state: config.NewState(), running: ctx,
	}
	registry := configsync.NewTask(codec, func(*config.State) {})
	c.tasks["registry"] = registry
	go func() { _ = registry.Serve(ctx) }()
	go c.renewProof()
	put := config.PutCell{Cell: config.Cell{Name: "c", DataCentre: "a"}}
	for i := range daemons {
		name := fmt.Sprint("d", i)
		put.Cell.Members = append(put.Cell.Members, core.VM(name))
		put.VMs = append(put.VMs, config.VM{Name: core.VM(name), InnerAddress: name})
	}
	c.change(config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreActive}})
	c.change(put)
	return c
}

// renewProof renews the registry's proof every second while it is not down.
func (c *cluster) renewProof() {
	for c.running.Err() == nil {
		c.mu.Lock()
		if !c.down["registry"] {
			c.tasks["registry"].Offer(configsync.Update{State: c.state, ConfirmedAt: time.Now(), Confirmed: true})
		}
		c.mu.Unlock()
		select {
		case <-c.running.Done():
		case <-time.After(time.Second):
		}
	}
}

func (c *cluster) change(change config.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, err := codec.EncodeCommand(config.Command{RequestID: fmt.Sprint("r", c.state.Version), Change: change})
	if err != nil {
		panic(err)
	}
	command, err := codec.DecodeCommand(data)
	if err != nil {
		panic(err)
	}
	if c.state, err = c.state.Apply(command); err != nil {
		panic(err)
	}
	c.tasks["registry"].Offer(configsync.Update{
		State: c.state, Commands: []configsync.AcceptedCommand{{Version: c.state.Version, Command: data}},
		ConfirmedAt: time.Now(), Confirmed: true,
	})
}

// start runs a daemon that has no state yet; d0 is the cell's coordinator.
func (c *cluster) start(name string) (stop func()) {
	ctx, cancel := context.WithCancel(c.running)
	t := configsync.NewTask(codec, func(*config.State) {})
	p := &configsync.Poller{
		Self: core.VM(name), Cell: "c", Voters: func() []string { return []string{"registry"} }, InitialState: c.state,
		Coordinator: func() core.VM { return "d0" }, Task: t, Client: client{c, name},
	}
	c.add(name, t)
	done := make(chan struct{}, 2)
	for _, serve := range []func(context.Context) error{t.Serve, p.Serve} {
		go func() {
			_ = serve(ctx)
			done <- struct{}{}
		}()
	}
	return func() { cancel(); <-done; <-done }
}

func (c *cluster) add(name string, t *configsync.Task) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tasks[name] = t
}

// entryVMs is the number of daemons that startEntryVMs starts. Their names, e0 and so
// on, determine the order in which each polls the voters.
const entryVMs = 6

// startEntryVMs starts daemons that poll voters directly.
func (c *cluster) startEntryVMs(ctx context.Context, voters []string) {
	for i := range entryVMs {
		p := &configsync.Poller{
			Self: core.VM(fmt.Sprint("e", i)), Voters: func() []string { return voters },
			Coordinator: func() core.VM { return "" }, Task: configsync.NewTask(codec, func(*config.State) {}),
			Client: client{c, fmt.Sprint("e", i)}, MaxAge: configsync.MaxVoterProofAge,
		}
		c.add(string(p.Self), p.Task)
		go func() { _ = p.Task.Serve(ctx) }()
		go func() { _ = p.Serve(ctx) }()
	}
}

// renewVoter offers the state to a voter's copy, as its registry does, until ctx ends.
func (c *cluster) renewVoter(ctx context.Context, voter *configsync.Task, period time.Duration) {
	for ctx.Err() == nil {
		c.mu.Lock()
		voter.Offer(configsync.Update{State: c.state, ConfirmedAt: time.Now(), Confirmed: true})
		c.mu.Unlock()
		time.Sleep(period)
	}
}

type client struct {
	cluster *cluster
	self    string
}

func (cl client) Watch(ctx context.Context, address string, q configsync.Request) (configsync.Answer, error) {
	c := cl.cluster
	c.mu.Lock()
	t, down := c.tasks[address], c.down[address] || c.down[cl.self]
	c.polls[address]++
	c.mu.Unlock()
	if t == nil || down { // the network drops the request
		ctx, cancel := context.WithTimeout(ctx, q.Hold+q.AnswerTimeout)
		defer cancel()
		<-ctx.Done()
		return configsync.Answer{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	a, err := t.Watch(ctx, q)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshotBytes += len(a.Snapshot)
	return a, err
}

func (client) ProposeAt(context.Context, string, []byte) (core.Version, error) {
	return 0, result.New(result.NoLeader, "none here")
}

func (c *cluster) setDown(address string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[address] = down
}

// counts returns the number of polls of the registry and the bytes of snapshots
// that were sent.
func (c *cluster) counts(reset bool) (registryPolls, snapshotBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	registryPolls, snapshotBytes = c.polls["registry"], c.snapshotBytes
	if reset {
		clear(c.polls)
		c.snapshotBytes = 0
	}
	return registryPolls, snapshotBytes
}

func (c *cluster) version(name string) core.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tasks[name].Current().Version
}

func workspace(rate float64) config.Change {
	return config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: rate}}
}

// TestInForceEverywhereWithinSeconds checks that an accepted configuration is in
// force on all daemons within seconds, both through the tree of daemons and after
// the coordinator that all members poll has become unreachable.
func TestInForceEverywhereWithinSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 10)
		for i := range 10 {
			defer c.start(fmt.Sprint("d", i))()
		}
		defer cancel()
		time.Sleep(30 * time.Second)
		c.counts(true)
		c.change(workspace(1))
		time.Sleep(10 * time.Millisecond)
		for i := range 10 {
			is.Equal(c.version(fmt.Sprint("d", i)), c.state.Version)
		}
		registryPolls, snapshotBytes := c.counts(false)
		is.True(registryPolls <= 3) // the members poll the coordinator
		is.Equal(snapshotBytes, 0)  // commands only
		c.setDown("d0", true)
		time.Sleep(time.Second)
		c.change(workspace(2))
		time.Sleep(4 * time.Second)
		for i := range 9 {
			is.Equal(c.version(fmt.Sprint("d", i+1)), c.state.Version)
		}
	})
}

// TestRestartNextToALaggingMember checks that a restarted daemon doesn't put an
// old version in force that it gets from a member that was partitioned, while the
// registry or other members have a newer one.
func TestRestartNextToALaggingMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 3)
		stops := map[string]func(){}
		for i := range 3 {
			stops[fmt.Sprint("d", i)] = c.start(fmt.Sprint("d", i))
		}
		time.Sleep(5 * time.Second)
		c.setDown("d0", true)
		time.Sleep(3 * time.Second) // until its last poll has ended
		old := c.state.Version
		c.change(workspace(1))
		time.Sleep(5 * time.Second)
		is.Equal(c.version("d0"), old)
		is.Equal(c.version("d1"), old+1)

		c.setDown("d0", false) // d0 still lags; d0 and d2 are partitioned from the registry and from d1
		c.setDown("registry", true)
		c.setDown("d1", true)
		stops["d2"]()
		stops["d2"] = c.start("d2")
		time.Sleep(10 * time.Second)
		is.Equal(c.version("d2"), core.Version(0)) // one lagging member is no majority
		c.setDown("d1", false)
		time.Sleep(10 * time.Second)
		is.Equal(c.version("d2"), old+1)
		is.Equal(c.version("d0"), old+1)
		cancel()
		for _, stop := range stops {
			stop()
		}
	})
}

// TestMergeNeverLowersTheVersion checks that duplicate, outdated and inconsistent
// answers don't change a state.
func TestMergeNeverLowersTheVersion(t *testing.T) {
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
		{Version: 3, Commands: []configsync.AcceptedCommand{{Version: 3, Command: []byte("{}")}}},
	} {
		got, _ := configsync.Merge(s, a, codec)
		is.Equal(got, s)
	}
}

// TestPollersLeaveAPartitionedVoter checks that daemons which poll voters directly
// receive a change within 3 s even if the voter that they poll is partitioned from
// the others when the change is accepted.
func TestPollersLeaveAPartitionedVoter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		connected, partition := context.WithCancel(ctx)
		voter := configsync.NewTask(codec, func(*config.State) {})
		c.add("isolated", voter)
		go func() { _ = voter.Serve(ctx) }()
		go c.renewVoter(connected, voter, time.Second)
		c.startEntryVMs(ctx, []string{"isolated", "registry"})
		time.Sleep(5 * time.Second)
		partition()
		c.change(workspace(7))
		time.Sleep(3 * time.Second)
		for i := range entryVMs {
			is.Equal(c.version(fmt.Sprint("e", i)), c.state.Version)
		}
		cancel()
		synctest.Wait()
	})
}

// TestChangeIsInForceWithin2sBesideALostVoter guards against a change that is late on the
// daemons whose voter is partitioned from the others, or silent, when it is accepted: a
// poll was held for its full time although the voter's proof became too old meanwhile,
// and the next voter was given the same time, even if it didn't answer.
func TestChangeIsInForceWithin2sBesideALostVoter(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
			t.Run(fmt.Sprint("silent ", silent, " after ", phase), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					const renewal = 700 * time.Millisecond // of a voter's proof
					ctx, cancel := context.WithCancel(t.Context())
					c := newCluster(ctx, 1)
					connected, partition := context.WithCancel(ctx)
					for _, name := range []string{"v1", "v2"} {
						voter := configsync.NewTask(codec, func(*config.State) {})
						c.add(name, voter)
						go func() { _ = voter.Serve(ctx) }()
						go c.renewVoter(connected, voter, renewal)
					}
					c.startEntryVMs(ctx, []string{"v1", "v2", "registry"})
					time.Sleep(10*time.Second + phase)
					partition()
					c.setDown("v1", silent)
					c.change(workspace(7))
					time.Sleep(2 * time.Second)
					for i := range entryVMs {
						is.Equal(c.version(fmt.Sprint("e", i)), c.state.Version)
					}
					cancel()
					synctest.Wait()
				})
			})
		}
	}
}

// TestReturnToASilentVoterIsShort guards against a change that is late because a daemon
// returns to its preferred voter after a while and gives it the time of a long poll,
// although it is still silent.
func TestReturnToASilentVoterIsShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1)
		c.add("silent", configsync.NewTask(codec, func(*config.State) {}))
		c.setDown("silent", true)
		c.startEntryVMs(ctx, []string{"silent", "registry"})
		time.Sleep(10 * time.Second)
		for range 60 { // longer than the time until the return
			c.change(workspace(float64(c.state.Version)))
			time.Sleep(650 * time.Millisecond) // the time for an answer, and a pause
			for i := range entryVMs {
				is.Equal(c.version(fmt.Sprint("e", i)), c.state.Version)
			}
			time.Sleep(250 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}
