package storage

import (
	"testing"

	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// BenchmarkSave measures saving a batch of one entry with a sync, on the local
// disk.
func BenchmarkSave(b *testing.B) {
	files, err := OpenFolder(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	s, _, err := Open(files)
	if err != nil {
		b.Fatal(err)
	}
	index := raft.Index(0)
	for b.Loop() {
		index++
		if err := s.Save(batch(index, 1, 1)); err != nil {
			b.Fatal(err)
		}
	}
}
