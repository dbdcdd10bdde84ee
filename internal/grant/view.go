package grant

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// View holds the live grants of all targets that this daemon dispatches. It is
// immutable.
type View struct {
	targets map[core.TargetID]targetGrants
}

type targetGrants struct {
	placement   core.Fence
	validUntil  time.Time
	ended       core.Fence // grants of assignments up to this fence have expired
	checksFence bool
	shards      map[core.Shard]core.Fence
}

// View returns the grants as of now.
func (c *Controller) View() *View {
	v := &View{targets: make(map[core.TargetID]targetGrants, len(c.targets))}
	for id, t := range c.targets {
		v.targets[id] = targetGrants{
			placement: t.entry.Fence, validUntil: t.validUntil, ended: t.ended, checksFence: t.checksFence,
			shards: t.granted,
		}
	}
	return v
}

// Live reports whether the target owns the shard under this fence at now. The
// sender of a request checks it, and its own member lease, just before it sends.
func (v *View) Live(id core.TargetID, shard core.Shard, fence core.Fence, now time.Time) bool {
	g, ok := v.targets[id]
	if !ok || !now.Before(g.validUntil) || !g.ended.Less(fence) {
		return false
	}
	return !g.checksFence || g.shards[shard] == fence
}
