package storage

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"
)

// FileSystem is the file system interface that a Store uses.
type FileSystem interface {
	// ReadFile returns a file's content, empty if the file doesn't exist.
	ReadFile(name string) ([]byte, error)
	// OpenLog truncates a file to size bytes, creates it if necessary, makes this
	// durable and opens the file for appending.
	OpenLog(name string, size int64) (LogFile, error)
	// Replace replaces a file atomically and durably: after a crash it holds
	// either the old or the new content, and after success the new content.
	Replace(name string, data []byte) error
}

// LogFile is an open log file.
type LogFile interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// folder is the path of a folder in the file system.
type folder string

// OpenFolder returns the files of one folder, which it creates if necessary.
func OpenFolder(path string) (FileSystem, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, err
	}
	f := folder(path)
	return f, errors.Join(syncFolder(filepath.Dir(path)), f.sync())
}

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

func (f folder) sync() error { return syncFolder(string(f)) }

// syncFolder makes the directory entries of a folder durable.
func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// ReadFile implements FileSystem.
func (f folder) ReadFile(name string) ([]byte, error) {
	data, err := os.ReadFile(f.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	return data, err
}

// OpenLog implements FileSystem.
func (f folder) OpenLog(name string, size int64) (LogFile, error) {
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(file.Truncate(size), file.Sync(), f.sync()); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Replace implements FileSystem. renameio syncs the file before the rename. Syncing the
// folder makes the rename durable.
func (f folder) Replace(name string, data []byte) error {
	if err := renameio.WriteFile(f.path(name), data, fileMode); err != nil {
		return err
	}
	return f.sync()
}

// memory holds files in memory by name.
type memory map[string]*memoryFile

type memoryFile struct{ data []byte }

// InMemory returns files in memory, for a single daemon without a data folder. They
// are lost when the process ends.
func InMemory() FileSystem { return memory{} }

func (m memory) file(name string) *memoryFile {
	if m[name] == nil {
		m[name] = &memoryFile{}
	}
	return m[name]
}

// ReadFile implements FileSystem.
func (m memory) ReadFile(name string) ([]byte, error) { return m.file(name).data, nil }

// OpenLog implements FileSystem.
func (m memory) OpenLog(name string, size int64) (LogFile, error) {
	f := m.file(name)
	f.data = f.data[:size]
	return f, nil
}

// Replace implements FileSystem.
func (m memory) Replace(name string, data []byte) error {
	m.file(name).data = append([]byte(nil), data...)
	return nil
}

// Write implements LogFile.
func (f *memoryFile) Write(p []byte) (int, error) {
	f.data = append(f.data, p...)
	return len(p), nil
}

// Sync implements LogFile.
func (f *memoryFile) Sync() error { return nil }

// Close implements LogFile.
func (f *memoryFile) Close() error { return nil }
