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

// TestAnnouncements holds that targets announce themselves twice, return under
// the same address, and share an id, without the view flapping.
func TestAnnouncements(t *testing.T) {
	start := time.Unix(0, 0)
	for name, c := range map[string]struct {
		second  core.Target
		after   time.Duration
		changed bool
		holds   core.Target
	}{
		"twice":                    {target("a", 1), time.Second, false, target("a", 1)},
		"returned, same address":   {target("a", 2), time.Second, true, target("a", 2)},
		"returned, other address":  {target("b", 2), time.Second, true, target("b", 2)},
		"late, older incarnation":  {target("a", 0), time.Second, false, target("a", 1)},
		"second target of one id":  {target("b", 1), time.Second, false, target("a", 1)},
		"first of two fell silent": {target("b", 1), ttl, true, target("b", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSet(ttl)
			is.True(s.Announce(target("a", 1), start))
			is.Equal(s.Announce(c.second, start.Add(c.after)), c.changed)
			is.Equal(s.View().Targets["t"], c.holds)
		})
	}
}

// TestSilentTargetExpires holds that a target which stopped announcing leaves.
func TestSilentTargetExpires(t *testing.T) {
	is := is.New(t)
	s := NewSet(ttl)
	s.Announce(target("a", 1), time.Unix(0, 0))
	is.True(!s.Expire(time.Unix(0, 0).Add(ttl - 1)))
	is.True(s.Expire(time.Unix(0, 0).Add(ttl)))
	is.Equal(len(s.View().Targets), 0)
}
