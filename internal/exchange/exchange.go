// Package exchange holds one request and its answer as every stage sees them,
// free of any wire encoding. It is a decisions layer only.
package exchange

import (
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Header maps a canonical field name to its values.
type Header = map[string][]string

// Request is one caller's request after authentication. Its body is whole.
type Request struct {
	ID             core.RequestID
	Workspace      core.Workspace
	Service        core.Service
	Method         string
	Path           string // path and query that the target gets
	Header         Header // without the caller's key and hop-by-hop fields
	Body           []byte
	Key            string // of a keyed service
	Shard          core.Shard
	Deadline       time.Time
	Retryable      bool          // may be sent more than once
	IdempotencyKey string        // empty: none
	Forwards       int           // hops between daemons so far
	Attempt        int           // earlier sends of this request
	Avoid          core.TargetID // the target of the newest one
}

// Answer is a target's answer. Either Body is whole, or Stream delivers the
// rest of it and must be closed.
type Answer struct {
	Status int
	Header Header
	Body   []byte
	Stream io.ReadCloser // nil when Body is whole
	Length int64         // of the body in bytes, as declared; -1 when unknown
	NoBody bool          // the method or the status rules out a body; Length is still what it would be
	Target core.TargetID
	Load   uint32 // of the service at the daemon that dispatched it, in thousandths
}

// Attempt is what became of sending a request to one target.
type Attempt struct {
	Code    result.Code
	Ran     result.Ran
	Latency time.Duration // from sending to the first byte of the answer, or to the end without one
	Status  int           // of the answer, 0 without one
	// Streamed says that the answer streams, or streamed, after its first byte
	// was reported.
	Streamed bool
}
