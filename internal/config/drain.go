package config

import (
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// DrainTarget stops new requests to a target, or permits them again if Undo is
// set. A drain persists when the target restarts.
type DrainTarget struct {
	Target core.TargetID
	Undo   bool
}

func (c DrainTarget) apply(next *State) error {
	if c.Target == "" {
		return result.New(result.InvalidChange, "field target: want a target's name")
	}
	if c.Undo {
		if !next.Drained[c.Target] {
			return result.New(result.NotFound, "target %s is not drained", c.Target)
		}
		delete(next.Drained, c.Target)
		return nil
	}
	if next.Drained == nil {
		next.Drained = map[core.TargetID]bool{}
	}
	next.Drained[c.Target] = true
	return nil
}
