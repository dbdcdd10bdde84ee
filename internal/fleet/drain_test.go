package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestDrainingTargetReleasesItsKeysAtOnce checks that the answer to the heartbeat
// in which a target says that it leaves already leaves its keys out, so that they
// move without another heartbeat interval, unless no other target can take them.
func TestDrainingTargetReleasesItsKeysAtOnce(t *testing.T) {
	is := is.New(t)
	state := config.NewState()
	state.Catalog.Services[keyed] = config.TargetClass{Name: keyed, Keyed: true}
	state.Keys[keyed] = config.KeyTable{{First: 0, Last: config.KeySpace - 1, Owner: "i-1", Life: 1, Fence: 5}}
	leader := NewLeaderState(testParameters)
	start := time.Unix(1000, 0)
	leader.BeginTerm(1, start)
	beat := func(id core.TargetID, sequence uint64, draining bool) int {
		h := heartbeatOf(id, sequence)
		h.Target.Service, h.Target.Draining = keyed, draining
		grant, ok := leader.ApplyHeartbeat(h, state, start)
		is.True(ok)
		return len(grant.Ranges)
	}
	is.Equal(beat("i-1", 1, false), 1)
	is.Equal(beat("i-1", 2, true), 1) // nobody else could serve the keys
	is.Equal(beat("i-2", 1, false), 0)
	is.Equal(beat("i-1", 3, true), 0)
}
