package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const ttl = 3 * time.Second

func target(address string, incarnation core.Incarnation) core.Target {
	return core.Target{ID: "t", Service: "s", Address: address, Incarnation: incarnation}
}

// TestAnnouncements checks that the view does not flap when a target announces
// itself repeatedly, restarts, or shares its id with another target.
func TestAnnouncements(t *testing.T) {
	start := time.Unix(0, 0)
	for name, c := range map[string]struct {
		second  core.Target
		delay   time.Duration
		changed bool
		kept    core.Target
	}{
		"announced twice":                {target("a", 1), time.Second, false, target("a", 1)},
		"restarted, same address":        {target("a", 2), time.Second, true, target("a", 2)},
		"restarted, other address":       {target("b", 2), time.Second, true, target("b", 2)},
		"delayed, older incarnation":     {target("a", 0), time.Second, false, target("a", 1)},
		"second target with the same id": {target("b", 1), time.Second, false, target("a", 1)},
		"first of two expired":           {target("b", 1), ttl, true, target("b", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSet(ttl)
			is.True(s.Announce(target("a", 1), start))
			is.Equal(s.Announce(c.second, start.Add(c.delay)), c.changed)
			is.Equal(s.View().Targets["t"], c.kept)
		})
	}
}

// TestTargetExpires checks that a target that stops announcing itself is removed
// after the ttl.
func TestTargetExpires(t *testing.T) {
	is := is.New(t)
	s := NewSet(ttl)
	s.Announce(target("a", 1), time.Unix(0, 0))
	is.True(!s.Expire(time.Unix(0, 0).Add(ttl - 1)))
	is.True(s.Expire(time.Unix(0, 0).Add(ttl)))
	is.Equal(len(s.View().Targets), 0)
}
