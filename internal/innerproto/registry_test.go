package innerproto

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/registry"
	"github.com/comfreynotch/comfreynotch/internal/storage"
)

// counter is a transport that counts the bytes of its connections.
type counter struct {
	*http.Transport
	bytes *atomic.Int64
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return c.Conn.Write(b)
}

func newCounter() counter {
	c := counter{&http.Transport{}, new(atomic.Int64)}
	c.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countedConn{conn, c.bytes}, err
	}
	return c
}

// node is a voter, or a follower that polls one, over loopback.
type node struct {
	self    raft.Member
	copy    *configsync.Task
	replica *registry.Task
	counter counter
}

// newNodes runs three voters and some followers of the first.
func newNodes(t testing.TB, followers int) []*node {
	var nodes []*node
	var listeners []net.Listener
	var members raft.Members
	for i := range 3 + followers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		n := &node{counter: newCounter(), copy: configsync.NewTask(configjson.Codec{}, func(*config.State) {})}
		n.self = raft.Member{VM: core.VM(fmt.Sprintf("v%02d", i)), Address: l.Addr().String()}
		if i < 3 {
			members = append(members, n.self)
		}
		nodes = append(nodes, n)
	}
	for i, n := range nodes {
		client := NewRegistryClient(n.self, n.counter)
		run(t, n.copy.Serve)
		if i >= 3 {
			p := &configsync.Poller{
				Self: n.self.VM, Voters: func() []string { return []string{nodes[0].self.Address} }, Task: n.copy, Client: client,
				Coordinator: func() core.VM { return "" },
			}
			run(t, p.Serve)
			continue
		}
		replica, err := registry.NewTask(registry.Options{
			Self: n.self.VM, Members: members, Files: storage.InMemory(), Codec: configjson.Codec{}, Transport: client,
			Seed: uint64(i + 1), OnUpdate: n.copy.Offer, OnEvent: func(string, string) {},
		})
		if err != nil {
			t.Fatal(err)
		}
		n.replica = replica
		run(t, replica.Serve)
		srv := &http.Server{Handler: RegistryHandler(n.self.VM, replica, n.copy)}
		go func() { _ = srv.Serve(listeners[i]) }()
		t.Cleanup(func() { srv.Close() })
	}
	return nodes
}

func run(t testing.TB, serve func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = serve(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

func (n *node) propose(t testing.TB, id string) core.Version {
	s, err := n.replica.Propose(context.Background(), config.Command{
		RequestID: id, Change: config.PutWorkspace{Workspace: config.Workspace{Name: core.Workspace(id), Rate: 1}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return s.Version
}

// TestRegistryOverTheWire: everything that raft messages and answers carry
// arrives: changes of members with their addresses, conflicts with their codes.
func TestRegistryOverTheWire(t *testing.T) {
	is := is.New(t)
	nodes := newNodes(t, 1)
	v := nodes[1].propose(t, "a")
	s, err := nodes[3].copy.Reached(t.Context(), v)
	is.NoErr(err)
	is.Equal(s.Workspaces["a"].Rate, 1.0)
	client := NewRegistryClient(nodes[3].self, nodes[3].counter)
	is.NoErr(client.ChangeVoter(t.Context(), nodes[0].self.Address, nodes[2].self, false))
	status, err := client.Members(t.Context(), nodes[0].self.Address)
	is.NoErr(err)
	is.Equal(status.Members, raft.Members{nodes[0].self, nodes[1].self})
	is.NoErr(client.ChangeVoter(t.Context(), nodes[0].self.Address, nodes[2].self, true))
	got, err := nodes[2].replica.Read(t.Context())
	is.NoErr(err)
	is.Equal(got.Version, v)
}

// BenchmarkIdleBytes measures the bytes a second, both ways, of a voter's link
// to the leader, of the leader, and of a follower's polls while nothing changes.
func BenchmarkIdleBytes(b *testing.B) {
	nodes := newNodes(b, 1)
	nodes[0].propose(b, "a")
	const seconds = 10
	for range b.N {
		time.Sleep(2 * time.Second)
		var before [4]int64
		for i, n := range nodes {
			before[i] = n.counter.bytes.Load()
		}
		time.Sleep(seconds * time.Second)
		for i, n := range nodes {
			b.ReportMetric(float64(n.counter.bytes.Load()-before[i])/seconds, string(n.self.VM)+"-B/s")
		}
	}
}

// BenchmarkFanOut measures a change that one voter hands to many polls.
func BenchmarkFanOut(b *testing.B) {
	for _, followers := range []int{10, 100, 400} {
		b.Run(fmt.Sprint("followers=", followers), func(b *testing.B) {
			nodes := newNodes(b, followers)
			reach := func(v core.Version) {
				for _, n := range nodes {
					if _, err := n.copy.Reached(context.Background(), v); err != nil {
						b.Fatal(err)
					}
				}
			}
			reach(nodes[0].propose(b, "first"))
			i := 0
			for b.Loop() {
				i++
				reach(nodes[0].propose(b, fmt.Sprint("r", i)))
			}
		})
	}
}

// TestReplicaAnswersForItselfAlone holds that a replica which took over the
// address of another, after the loss of its disk, gives no vote and no
// acknowledgement in the name of the one before.
func TestReplicaAnswersForItselfAlone(t *testing.T) {
	is := is.New(t)
	nodes := newNodes(t, 0)
	nodes[1].propose(t, "a")
	client := NewRegistryClient(raft.Member{VM: "v01", Address: nodes[1].self.Address}, nodes[1].counter)
	vote := raft.Message{Type: raft.PreVote, From: "v01", Term: 1 << 20, LogIndex: 1 << 20, LogTerm: 1 << 20}
	former := raft.Member{VM: "former", Address: nodes[0].self.Address}
	_, err := client.Send(t.Context(), former, []raft.Message{vote})
	is.True(err != nil)
	_, err = client.Send(t.Context(), nodes[0].self, []raft.Message{vote})
	is.NoErr(err) // the replica that is meant takes it
}
