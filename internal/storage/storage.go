// Package storage stores a replica's raft log and snapshot in two files of one
// folder. records.go encodes and checks records, files.go is the interface to the
// file system.
//
// A batch of entries is one frame. It is written by one call and acknowledged
// after a sync, so that a crash can damage only the last frame, which Open
// discards. Any other damage means that the disk lost acknowledged data, and the
// replica refuses to start.
package storage

import (
	"fmt"

	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	logFileName      = "log"
	snapshotFileName = "snapshot"
)

// Store is the open storage of one replica. It is not safe for concurrent use.
type Store struct {
	files     FileSystem
	log       LogFile
	hardState raft.HardState
	frame     []byte
}

// Open reads the stored state and returns it with a store that is ready to append.
// It discards a torn write at the end of the log. The error for damage anywhere
// else is result.StorageCorrupt.
func Open(files FileSystem) (*Store, raft.StoredState, error) {
	snap, err := readSnapshot(files)
	if err != nil {
		return nil, raft.StoredState{}, err
	}
	data, err := files.ReadFile(logFileName)
	if err != nil {
		return nil, raft.StoredState{}, result.Wrap(result.StorageFailed, err, "read the log")
	}
	if len(data) == 0 && (snap.Index > 0 || len(snap.Members) > 0) {
		return nil, raft.StoredState{}, corrupt(logFileName, 0, errIncomplete) // the lost log held the replica's vote
	}
	reader := logReader{stored: raft.StoredState{Snapshot: snap}}
	if err := reader.read(data); err != nil {
		return nil, raft.StoredState{}, err
	}
	s := &Store{files: files, hardState: reader.stored.HardState}
	// After a failed sync of the previous process, the data just read may be in
	// the page cache only. Rewriting the log makes it durable.
	if err := s.replaceLog(reader.stored.Entries); err != nil {
		return nil, raft.StoredState{}, err
	}
	return s, reader.stored, nil
}

// Close closes the log file, which is synced after each append.
func (s *Store) Close() error { return s.log.Close() }

// Save writes the hard state, snapshot and entries of a and syncs them before it
// returns. After an error the store must not be used again, since it is unknown
// what reached the disk.
func (s *Store) Save(a raft.Actions) error {
	if a.HardState != nil {
		s.hardState = *a.HardState
	}
	if a.Snapshot == nil {
		return s.append(a.HardState, a.Entries)
	}
	// The snapshot may carry a newer term: the hard state must be durable first.
	if err := s.append(a.HardState, nil); err != nil {
		return err
	}
	return s.ReplaceSnapshot(*a.Snapshot, a.Entries)
}

// append writes the hard state, if any, and the entries as one frame and syncs it.
func (s *Store) append(hardState *raft.HardState, entries []raft.Entry) error {
	if hardState == nil && len(entries) == 0 {
		return nil
	}
	s.frame = appendFrame(s.frame[:0], func(b []byte) []byte {
		if hardState != nil {
			b = appendHardState(b, *hardState)
		}
		return appendEntries(b, entries)
	})
	if _, err := s.log.Write(s.frame); err != nil {
		return result.Wrap(result.StorageFailed, err, "append to the log")
	}
	if err := s.log.Sync(); err != nil {
		return result.Wrap(result.StorageFailed, err, "sync the log")
	}
	return nil
}

// ReplaceSnapshot saves a snapshot and replaces the log with one that holds only the
// entries after it. A crash between the two steps leaves the old log; Open skips
// its entries that the snapshot covers.
func (s *Store) ReplaceSnapshot(snap raft.Snapshot, entries []raft.Entry) error {
	frame := appendFrame(nil, func(b []byte) []byte { return appendSnapshot(b, snap) })
	if err := s.files.Replace(snapshotFileName, frame); err != nil {
		return result.Wrap(result.StorageFailed, err, "replace the snapshot")
	}
	_ = s.log.Close() // the next call replaces the file
	return s.replaceLog(entries)
}

func (s *Store) replaceLog(entries []raft.Entry) error {
	frame := appendFrame(nil, func(b []byte) []byte {
		return appendEntries(appendHardState(b, s.hardState), entries)
	})
	if err := s.files.Replace(logFileName, frame); err != nil {
		return result.Wrap(result.StorageFailed, err, "replace the log")
	}
	file, err := s.files.OpenLog(logFileName, int64(len(frame)))
	if err != nil {
		return result.Wrap(result.StorageFailed, err, "open the new log")
	}
	s.log = file
	return nil
}

func readSnapshot(files FileSystem) (raft.Snapshot, error) {
	data, err := files.ReadFile(snapshotFileName)
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
		return snap, corrupt(snapshotFileName, 0, err)
	}
	return snap, nil
}

// logReader reads the hard state and the entries after a snapshot from a log.
type logReader struct {
	stored      raft.StoredState
	conflicting bool // the entry at the snapshot's index has another term: skip the entries after it
}

// read reads the whole log. Only a frame after the first can be torn: the first
// one was written before the file was renamed into place.
func (l *logReader) read(data []byte) error {
	rest := data
	for len(rest) > 0 {
		offset := len(data) - len(rest)
		payload, after, err := nextFrame(rest)
		if err != nil {
			if offset > 0 && isTornTail(rest) {
				return nil
			}
			return corrupt(logFileName, offset, err)
		}
		if err := decodeRecords(payload, l.add); err != nil {
			return corrupt(logFileName, offset, err)
		}
		rest = after
	}
	return nil
}

// add applies one record. An entry replaces the entries with the same or a higher
// index. Entries that the snapshot covers are skipped. If the entry at the
// snapshot's index has another term, the entries after it are skipped as well.
func (l *logReader) add(r record) error {
	if r.kind == recordHardState {
		l.stored.HardState = r.hardState
		return nil
	}
	if r.kind != recordEntry {
		return fmt.Errorf("record of kind %d in the log", r.kind)
	}
	e, snap := r.entry, l.stored.Snapshot
	if e.Index <= snap.Index {
		l.stored.Entries = nil
		l.conflicting = e.Index == snap.Index && e.Term != snap.Term
		return nil
	}
	if l.conflicting {
		return nil
	}
	position := int(e.Index - snap.Index - 1)
	if position > len(l.stored.Entries) {
		return fmt.Errorf("entry %d follows %d", e.Index, int(snap.Index)+len(l.stored.Entries))
	}
	l.stored.Entries = append(l.stored.Entries[:position], e)
	return nil
}

func corrupt(name string, offset int, cause error) error {
	return result.Wrap(result.StorageCorrupt, cause,
		"file %s of the data folder is damaged at byte %d, before its tail; "+
			"remove this voter from the registry, empty its data folder and add it again as a new voter; "+
			"do not edit or shorten the file", name, offset)
}
