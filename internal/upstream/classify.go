package upstream

import (
	"context"
	"errors"

	"github.com/comfreynotch/comfreynotch/internal/dispatch"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

// classify converts the error of a request without an answer into a result. The
// result is "not run" only if it is proved that no byte of the request was sent.
func classify(ctx context.Context, tracker *witness.SendTracker, err error, s dispatch.Slot) *result.Error {
	e := result.Wrap(codeOf(ctx, tracker), err, "target %s", s.Target.ID)
	if tracker.NotSent() {
		e.Ran = result.NotRun
	} else {
		e.Ran = result.MayHaveRun
	}
	return e
}

func codeOf(ctx context.Context, tracker *witness.SendTracker) result.Code {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errUnresponsive):
		return result.ConnectionLost
	case errors.Is(cause, context.DeadlineExceeded):
		return result.TargetTimeout
	case cause != nil:
		return result.CallerGone
	case !tracker.Connected():
		return result.ConnectFailed
	default:
		return result.ConnectionLost
	}
}
