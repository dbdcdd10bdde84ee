package cell

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// peer is what the coordinator knows of one member.
type peer struct {
	session  uint64
	heard    bool // under this coordinator
	seq      uint64
	heardAt  time.Time
	have     core.Fence
	voted    bool       // accepted a proposal under this coordinator's number
	mayHold  time.Time  // end at the latest of any lease that it may hold
	minFence core.Fence // oldest version under which its lease may hold

	targets  map[core.TargetID]core.Target
	newsSeen uint64
	facts    Facts
}

// hear takes a member's status. It reports whether the status says anything to
// plan for. Statuses that arrive late or twice change nothing.
func (p *peer) hear(s Status, now time.Time) bool {
	if p.session != s.Session {
		p.session, p.seq, p.newsSeen, p.facts = s.Session, 0, 0, Facts{}
	}
	if s.Seq <= p.seq {
		return false
	}
	changed := !p.heard
	p.heard, p.seq, p.heardAt, p.have = true, s.Seq, now, s.Have
	if p.takeNews(s.News) {
		changed = true
	}
	if !p.facts.Equal(s.Facts) {
		p.facts = s.Facts
		changed = true
	}
	return changed
}

func (p *peer) takeNews(n News) bool {
	if n.Version == p.newsSeen || n.Since > p.newsSeen {
		return false
	}
	if n.Since == 0 || p.targets == nil {
		p.targets = map[core.TargetID]core.Target{}
	}
	for _, t := range n.Targets {
		p.targets[t.ID] = t
	}
	for _, id := range n.Gone {
		delete(p.targets, id)
	}
	p.newsSeen = n.Version
	return true
}

// Equal reports whether both say the same.
func (f Facts) Equal(o Facts) bool {
	return slices.Equal(f.Shards, o.Shards) && slices.Equal(f.Targets, o.Targets) &&
		slices.Equal(f.Down, o.Down) && slices.Equal(f.Held, o.Held) && f.FenceSeen == o.FenceSeen
}
