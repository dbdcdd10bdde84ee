package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// headerSize is the size of a frame's header in bytes. The header holds three
// 32-bit little-endian numbers: the length of the payload, the CRC-32C of the
// payload, and the CRC-32C of the first eight bytes. The payload, a sequence of
// records, follows it.
const headerSize = 12

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// The kinds of records. The numbers are stored on disk: never reuse one.
const (
	recordHardState byte = 1
	recordEntry     byte = 2
	recordSnapshot  byte = 3
)

type record struct {
	kind      byte
	hardState raft.HardState
	entry     raft.Entry
	snapshot  raft.Snapshot
}

var (
	errIncomplete = errors.New("the frame is incomplete")
	errChecksum   = errors.New("the checksum does not match")
)

// appendFrame appends a frame to b. fill appends the payload.
func appendFrame(b []byte, fill func([]byte) []byte) []byte {
	start := len(b)
	b = append(b, make([]byte, headerSize)...)
	b = fill(b)
	header, payload := b[start:start+headerSize], b[start+headerSize:]
	binary.LittleEndian.PutUint32(header, uint32(len(payload)))
	binary.LittleEndian.PutUint32(header[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(header[:8], castagnoli))
	return b
}

// nextFrame returns the payload of the first frame in data and the bytes after the
// frame.
func nextFrame(data []byte) (payload, rest []byte, err error) {
	size, err := frameSize(data)
	if err != nil {
		return nil, nil, err
	}
	if len(data) < size {
		return nil, nil, errIncomplete
	}
	payload = data[headerSize:size]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, errChecksum
	}
	return payload, data[size:], nil
}

// frameSize returns the size of the first frame in data, header included, according
// to its header. The payload may be incomplete.
func frameSize(data []byte) (int, error) {
	if len(data) < headerSize {
		return 0, errIncomplete
	}
	if crc32.Checksum(data[:8], castagnoli) != binary.LittleEndian.Uint32(data[8:]) {
		return 0, errChecksum
	}
	return headerSize + int(binary.LittleEndian.Uint32(data)), nil
}

// isTornTail reports whether data, which starts with a damaged frame, can be the
// end of a log after a crash during the last write: no valid frame follows.
func isTornTail(data []byte) bool {
	if size, err := frameSize(data); err == nil {
		return size >= len(data)
	}
	for i := 1; i < len(data); i++ {
		if _, _, err := nextFrame(data[i:]); err == nil {
			return false
		}
	}
	return true
}

func appendHardState(b []byte, h raft.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.AppendUvarint(b, uint64(h.Term))
	return appendBytes(b, []byte(h.Vote))
}

func appendEntries(b []byte, entries []raft.Entry) []byte {
	for _, e := range entries {
		b = append(b, recordEntry, byte(e.Kind))
		b = binary.AppendUvarint(b, uint64(e.Index))
		b = binary.AppendUvarint(b, uint64(e.Term))
		b = appendBytes(b, e.Data)
		b = appendMembers(b, e.Members)
	}
	return b
}

func appendSnapshot(b []byte, s raft.Snapshot) []byte {
	b = append(b, recordSnapshot)
	b = binary.AppendUvarint(b, uint64(s.Index))
	b = binary.AppendUvarint(b, uint64(s.Term))
	b = appendBytes(b, s.Data)
	return appendMembers(b, s.Members)
}

func appendMembers(b []byte, members raft.Members) []byte {
	b = binary.AppendUvarint(b, uint64(len(members)))
	for _, m := range members {
		b = appendBytes(b, []byte(m.VM))
		b = appendBytes(b, []byte(m.Address))
		learner := byte(0)
		if m.Learner {
			learner = 1
		}
		b = append(b, learner)
	}
	return b
}

func appendBytes(b, data []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(data)))
	return append(b, data...)
}

// decodeRecords calls add for each record of a payload.
func decodeRecords(payload []byte, add func(record) error) error {
	d := decoder{rest: payload}
	for len(d.rest) > 0 && d.err == nil {
		r := record{kind: d.byte()}
		switch r.kind {
		case recordHardState:
			r.hardState = raft.HardState{Term: raft.Term(d.uvarint()), Vote: core.VM(d.bytes())}
		case recordEntry:
			r.entry.Kind = raft.EntryKind(d.byte())
			r.entry.Index = raft.Index(d.uvarint())
			r.entry.Term = raft.Term(d.uvarint())
			r.entry.Data = d.bytes()
			r.entry.Members = d.members()
		case recordSnapshot:
			r.snapshot.Index = raft.Index(d.uvarint())
			r.snapshot.Term = raft.Term(d.uvarint())
			r.snapshot.Data = d.bytes()
			r.snapshot.Members = d.members()
		default:
			return fmt.Errorf("unknown record of kind %d: written by a newer version", r.kind)
		}
		if d.err != nil {
			return d.err
		}
		if err := add(r); err != nil {
			return err
		}
	}
	return d.err
}

// decoder decodes fields. err holds a decoding error once there is one.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.err = errIncomplete
		return 0
	}
	v := d.rest[0]
	d.rest = d.rest[1:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.err = errIncomplete
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.err = errIncomplete
	}
	if d.err != nil || n == 0 {
		return nil
	}
	v := d.rest[:n:n]
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) members() raft.Members {
	var members raft.Members
	for n := d.uvarint(); n > 0 && d.err == nil; n-- {
		members = append(members, raft.Member{
			VM: core.VM(d.bytes()), Address: string(d.bytes()), Learner: d.byte() == 1,
		})
	}
	return members
}
