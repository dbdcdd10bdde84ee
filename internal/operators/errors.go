package operators

import (
	"errors"
	"strconv"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Fields of a twirp error.
const (
	MetaCode = "result_code" // number of the result code
	MetaRan  = "ran"         // "not run", "may have run" or "has run"
)

var twirpCodes = map[result.Code]twirp.ErrorCode{
	result.VersionConflict: twirp.Aborted,
	result.InvalidChange:   twirp.InvalidArgument,
	result.NotFound:        twirp.NotFound,
	result.Unauthenticated: twirp.Unauthenticated,
	result.NoLeader:        twirp.Unavailable,
	result.CommitUnknown:   twirp.Unavailable,
	result.Starting:        twirp.Unavailable,
	result.Stopping:        twirp.Unavailable,
	result.Overloaded:      twirp.ResourceExhausted,
	result.Unsupported:     twirp.Unimplemented,
}

func toTwirp(err error) twirp.Error {
	e := result.From(err)
	code, ok := twirpCodes[e.Code]
	if !ok {
		code = twirp.Internal
	}
	return twirp.NewError(code, err.Error()).
		WithMeta(MetaCode, strconv.Itoa(int(e.Code))).
		WithMeta(MetaRan, e.Ran.String())
}

// FromTwirp returns the error with the result code that a daemon answered with.
// An error that carries none, such as a failed connection, comes back as it is.
func FromTwirp(err error) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		return err
	}
	n, convErr := strconv.ParseUint(te.Meta(MetaCode), 10, 16)
	if convErr != nil {
		return err
	}
	return &CallError{Code: result.Code(n), Message: te.Msg()}
}

// CallError is a daemon's refusal of a call, as its client sees it.
type CallError struct {
	Code    result.Code
	Message string // as the daemon wrote it, with number, name and class
}

// Error implements error.
func (e *CallError) Error() string { return e.Message }
