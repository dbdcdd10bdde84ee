package registry

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/storage"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

var errDiskFull = errors.New("no space left on device")

// fillableDisk refuses every write while it is full.
type fillableDisk struct {
	storage.FileSystem
	full *atomic.Bool
}

func (d fillableDisk) OpenLog(name string, size int64) (storage.LogFile, error) {
	if d.full.Load() {
		return nil, errDiskFull
	}
	f, err := d.FileSystem.OpenLog(name, size)
	return fillableFile{f, d.full}, err
}

func (d fillableDisk) Replace(name string, data []byte) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.FileSystem.Replace(name, data)
}

type fillableFile struct {
	storage.LogFile
	full *atomic.Bool
}

// Write writes a part of p if the disk has just filled up.
func (f fillableFile) Write(p []byte) (int, error) {
	if f.full.Load() {
		n, _ := f.LogFile.Write(p[:len(p)/2])
		return n, errDiskFull
	}
	return f.LogFile.Write(p)
}

// startOnFillableDisks starts voters v1 to v3, each under the supervisor of a control
// VM, and returns what fills their disks.
func startOnFillableDisks(t *testing.T) (*network, map[core.VM]*atomic.Bool) {
	t.Helper()
	n, full := newNetwork(), map[core.VM]*atomic.Bool{}
	for _, m := range members(3) {
		full[m.VM] = &atomic.Bool{}
		n.startSupervised(t, m.VM, fillableDisk{storage.InMemory(), full[m.VM]})
	}
	return n, full
}

// startSupervised starts a voter that saves a snapshot every few entries.
func (n *network) startSupervised(t *testing.T, vm core.VM, files storage.FileSystem) {
	t.Helper()
	const snapshotEntries = 16
	replica, err := NewTask(Options{
		Self: vm, Members: members(3), Bootstrap: bootstrapChange, Files: files, Codec: configjson.Codec{},
		Transport: link{n, vm}, Seed: uint64(vm[1]) * 7919, SnapshotEntries: snapshotEntries,
		OnUpdate: func(configsync.Update) {}, OnEvent: func(string, string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	supervisor := task.NewSupervisor(string(vm), func(string) {})
	supervisor.Add(task.Func("registry", replica.Serve))
	ctx, cancel := context.WithCancel(t.Context())
	v := &voter{vm: vm, net: n, files: files, task: replica, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(v.done)
		_ = supervisor.Serve(ctx)
	}()
	n.withLock(func() { n.voters[vm] = v })
}

// TestReplicaReturnsAfterAFullDisk guards against a replica that stays away long
// after its disk takes writes again, so that the next loss of a disk leaves the
// registry without a majority: the leader's disk refuses writes for 4.5 s, and within
// 2 s after that the replica has all changes that the others accepted meanwhile.
func TestReplicaReturnsAfterAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, full := startOnFillableDisks(t)
		away := n.leader()
		_, err := away.task.Propose(t.Context(), put("before", 0, 1))
		is.NoErr(err)

		full[away.vm].Store(true)
		filledAt := time.Now()
		var other *voter
		for _, v := range n.voters {
			if v != away {
				other = v
			}
		}
		accepted, err := other.task.Propose(t.Context(), put("meanwhile", 0, 2))
		is.NoErr(err)
		time.Sleep(4500*time.Millisecond - time.Since(filledAt))

		full[away.vm].Store(false)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		state, err := away.task.Read(ctx)
		for err != nil && ctx.Err() == nil { // reads are rejected until the storage is open again
			time.Sleep(50 * time.Millisecond)
			state, err = away.task.Read(ctx)
		}
		is.NoErr(err)
		is.True(state.Version >= accepted.Version)
		n.stopAll()
	})
}

// TestFullDiskAnswersCallersAtOnce guards against callers that wait for their own
// timeout while a replica can't write: their proposals, reads and status requests are
// answered at once, and a proposal that may have reached the log isn't reported as
// not run.
func TestFullDiskAnswersCallersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, full := startOnFillableDisks(t)
		leader := n.leader()
		_, err := leader.task.Propose(t.Context(), put("before", 0, 1))
		is.NoErr(err)
		full[leader.vm].Store(true)
		command, err := configjson.Codec{}.EncodeCommand(put("first", 0, 2))
		is.NoErr(err)
		const atOnce = 100 * time.Millisecond
		for i := range 30 {
			ctx, cancel := context.WithTimeout(t.Context(), atOnce)
			_, err = leader.task.ProposeLocal(ctx, command)
			is.True(err != nil)
			is.True(i > 0 || result.From(err).Ran != result.NotRun) // the first one reached the log
			is.NoErr(ctx.Err())
			_, _ = leader.task.Status(ctx)
			is.NoErr(ctx.Err())
			_, err = leader.task.Read(ctx)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			cancel()
			time.Sleep(97 * time.Millisecond)
		}
		full[leader.vm].Store(false)
		n.stopAll()
	})
}

// TestChangesAfterFullDisksOneAfterAnother guards against changes that are refused or
// unanswered for good after the disks of the voters were full one after another, never
// two at once: a change is accepted within 2 s at any time, and in the end every voter
// has all of them.
func TestChangesAfterFullDisksOneAfterAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, full := startOnFillableDisks(t)
		n.leader()
		const fullFor, pause, betweenChanges = 4500 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond
		changes := 0
		change := func(at core.VM) {
			changes++
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			_, err := n.voters[at].task.Propose(ctx, put(fmt.Sprint("w", changes), 0, 1))
			is.NoErr(err)
		}
		for round := range 9 {
			filled := members(3)[round%3].VM
			full[filled].Store(true)
			for begin := time.Now(); time.Since(begin) < fullFor; time.Sleep(betweenChanges) {
				change(members(3)[(round+1+changes%2)%3].VM)
			}
			full[filled].Store(false)
			time.Sleep(pause)
		}
		for _, m := range members(3) {
			change(m.VM)
			state, err := n.voters[m.VM].task.Read(t.Context())
			is.NoErr(err)
			for i := range changes {
				_, ok := state.Answered.Find(fmt.Sprint("w", i+1))
				is.True(ok)
			}
		}
		n.stopAll()
	})
}
