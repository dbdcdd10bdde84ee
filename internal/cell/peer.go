package cell

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// peer is the coordinator's view of one member.
type peer struct {
	session        uint64
	reported       bool   // has sent a status to this coordinator
	seq            uint64 // of the newest status
	reportedAt     time.Time
	tableFence     core.Fence // version of the table that it holds
	voted          bool       // accepted a proposal under this coordinator's number
	latestLeaseEnd time.Time  // latest possible end of any lease that it may hold
	minFence       core.Fence // oldest version under which its lease may be valid

	targets      map[core.TargetID]core.Target
	ackedVersion uint64 // version of targets
	facts        Facts
}

// receiveStatus records a member's status and reports whether an input of the
// plan changed. Statuses that arrive out of order or twice are ignored.
func (p *peer) receiveStatus(s Status, now time.Time) bool {
	if p.session != s.Session {
		p.session, p.seq, p.ackedVersion, p.facts = s.Session, 0, 0, Facts{}
	}
	if s.Seq <= p.seq {
		return false
	}
	changed := !p.reported
	p.reported, p.seq, p.reportedAt, p.tableFence = true, s.Seq, now, s.TableFence
	if p.applyUpdate(s.TargetUpdate) {
		changed = true
	}
	if !p.facts.Equal(s.Facts) {
		p.facts = s.Facts
		changed = true
	}
	return changed
}

func (p *peer) applyUpdate(update TargetUpdate) bool {
	if update.Version == p.ackedVersion || update.Since > p.ackedVersion {
		return false
	}
	if update.Since == 0 || p.targets == nil {
		p.targets = map[core.TargetID]core.Target{}
	}
	for _, t := range update.Targets {
		p.targets[t.ID] = t
	}
	for _, id := range update.Removed {
		delete(p.targets, id)
	}
	p.ackedVersion = update.Version
	return true
}

// Equal reports whether f and o contain the same facts.
func (f Facts) Equal(o Facts) bool {
	return slices.Equal(f.ReleasedShards, o.ReleasedShards) && slices.Equal(f.ReleasedTargets, o.ReleasedTargets) &&
		slices.Equal(f.EndedTargets, o.EndedTargets) && slices.Equal(f.HeldShards, o.HeldShards) && f.FenceSeen == o.FenceSeen
}
