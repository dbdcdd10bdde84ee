package daemon

import (
	"net/http"
	"time"

	"github.com/go-kit/log/level"

	"github.com/comfreynotch/comfreynotch/internal/operators"
	"github.com/comfreynotch/comfreynotch/internal/security"
	"github.com/comfreynotch/comfreynotch/internal/settings"
	"github.com/comfreynotch/comfreynotch/internal/task"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

const (
	innerIdlePerVM   = 8 // connections
	innerIdleTimeout = 30 * time.Second
)

// secured holds the tasks that reload key files, and what the clients of the
// inner protocol use to connect to other daemons.
type secured struct {
	tasks     []task.Service
	dial      security.DialFunc // connects to other daemons, by TLS if configured
	transport *http.Transport   // shared by the clients of the inner protocol
}

// secure adds TLS to the listeners for which key files are configured. Validation
// of the settings ensures that any other listener is bound to loopback or that
// the settings explicitly allow plain text.
func (d *Daemon) secure(s *settings.Settings, p operators.Policy) error {
	d.secured.dial = witness.Dial
	inner, err := d.keys(s.InnerTLS)
	if err != nil {
		return err
	}
	if inner != nil {
		d.listeners.inner = inner.Listener(d.listeners.inner, security.CertificateRequired)
		d.secured.dial = inner.Dial(witness.Dial)
	}
	ops, err := d.keys(s.OperatorsTLS)
	if err != nil {
		return err
	}
	if ops != nil {
		policy := security.CertificateRequired
		if len(p.Tokens) > 0 || p.Anyone {
			policy = security.CertificateOptional
		}
		d.listeners.operators = ops.Listener(d.listeners.operators, policy)
	}
	d.secured.transport = &http.Transport{
		DialContext: d.secured.dial, MaxIdleConnsPerHost: innerIdlePerVM,
		IdleConnTimeout: innerIdleTimeout, DisableCompression: true,
	}
	return nil
}

// keys returns the task that loads and reloads a set of key files, or nil if t
// names none.
func (d *Daemon) keys(t settings.TLS) (*security.Task, error) {
	if !t.Enabled() {
		return nil, nil
	}
	files := security.Files{Certificate: t.CertificateFile, Key: t.KeyFile, Authority: t.AuthorityFile}
	keys, err := security.NewTask(files, func(err error) {
		_ = level.Error(d.logger).Log("msg", "key files", "err", err)
	})
	if err == nil {
		d.secured.tasks = append(d.secured.tasks, task.Func("key files", keys.Serve))
	}
	return keys, err
}
