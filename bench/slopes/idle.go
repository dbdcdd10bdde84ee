package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/relay"
)

const (
	idleLength = 5 * time.Second
	settleTime = 3 * time.Second
)

// idleSize is the size of one idle cluster.
type idleSize struct {
	cells, members, targets, shards int
}

// Idle measures the traffic, processor time and memory that the system uses
// without requests, for several numbers of cells, members, targets and shards.
func Idle(ctx context.Context, w io.Writer) error {
	t := newTable(w, "cells", "members each", "targets", "shards", "inner bytes/s each daemon", "inner messages/s each daemon",
		"most of one daemon bytes/s", "announcement bytes/s each target", "core each daemon", "heap each daemon KB")
	for _, size := range []idleSize{
		{1, 3, 0, 64},
		{1, 6, 0, 64},
		{1, 9, 0, 64},
		{1, 15, 0, 64},
		{1, 3, 12, 64},
		{1, 3, 24, 64},
		{1, 3, 48, 64},
		{1, 3, 12, 512},
		{1, 3, 12, 4096},
		{2, 3, 0, 64},
		{4, 3, 0, 64},
		{8, 3, 0, 64},
	} {
		if err := idleRow(ctx, t, size); err != nil {
			return err
		}
	}
	return t.Flush()
}

func idleDeployment(s idleSize) cluster.Deployment {
	d := cluster.Deployment{Name: "idle", Workspaces: []cluster.Workspace{{Name: "w", Rate: 100, Burst: 100}}}
	for i := range s.cells {
		d.DataCentres = append(d.DataCentres, cluster.DataCentre{Name: fmt.Sprintf("dc-%d", i+1), VMs: s.members})
	}
	d.Services = []cluster.Service{{
		Name: "archivio", Keyed: true, Shards: uint32(s.shards), Targets: s.targets,
		Target: faketarget.Options{Slots: 6, ChecksFence: true, StartsWarm: true},
	}}
	return d
}

func idleRow(ctx context.Context, t io.Writer, s idleSize) (err error) {
	folder, err := os.MkdirTemp("", "comfreynotch-slopes-")
	if err != nil {
		return err
	}
	before := heapBytes()
	c, err := cluster.Start(ctx, idleDeployment(s), cluster.Options{Folder: folder})
	if err != nil {
		return errors.Join(err, os.RemoveAll(folder))
	}
	defer func() { err = errors.Join(err, c.Stop(), os.RemoveAll(folder)) }()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	first, err := sampleUsage(ctx, c)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleLength); err != nil {
		return err
	}
	last, err := sampleUsage(ctx, c)
	if err != nil {
		return err
	}
	daemons, seconds := float64(len(c.VMs)), idleLength.Seconds()
	perTarget := 0.0
	if s.targets > 0 {
		perTarget = float64(last.announced-first.announced) / seconds / float64(s.targets)
	}
	row(t, s.cells, s.members, s.targets, s.shards,
		float64(last.inner-first.inner)/seconds/daemons, float64(last.chunks-first.chunks)/seconds/daemons,
		float64(largestIncrease(first.innerByVM, last.innerByVM))/seconds, perTarget,
		(last.cpu-first.cpu).Seconds()/seconds/daemons, float64(heapBytes()-before)/1024/daemons)
	return nil
}

// usage holds the resources that a cluster has used since its start. Traffic is
// in bytes, except chunks, which counts reads of inner connections.
type usage struct {
	inner, chunks, announced int
	innerByVM                []int // inner bytes of each daemon
	cpu                      time.Duration
}

func sampleUsage(ctx context.Context, c *cluster.Cluster) (usage, error) {
	var u usage
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, fmt.Errorf("read processor time: %w", err)
	}
	u.cpu = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	for _, vm := range c.VMs {
		inner, err := traffic(ctx, vm.Inner)
		if err != nil {
			return u, err
		}
		announced, err := traffic(ctx, vm.Targets)
		if err != nil {
			return u, err
		}
		u.inner += inner.In + inner.Out
		u.innerByVM = append(u.innerByVM, inner.In+inner.Out)
		u.chunks += inner.Chunks
		u.announced += announced.In + announced.Out
	}
	return u, nil
}

func traffic(ctx context.Context, r *relay.Relay) (relay.Traffic, error) {
	got, err := r.Traffic(ctx)
	if err != nil {
		return got, fmt.Errorf("relay traffic: %w", err)
	}
	return got, nil
}

func largestIncrease(first, last []int) int {
	most := 0
	for i := range last {
		most = max(most, last[i]-first[i])
	}
	return most
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
