// Package exchange defines a caller's request and the target's answer in the
// form that all stages of request handling share. It contains no wire encoding
// and does no input or output.
package exchange

import (
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Header maps a canonical header field name to its values.
type Header = map[string][]string

// Request is an authenticated request of a caller. Its body has been read
// completely.
type Request struct {
	ID             core.RequestID
	Workspace      core.Workspace
	Service        core.Service
	Method         string
	Path           string // path and query as sent to the target
	Header         Header // without the caller key and the hop-by-hop fields
	Body           []byte
	Key            string // selects the shard of a keyed service
	Shard          core.Shard
	Deadline       time.Time
	Retryable      bool          // sending it more than once is safe
	IdempotencyKey string        // empty: none
	Forwards       int           // how often daemons have forwarded the request so far
	Attempt        int           // number of earlier attempts
	Avoid          core.TargetID // target of the previous attempt; the next one prefers another
}

// Answer is a target's response. Either Body holds the complete body, or the
// remainder is read from Stream, which must be closed.
type Answer struct {
	Status int
	Header Header
	Body   []byte
	Stream io.ReadCloser // nil if Body is complete
	Length int64         // declared length of the body in bytes; -1 if unknown
	NoBody bool          // the method or the status permits no body; Length is that of the omitted body
	Target core.TargetID
	Load   uint32 // of the service on the daemon that dispatched the request, in thousandths
}

// Attempt is the outcome of sending a request to one target.
type Attempt struct {
	Code    result.Code
	Ran     result.Ran
	Latency time.Duration // from sending to the first byte of the answer; without an answer, to the end of the attempt
	Status  int           // HTTP status of the answer; 0: no answer
	// Streamed is set if the body of the answer is read from a stream. The first
	// byte of such an answer was reported separately, before the attempt ended.
	Streamed bool
}
