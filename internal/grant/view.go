package grant

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// View tells which targets own their shards by a live grant. It is immutable.
type View struct{ targets map[core.TargetID]owned }

type owned struct {
	placement core.Fence
	until     time.Time
	ended     core.Fence
	checks    bool
	shards    map[core.Shard]core.Fence
}

// View returns the present state for requests.
func (b *Book) View() *View {
	v := &View{targets: make(map[core.TargetID]owned, len(b.tenures))}
	for id, t := range b.tenures {
		v.targets[id] = owned{
			placement: t.entry.Fence, until: t.until, ended: t.ended, checks: t.checks,
			shards: t.granted,
		}
	}
	return v
}

// Live reports whether the target owns the shard under this fence at now. It
// is asked at the moment of sending, beside the member lease.
func (v *View) Live(id core.TargetID, shard core.Shard, fence core.Fence, now time.Time) bool {
	o, ok := v.targets[id]
	if !ok || !now.Before(o.until) || !o.ended.Less(fence) {
		return false
	}
	return !o.checks || o.shards[shard] == fence
}
