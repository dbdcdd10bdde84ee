// Package result defines the numbered result codes and the error type that
// carries them. docs/RESULT-CODES.md lists what a caller may do about each code.
// The package does no input or output.
package result

import (
	"errors"
	"fmt"
	"time"
)

// Ran states whether a target executed a request, as far as that is known. It
// decides whether the request can safely be retried.
type Ran uint8

// The execution states of a request.
const (
	NotRun     Ran = iota + 1 // no target started to run the request; this is proven
	MayHaveRun                // a target may have started to run the request
	HasRun                    // a target ran the request and its answer is known
)

// String returns the text that is used in the documentation, in response
// headers and in logs.
func (r Ran) String() string {
	switch r {
	case NotRun:
		return "not run"
	case MayHaveRun:
		return "may have run"
	case HasRun:
		return "has run"
	default:
		return "unknown"
	}
}

// Code is a result code. Its number never changes and is never reused.
type Code uint16

// The result codes. The hundreds digit groups them: 1 validation of a request,
// 2 limits and queueing, 3 routing and ownership, 4 sending to a target,
// 5 operators' requests, 6 start and stop of a daemon, 7 internal errors,
// settings, storage and command lines.
const (
	OK Code = 0

	BadRequest        Code = 100
	UnknownService    Code = 101
	MissingCallerKey  Code = 102
	UnknownCallerKey  Code = 103
	MissingKey        Code = 104
	BodyTooLarge      Code = 105
	TooManyForwards   Code = 106
	DuplicateRequest  Code = 107
	HeaderTooLarge    Code = 108
	RateExceeded      Code = 200
	Overloaded        Code = 201
	DeadlineInQueue   Code = 202
	CallerGone        Code = 203
	RetryBudgetSpent  Code = 204
	NoTarget          Code = 300
	NotOwner          Code = 301
	ShardUnassigned   Code = 302
	CellUnreachable   Code = 303
	NoLease           Code = 304
	DataCentreOut     Code = 305
	ConnectFailed     Code = 400
	TargetRefused     Code = 401
	TargetTimeout     Code = 402
	ConnectionLost    Code = 403
	AnswerMismatch    Code = 404
	AnswerTooLarge    Code = 405
	ForwardLost       Code = 406
	OutcomeUnknown    Code = 407
	VersionConflict   Code = 500
	NoLeader          Code = 501
	Unauthenticated   Code = 502
	InvalidChange     Code = 503
	NotFound          Code = 504
	CommitUnknown     Code = 505
	Unsupported       Code = 506
	RequestIDReused   Code = 507
	Starting          Code = 600
	Stopping          Code = 601
	Internal          Code = 700
	SettingsInvalid   Code = 701
	StorageCorrupt    Code = 702
	StorageFailed     Code = 703
	CommandLineMisuse Code = 704
)

// Info describes a code.
type Info struct {
	Name       string // stable identifier in snake case
	Ran        Ran    // default for errors with this code
	HTTPStatus int
}

var infos = map[Code]Info{
	OK:                {"ok", HasRun, 200},
	BadRequest:        {"bad_request", NotRun, 400},
	UnknownService:    {"unknown_service", NotRun, 404},
	MissingCallerKey:  {"missing_caller_key", NotRun, 401},
	UnknownCallerKey:  {"unknown_caller_key", NotRun, 401},
	MissingKey:        {"missing_key", NotRun, 400},
	BodyTooLarge:      {"body_too_large", NotRun, 413},
	HeaderTooLarge:    {"header_too_large", NotRun, 431},
	TooManyForwards:   {"too_many_forwards", NotRun, 503},
	DuplicateRequest:  {"duplicate_request", MayHaveRun, 409},
	RateExceeded:      {"rate_exceeded", NotRun, 429},
	Overloaded:        {"overloaded", NotRun, 503},
	DeadlineInQueue:   {"deadline_in_queue", NotRun, 504},
	CallerGone:        {"caller_gone", NotRun, 499},
	RetryBudgetSpent:  {"retry_budget_spent", NotRun, 503},
	NoTarget:          {"no_target", NotRun, 503},
	NotOwner:          {"not_owner", NotRun, 503},
	ShardUnassigned:   {"shard_unassigned", NotRun, 503},
	CellUnreachable:   {"cell_unreachable", NotRun, 503},
	NoLease:           {"no_lease", NotRun, 503},
	DataCentreOut:     {"data_centre_out", NotRun, 503},
	ConnectFailed:     {"connect_failed", NotRun, 502},
	TargetRefused:     {"target_refused", NotRun, 503},
	TargetTimeout:     {"target_timeout", MayHaveRun, 504},
	ConnectionLost:    {"connection_lost", MayHaveRun, 502},
	AnswerMismatch:    {"answer_mismatch", MayHaveRun, 502},
	AnswerTooLarge:    {"answer_too_large", MayHaveRun, 502},
	ForwardLost:       {"forward_lost", MayHaveRun, 502},
	OutcomeUnknown:    {"outcome_unknown", MayHaveRun, 409},
	VersionConflict:   {"version_conflict", NotRun, 409},
	NoLeader:          {"no_leader", NotRun, 503},
	Unauthenticated:   {"unauthenticated", NotRun, 401},
	InvalidChange:     {"invalid_change", NotRun, 400},
	NotFound:          {"not_found", NotRun, 404},
	CommitUnknown:     {"commit_unknown", MayHaveRun, 503},
	Unsupported:       {"unsupported", NotRun, 501},
	RequestIDReused:   {"request_id_reused", NotRun, 409},
	Starting:          {"starting", NotRun, 503},
	Stopping:          {"stopping", NotRun, 503},
	Internal:          {"internal", MayHaveRun, 500},
	SettingsInvalid:   {"settings_invalid", NotRun, 400},
	StorageCorrupt:    {"storage_corrupt", NotRun, 500},
	StorageFailed:     {"storage_failed", MayHaveRun, 500},
	CommandLineMisuse: {"command_line_misuse", NotRun, 400},
}

// Info returns the description of c, or that of Internal if c is unknown.
func (c Code) Info() Info {
	if i, ok := infos[c]; ok {
		return i
	}
	return infos[Internal]
}

// String returns the code's name.
func (c Code) String() string { return c.Info().Name }

// Codes returns a copy of the table of all codes.
func Codes() map[Code]Info {
	all := make(map[Code]Info, len(infos))
	for c, i := range infos {
		all[c] = i
	}
	return all
}

// Error is an error with a result code. The zero value is not valid.
type Error struct {
	Code       Code
	Ran        Ran
	Detail     string
	RetryAfter time.Duration // delay that is suggested to the caller; 0: none
	Cause      error
}

// New returns an error of code c with the code's default execution state.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Ran: c.Info().Ran, Detail: fmt.Sprintf(format, args...)}
}

// Wrap is like New and also sets the cause, which errors.Is and errors.As can
// match.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	e := New(c, format, args...)
	e.Cause = cause
	return e
}

// Error returns the number and name of the code, the execution state, the detail
// and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%d %s (%s): %s", e.Code, e.Code, e.Ran, e.Detail)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in the chain of err. Any other error is wrapped as
// Internal with MayHaveRun, since nothing proves that the request did not run.
// From(nil) is nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(Internal, err, "unexpected error")
}

// CodeOf returns the result code of err; OK for nil.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	return From(err).Code
}

// Exit codes of the commands, apart from 0.
const (
	ExitNoAnswer   = 1 // no result was received; the change may be in force
	ExitMisuse     = 2 // the command line or the settings are invalid; nothing was started
	ExitNotRun     = 3 // refused; nothing was changed
	ExitMayHaveRun = 4 // it is unknown whether anything was changed
)

// ExitCode returns the exit code of a command that ended with c.
func (c Code) ExitCode() int {
	switch {
	case c == OK:
		return 0
	case c == SettingsInvalid, c == CommandLineMisuse:
		return ExitMisuse
	case c.Info().Ran == NotRun:
		return ExitNotRun
	default:
		return ExitMayHaveRun
	}
}
