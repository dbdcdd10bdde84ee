// Package security secures connections between daemons, and from operators to
// daemons, by mutual TLS. task.go is the task that owns the keys in use and
// reloads the key files when they change; tls.go wraps listeners and dialers.
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

// reloadPeriod is the interval at which the key files are checked for changes.
const reloadPeriod = 5 * time.Second

// Files names the PEM files of one side of mutual TLS.
type Files struct {
	Certificate string // certificate of this VM
	Key         string // private key of Certificate
	Authority   string // CA certificates that verify the peer's certificate
}

// keys are the immutable contents of the files at the time of one read.
type keys struct {
	content     [3][]byte
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Task owns the keys in use. A reload affects new connections only.
type Task struct {
	files  Files
	keys   task.Snapshot[keys]
	report func(error)
}

// NewTask reads the files. If a later reload fails, the previous keys remain in
// use and the task calls report from the goroutine of Serve.
func NewTask(files Files, report func(error)) (*Task, error) {
	k, err := read(files)
	if err != nil {
		return nil, result.Wrap(result.SettingsInvalid, err, "key files")
	}
	return &Task{files: files, keys: task.NewSnapshot(k), report: report}, nil
}

// Serve checks the files for changes every reloadPeriod until ctx ends.
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

// reload publishes the keys if a file has changed. If only some of the files have
// been replaced so far, they don't match and the read fails; a later reload picks
// up the complete set.
func (t *Task) reload() {
	k, err := read(t.files)
	if err != nil {
		t.report(fmt.Errorf("reload key files, previous keys remain in use: %w", err))
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
		return nil, fmt.Errorf("%s: contains no PEM certificate", f.Authority)
	}
	return k, nil
}
