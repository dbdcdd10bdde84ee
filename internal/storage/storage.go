// Package storage keeps a replica's log and snapshot in files of one folder.
// It is an edge to the disk, without decisions of its own: records.go frames
// and checks records, files.go is the file system behind an interface.
//
// A batch of entries is one frame, written by one call and counted once it is
// synced. A crash can therefore damage the last frame only: it is cut off. Any
// other damage means that the disk lost what was acknowledged, and the replica
// refuses to start.
package storage

import (
	"fmt"

	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	logName      = "log"
	snapshotName = "snapshot"
)

// Store is the open storage of one replica. One task owns it.
type Store struct {
	files Files
	log   File
	hard  raft.HardState
	buf   []byte
}

// Open reads what is stored and returns the store, ready to append. It cuts a
// torn tail. Damage anywhere else is result.StorageCorrupt.
func Open(files Files) (*Store, raft.Stored, error) {
	snap, err := readSnapshot(files)
	if err != nil {
		return nil, raft.Stored{}, err
	}
	data, err := files.ReadFile(logName)
	if err != nil {
		return nil, raft.Stored{}, result.Wrap(result.StorageFailed, err, "read the log")
	}
	if len(data) == 0 && (snap.Index > 0 || len(snap.Members) > 0) {
		return nil, raft.Stored{}, corrupt(logName, 0, errShort) // the vote was in it
	}
	reader := logReader{stored: raft.Stored{Snapshot: snap}}
	if err := reader.read(data); err != nil {
		return nil, raft.Stored{}, err
	}
	s := &Store{files: files, hard: reader.stored.HardState}
	// What was read may be in the machine's cache alone, after a failed sync: it
	// counts once it is written anew.
	if err := s.replaceLog(reader.stored.Entries); err != nil {
		return nil, raft.Stored{}, err
	}
	return s, reader.stored, nil
}

// Close closes the log file. What was appended is synced already.
func (s *Store) Close() error { return s.log.Close() }

// Save makes the durable parts of a durable before it returns. After an error
// the store must not be used again: what reached the disk is unknown.
func (s *Store) Save(a raft.Actions) error {
	if a.HardState != nil {
		s.hard = *a.HardState
	}
	if a.Snapshot == nil {
		return s.append(a.HardState, a.Entries)
	}
	// The term is on disk before a snapshot that may carry a newer one.
	if err := s.append(a.HardState, nil); err != nil {
		return err
	}
	return s.Replace(*a.Snapshot, a.Entries)
}

func (s *Store) append(hard *raft.HardState, entries []raft.Entry) error {
	if hard == nil && len(entries) == 0 {
		return nil
	}
	s.buf = appendFrame(s.buf[:0], func(b []byte) []byte {
		if hard != nil {
			b = appendHardState(b, *hard)
		}
		return appendEntries(b, entries)
	})
	if _, err := s.log.Write(s.buf); err != nil {
		return result.Wrap(result.StorageFailed, err, "append to the log")
	}
	if err := s.log.Sync(); err != nil {
		return result.Wrap(result.StorageFailed, err, "sync the log")
	}
	return nil
}

// Replace saves a snapshot and starts a log with the entries after it. A crash
// between the two leaves the old log, whose covered part Open skips.
func (s *Store) Replace(snap raft.Snapshot, entries []raft.Entry) error {
	frame := appendFrame(nil, func(b []byte) []byte { return appendSnapshot(b, snap) })
	if err := s.files.Replace(snapshotName, frame); err != nil {
		return result.Wrap(result.StorageFailed, err, "replace the snapshot")
	}
	_ = s.log.Close() // its name is gone with the next call
	return s.replaceLog(entries)
}

func (s *Store) replaceLog(entries []raft.Entry) error {
	log := appendFrame(nil, func(b []byte) []byte {
		return appendEntries(appendHardState(b, s.hard), entries)
	})
	if err := s.files.Replace(logName, log); err != nil {
		return result.Wrap(result.StorageFailed, err, "replace the log")
	}
	opened, err := s.files.OpenLog(logName, int64(len(log)))
	if err != nil {
		return result.Wrap(result.StorageFailed, err, "open the new log")
	}
	s.log = opened
	return nil
}

func readSnapshot(files Files) (raft.Snapshot, error) {
	data, err := files.ReadFile(snapshotName)
	if err != nil {
		return raft.Snapshot{}, result.Wrap(result.StorageFailed, err, "read the snapshot")
	}
	var snap raft.Snapshot
	if len(data) == 0 {
		return snap, nil
	}
	payload, rest, err := nextFrame(data)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%d bytes follow the snapshot", len(rest))
	}
	if err == nil {
		err = decodeRecords(payload, func(r record) error {
			snap = r.snapshot
			return nil
		})
	}
	if err != nil {
		return snap, corrupt(snapshotName, 0, err)
	}
	return snap, nil
}

// logReader rebuilds what a log holds after a snapshot.
type logReader struct {
	stored raft.Stored
	stale  bool // entries follow one that the snapshot contradicts
}

// read takes the whole log. Its first frame came with the file, by an atomic
// rename, and is never torn.
func (l *logReader) read(data []byte) error {
	rest := data
	for len(rest) > 0 {
		offset := len(data) - len(rest)
		payload, after, err := nextFrame(rest)
		if err != nil {
			if offset > 0 && isTornTail(rest) {
				return nil
			}
			return corrupt(logName, offset, err)
		}
		if err := decodeRecords(payload, l.add); err != nil {
			return corrupt(logName, offset, err)
		}
		rest = after
	}
	return nil
}

// add applies one record. An entry replaces those with the same or a higher
// index. Entries that the snapshot covers are skipped, and with one that it
// contradicts all that follow it.
func (l *logReader) add(r record) error {
	if r.kind == recordHardState {
		l.stored.HardState = r.hard
		return nil
	}
	if r.kind != recordEntry {
		return fmt.Errorf("record of kind %d in the log", r.kind)
	}
	e, snap := r.entry, l.stored.Snapshot
	if e.Index <= snap.Index {
		l.stored.Entries = nil
		l.stale = e.Index == snap.Index && e.Term != snap.Term
		return nil
	}
	if l.stale {
		return nil
	}
	place := int(e.Index - snap.Index - 1)
	if place > len(l.stored.Entries) {
		return fmt.Errorf("entry %d follows %d", e.Index, int(snap.Index)+len(l.stored.Entries))
	}
	l.stored.Entries = append(l.stored.Entries[:place], e)
	return nil
}

func corrupt(name string, offset int, cause error) error {
	return result.Wrap(result.StorageCorrupt, cause,
		"file %s of the data folder is damaged at byte %d, before its tail; "+
			"remove this voter from the registry, empty its data folder and add it again as a new voter; "+
			"do not edit or shorten the file", name, offset)
}
