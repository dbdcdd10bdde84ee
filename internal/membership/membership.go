// Package membership keeps the targets that announced themselves. Decisions:
// membership.go. Task: task.go, which owns the set and publishes views of it.
package membership

import (
	"maps"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// View is the set of targets that are alive. It is immutable.
type View struct {
	Targets map[core.TargetID]core.Target
}

// Set holds each target with the time of its newest announcement.
type Set struct {
	ttl     time.Duration
	targets map[core.TargetID]seen
}

type seen struct {
	target core.Target
	at     time.Time
}

// NewSet returns an empty set whose targets expire ttl after their newest
// announcement.
func NewSet(ttl time.Duration) *Set {
	return &Set{ttl: ttl, targets: map[core.TargetID]seen{}}
}

// Announce records t as heard at now. It reports whether the view changed. An
// announcement of an older incarnation changes nothing, and neither does one of
// the same incarnation from another address: two targets use one id, and the
// one that was heard first stays until it falls silent.
func (s *Set) Announce(t core.Target, now time.Time) bool {
	old, ok := s.targets[t.ID]
	if ok && t.Incarnation < old.target.Incarnation {
		return false
	}
	if ok && t.Incarnation == old.target.Incarnation && t.Address != old.target.Address && now.Sub(old.at) < s.ttl {
		return false
	}
	s.targets[t.ID] = seen{target: t, at: now}
	return !ok || old.target != t
}

// Expire removes the targets that fell silent. It reports whether any did.
func (s *Set) Expire(now time.Time) bool {
	before := len(s.targets)
	maps.DeleteFunc(s.targets, func(_ core.TargetID, v seen) bool { return now.Sub(v.at) >= s.ttl })
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
