// Package membership tracks the targets that announce themselves and removes those
// that stop. membership.go has the decisions, task.go the task that owns the set
// and publishes views of it.
package membership

import (
	"maps"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// View is an immutable view of the targets that have not expired.
type View struct {
	Targets map[core.TargetID]core.Target
}

// Set holds the newest announcement of each target.
type Set struct {
	ttl     time.Duration
	targets map[core.TargetID]announcement
}

type announcement struct {
	target     core.Target
	receivedAt time.Time
}

// NewSet returns an empty set. A target expires ttl after its newest announcement.
func NewSet(ttl time.Duration) *Set {
	return &Set{ttl: ttl, targets: map[core.TargetID]announcement{}}
}

// Announce records an announcement of t received at now and reports whether the
// view changed. Announcements of an older incarnation are ignored. So are those of
// the same incarnation with another address, which mean that two targets use the
// same id: the first one is kept until its announcement is older than the ttl.
func (s *Set) Announce(t core.Target, now time.Time) bool {
	known, ok := s.targets[t.ID]
	if ok && t.Incarnation < known.target.Incarnation {
		return false
	}
	if ok && t.Incarnation == known.target.Incarnation && t.Address != known.target.Address && now.Sub(known.receivedAt) < s.ttl {
		return false
	}
	s.targets[t.ID] = announcement{target: t, receivedAt: now}
	return !ok || known.target != t
}

// Expire removes the targets whose newest announcement is older than the ttl and
// reports whether there were any.
func (s *Set) Expire(now time.Time) bool {
	before := len(s.targets)
	maps.DeleteFunc(s.targets, func(_ core.TargetID, v announcement) bool { return now.Sub(v.receivedAt) >= s.ttl })
	return len(s.targets) != before
}

// View returns the current targets.
func (s *Set) View() *View {
	v := &View{Targets: make(map[core.TargetID]core.Target, len(s.targets))}
	for id, t := range s.targets {
		v.Targets[id] = t.target
	}
	return v
}
