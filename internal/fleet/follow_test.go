package fleet

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// silentVMs answers polls as the leader, except those of the addresses in it.
type silentVMs map[string]bool

func (s silentVMs) Poll(ctx context.Context, address string, q PollRequest) (Update, error) {
	if s[address] {
		time.Sleep(q.Hold + q.AnswerTimeout)
		return Update{}, errors.New("no answer")
	}
	select {
	case <-ctx.Done():
		return Update{}, ctx.Err()
	case <-time.After(q.Hold):
		return Update{Term: 1, Sequence: 1, ControlVMs: []core.VM{core.VM(address)}}, nil
	}
}

func (silentVMs) Draw(context.Context, string, []quota.Want, bool) ([]quota.Supply, error) {
	return nil, nil
}

// TestLeaderIsFoundBesideSilentVMs guards against an entry VM that learns late of
// targets that leave, since control VMs that don't answer are each given the time of a
// whole long poll.
func TestLeaderIsFoundBesideSilentVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		begin := time.Now()
		var found time.Duration
		f := NewFollower(FollowerOptions{
			Self: "entry", Seeds: func() []string { return []string{"c", "a", "b"} }, Client: silentVMs{"a": true, "b": true},
			Report: func() Report { return Report{} }, Record: func(string, ...any) {},
			Deliver: func(context.Context, Update) {
				found = time.Since(begin)
				cancel()
			},
		})
		_ = f.Serve(ctx)
		is.True(found > 0)
		is.True(found <= 2*(answerTimeout+failurePause))
	})
}
