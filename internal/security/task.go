// Package security protects the connections between daemons and those of
// operators by mutual TLS from key files, which are read again when they change.
// It is an edge: task.go is the task that owns the keys in force, tls.go what
// listeners and clients make of them.
package security

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// reloadPeriod is the time between two looks at the key files.
const reloadPeriod = 5 * time.Second

// Files names the PEM files of one side of mutual TLS.
type Files struct {
	Certificate string // of this VM
	Key         string // private key of Certificate
	Authority   string // certificates that sign the other side
}

// keys are what one reading of the files gave. They are immutable.
type keys struct {
	content     [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Task owns the keys in force. Connections that are open keep the keys with
// which they began.
type Task struct {
	files  Files
	keys   task.Snapshot[keys]
	report func(error)
}

// NewTask reads the files. It calls report, from its own goroutine, when a later
// reading fails; the keys before it stay in force.
func NewTask(files Files, report func(error)) (*Task, error) {
	k, err := read(files)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "key files")
	}
	return &Task{files: files, keys: task.NewSnapshot(k), report: report}, nil
}

// Serve reads the files again now and then, until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			t.reload()
		}
	}
}

// reload takes changed files into force. Files of which only some are written
// yet do not fit together: the next look takes them.
func (t *Task) reload() {
	k, err := read(t.files)
	if err != nil {
		t.report(fmt.Errorf("key files stay as they were: %w", err))
		return
	}
	for i, old := range t.keys.Load().content {
		if !bytes.Equal(old, k.content[i]) {
			t.keys.Publish(k)
			return
		}
	}
}

func read(f Files) (*keys, error) {
	k := &keys{authorities: x509.NewCertPool()}
	for i, path := range []string{f.Certificate, f.Key, f.Authority} {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		k.content[i] = content
	}
	certificate, err := tls.X509KeyPair(k.content[0], k.content[1])
	if err != nil {
		return nil, fmt.Errorf("%s and %s: %w", f.Certificate, f.Key, err)
	}
	k.certificate = certificate
	if !k.authorities.AppendCertsFromPEM(k.content[2]) {
		return nil, fmt.Errorf("%s: holds no PEM certificate", f.Authority)
	}
	return k, nil
}
