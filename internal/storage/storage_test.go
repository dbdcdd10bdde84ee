package storage

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var errPowerLost = errors.New("simulated power failure")

// disk simulates a file system that fails after a number of operations, as in a
// power failure. A reboot keeps the synced data and some bytes of the rest.
type disk struct {
	files          map[string]*diskFile
	operationsLeft int // operations until the failure
}

type diskFile struct {
	disk   *disk
	data   []byte
	synced int
}

func newDisk() *disk { return &disk{files: map[string]*diskFile{}, operationsLeft: 1 << 30} }

func (d *disk) useOperation() error {
	if d.operationsLeft--; d.operationsLeft < 0 {
		return errPowerLost
	}
	return nil
}

func (d *disk) reboot(keep int) {
	d.operationsLeft = 1 << 30
	for _, f := range d.files {
		f.data = f.data[:min(f.synced+keep, len(f.data))]
		f.synced = len(f.data)
	}
}

func (d *disk) file(name string) *diskFile {
	if d.files[name] == nil {
		d.files[name] = &diskFile{disk: d}
	}
	return d.files[name]
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	return append([]byte(nil), d.file(name).data...), d.useOperation()
}

func (d *disk) OpenLog(name string, size int64) (LogFile, error) {
	if err := d.useOperation(); err != nil {
		return nil, err
	}
	f := d.file(name)
	f.data = f.data[:size]
	f.synced = len(f.data)
	return f, nil
}

func (d *disk) Replace(name string, data []byte) error {
	if err := d.useOperation(); err != nil {
		return err
	}
	d.files[name] = &diskFile{disk: d, data: append([]byte(nil), data...), synced: len(data)}
	return nil
}

func (f *diskFile) Write(p []byte) (int, error) {
	if err := f.disk.useOperation(); err != nil {
		f.data = append(f.data, p[:len(p)/2]...) // the power fails during the write
		return len(p) / 2, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *diskFile) Sync() error {
	if err := f.disk.useOperation(); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *diskFile) Close() error { return nil }

func batch(first raft.Index, term raft.Term, n int) raft.Actions {
	a := raft.Actions{HardState: &raft.HardState{Term: term, Vote: "a"}}
	for i := range raft.Index(n) {
		e := raft.Entry{Index: first + i, Term: term, Kind: raft.EntryCommand, Data: []byte(fmt.Sprint("c", first+i))}
		if i == 2 {
			e.Kind, e.Members = raft.EntryMembers, raft.Members{{VM: "a", Address: "x:1"}, {VM: "b", Learner: true}}
		}
		a.Entries = append(a.Entries, e)
	}
	return a
}

// newDiskWithThreeBatches returns a disk whose log has three synced batches, and
// the offset at which each ends.
func newDiskWithThreeBatches(t *testing.T) (*disk, []int) {
	d := newDisk()
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	var ends []int
	for _, a := range []raft.Actions{batch(1, 1, 3), batch(4, 2, 3), batch(7, 3, 3)} {
		if err := s.Save(a); err != nil {
			t.Fatal(err)
		}
		ends = append(ends, len(d.file(logFileName).data))
	}
	return d, ends
}

// TestTornTailAtEachByte checks that a last write that a crash truncated at any
// byte, possibly leaving zeros or other bytes in its place, is discarded as a
// whole, that all earlier writes are kept, and that new ones can be appended.
func TestTornTailAtEachByte(t *testing.T) {
	is := is.New(t)
	intact, ends := newDiskWithThreeBatches(t)
	data := intact.file(logFileName).data
	for cut := ends[1]; cut < ends[2]; cut++ {
		for _, fill := range []string{"", "\x00", "\xff"} {
			d := newDisk()
			torn := append([]byte(nil), data[:cut]...)
			d.file(logFileName).data = append(torn, strings.Repeat(fill, ends[2]-cut)...)
			s, stored, err := Open(d)
			is.NoErr(err)
			is.Equal(len(stored.Entries), 6)
			is.Equal(stored.HardState.Term, raft.Term(2))
			is.NoErr(s.Save(batch(7, 4, 1)))
			_, stored, err = Open(d)
			is.NoErr(err)
			is.Equal(len(stored.Entries), 7)
			is.Equal(stored.Entries[6].Term, raft.Term(4))
		}
	}
}

// TestCorruptMiddleRefusesToStart checks that Open fails if a byte changed in a
// frame that a synced write follows. Discarding the frames from there on would
// lose acknowledged changes.
func TestCorruptMiddleRefusesToStart(t *testing.T) {
	is := is.New(t)
	intact, ends := newDiskWithThreeBatches(t)
	for at := range ends[1] {
		d := newDisk()
		d.file(logFileName).data = append([]byte(nil), intact.file(logFileName).data...)
		d.file(logFileName).data[at] ^= 0x10
		_, _, err := Open(d)
		is.Equal(result.CodeOf(err), result.StorageCorrupt)
		is.True(strings.Contains(err.Error(), "remove this voter from the registry")) // the message tells the operator what to do
	}
	d, _ := newDiskWithThreeBatches(t)
	_, _, err := Open(d) // Open rewrote the log as one frame, and replaced the file by a rename
	is.NoErr(err)
	intact = d
	for at := range intact.file(logFileName).data {
		d := newDisk()
		d.file(logFileName).data = append([]byte(nil), intact.file(logFileName).data...)
		d.file(logFileName).data[at] ^= 0x10
		_, _, err := Open(d)
		is.Equal(result.CodeOf(err), result.StorageCorrupt)
	}
	d = newDisk()
	s, _, err := Open(d)
	is.NoErr(err)
	is.NoErr(s.ReplaceSnapshot(raft.Snapshot{Index: 3, Term: 1}, nil))
	delete(d.files, logFileName)
	_, _, err = Open(d)
	is.Equal(result.CodeOf(err), result.StorageCorrupt)
	is.NoErr(d.Replace(snapshotFileName, []byte("not a frame")))
	_, _, err = Open(d)
	is.Equal(result.CodeOf(err), result.StorageCorrupt)
}

// TestSnapshotOverADifferentLog checks that entries that conflict with a newer
// snapshot are not restored after a crash between saving the snapshot and
// replacing the log.
func TestSnapshotOverADifferentLog(t *testing.T) {
	is := is.New(t)
	d, _ := newDiskWithThreeBatches(t)
	s, _, err := Open(d)
	is.NoErr(err)
	d.operationsLeft = 1 // the snapshot is replaced, the log is not
	is.True(s.ReplaceSnapshot(raft.Snapshot{Index: 5, Term: 9}, nil) != nil)
	d.reboot(0)
	_, stored, err := Open(d)
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, raft.Index(5))
	is.Equal(len(stored.Entries), 0)
}

// model is the expected content of a store.
type model struct {
	hardState raft.HardState
	snap      raft.Snapshot
	entries   []raft.Entry
}

func (m model) save(a raft.Actions) model {
	m.hardState = *a.HardState
	kept := m.entries[:a.Entries[0].Index-m.snap.Index-1]
	m.entries = append(append([]raft.Entry(nil), kept...), a.Entries...)
	return m
}

func (m model) replace(snap raft.Snapshot) model {
	m.entries = m.entries[snap.Index-m.snap.Index:]
	m.snap = snap
	return m
}

func (m model) String() string { return fmt.Sprint(m.hardState, m.snap, m.entries) }

// TestCrashKeepsWhatWasSynced checks that after a crash at any operation the store
// holds the state after the last successful call, either without or with the whole
// effect of the call that the crash interrupted.
func TestCrashKeepsWhatWasSynced(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newDisk()
		s, _, err := Open(d)
		if err != nil {
			rt.Fatal(err)
		}
		m := model{}
		term := raft.Term(0)
		for range rapid.IntRange(1, 30).Draw(rt, "operations") {
			last := m.snap.Index + raft.Index(len(m.entries))
			if rapid.IntRange(0, 3).Draw(rt, "crash") == 0 {
				d.operationsLeft = rapid.IntRange(0, 4).Draw(rt, "power")
			}
			term++
			var next model
			if rapid.IntRange(0, 4).Draw(rt, "kind") == 0 && len(m.entries) > 0 {
				at := raft.Index(rapid.IntRange(1, len(m.entries)).Draw(rt, "covered"))
				next = m.replace(raft.Snapshot{Index: m.snap.Index + at, Term: m.entries[at-1].Term, Data: []byte("s")})
				err = s.ReplaceSnapshot(next.snap, next.entries)
			} else {
				first := raft.Index(rapid.IntRange(int(m.snap.Index)+1, int(last)+1).Draw(rt, "first"))
				a := batch(first, term, rapid.IntRange(1, 4).Draw(rt, "n"))
				next = m.save(a)
				err = s.Save(a)
			}
			if err == nil {
				m = next
				continue
			}
			d.reboot(rapid.IntRange(0, 200).Draw(rt, "kept"))
			var stored raft.StoredState
			if s, stored, err = Open(d); err != nil {
				rt.Fatal(err)
			}
			got := model{stored.HardState, stored.Snapshot, stored.Entries}
			if got.String() != m.String() && got.String() != next.String() {
				rt.Fatalf("stored %v\nwant   %v\nor     %v", got, m, next)
			}
			m = got
		}
	})
}

// TestFolder checks saving, replacing and reopening on the real file system.
func TestFolder(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "data")
	files, err := OpenFolder(path)
	is.NoErr(err)
	s, _, err := Open(files)
	is.NoErr(err)
	is.NoErr(s.Save(batch(1, 1, 5)))
	is.NoErr(s.ReplaceSnapshot(raft.Snapshot{Index: 3, Term: 1, Data: []byte("state")}, batch(4, 1, 2).Entries))
	is.NoErr(s.Save(batch(6, 2, 1)))
	is.NoErr(s.Close())
	_, stored, err := Open(files)
	is.NoErr(err)
	is.Equal(string(stored.Snapshot.Data), "state")
	is.Equal(len(stored.Entries), 3)
	is.Equal(stored.HardState, raft.HardState{Term: 2, Vote: "a"})
}
