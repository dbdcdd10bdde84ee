package innerproto_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/membership"
)

// meter counts the bytes that one daemon's connections read and write.
type meter struct{ bytes atomic.Int64 }

type meteredConn struct {
	net.Conn
	*meter
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	*meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return meteredConn{c, l.meter}, err
}

// BenchmarkCellControl measures the cost of the control traffic of an idle cell over
// loopback: bytes per second of the coordinator and of the busiest other member, and
// processor time per member.
func BenchmarkCellControl(b *testing.B) {
	for _, members := range []int{4, 8, 15} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { measureCell(b, members) })
	}
}

func measureCell(b *testing.B, members int) {
	const settle, window = 4 * time.Second, 5 * time.Second
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	state := config.NewState()
	meters := make([]*meter, members)
	listeners := make([]net.Listener, members)
	c := config.Cell{Name: "a", DataCentre: "a", Epoch: 1}
	for i := range members {
		meters[i] = &meter{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		listeners[i] = meteredListener{l, meters[i]}
		vm := core.VM(fmt.Sprintf("vm-%02d", i))
		state.VMs[vm] = config.VM{Name: vm, Cell: "a", InnerAddress: l.Addr().String()}
		c.Members = append(c.Members, vm)
	}
	state.Cells["a"] = c
	state.DataCentres["a"] = config.DataCentre{Name: "a", Status: config.DataCentreActive}
	state.Services["s"] = config.Service{Name: "s", Keyed: true, Shards: 256}
	state.Homes["s"] = config.ShardHomes{Cells: []core.Cell{"a"}, Home: make([]uint16, 256)}
	tasks := make([]*cell.Task, members)
	for i, vm := range c.Members {
		dialer := &net.Dialer{}
		client := &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, DisableCompression: true,
			DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, addr)
				return meteredConn{conn, meters[i]}, err
			},
		}}
		tasks[i] = cell.NewTask(vm, "a", innerproto.NewCellTransport(client, "http"), func(*cell.Table) {}, func(config.Change) {})
		srv := &http.Server{Handler: innerproto.CellHandler(tasks[i]), ReadHeaderTimeout: time.Second}
		go func() { _ = srv.Serve(listeners[i]) }()
		defer srv.Close()
		_ = tasks[i].Post(cell.ConfigChanged{State: state})
		_ = tasks[i].Post(cell.TargetsChanged{View: &membership.View{Targets: map[core.TargetID]core.Target{
			core.TargetID(vm): {ID: core.TargetID(vm), Service: "s", Address: "127.0.0.1:1", Slots: 6},
		}}})
		go func() { _ = tasks[i].Serve(ctx) }()
	}
	time.Sleep(settle)
	before := make([]int64, members)
	for i := range members {
		before[i] = meters[i].bytes.Load()
	}
	cpu := processorTime()
	time.Sleep(window)
	cpu = processorTime() - cpu
	var coordinator, other float64
	for i, vm := range c.Members {
		rate := float64(meters[i].bytes.Load()-before[i]) / window.Seconds()
		if tasks[i].Coordinator() == vm {
			coordinator = rate
		} else {
			other = max(other, rate)
		}
	}
	b.ReportMetric(coordinator, "coordinator-B/s")
	b.ReportMetric(other, "member-B/s")
	b.ReportMetric(100*cpu.Seconds()/window.Seconds()/float64(members), "%core/member")
	b.ReportMetric(0, "ns/op")
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
