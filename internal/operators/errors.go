package operators

import (
	"errors"
	"strconv"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Metadata keys of a twirp error.
const (
	MetaCode = "result_code" // result.Code as a decimal number
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

// FromTwirp converts a twirp error that carries a result code to a CallError. It
// returns other errors, such as a failed connection, unchanged.
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

// CallError is the error that a daemon returned for a call.
type CallError struct {
	Code    result.Code
	Message string // the daemon's text, with the code's number, name and class
}

// Error implements error.
func (e *CallError) Error() string { return e.Message }
