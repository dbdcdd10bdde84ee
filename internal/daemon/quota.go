package daemon

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// authority tells the quota task who holds the sources of tokens: the cell's
// coordinator and the registry's leader.
type authority struct {
	self core.VM
	cell *cell.Task
}

// epochShift leaves room for a ballot below the epoch in one number.
const epochShift = 48

func (a authority) Coordinator() quota.Term {
	if own := a.cell.Tenure(); time.Now().Before(own.Until) {
		return quota.Term{
			Holder: a.self,
			Number: uint64(own.Number.Epoch)<<epochShift | own.Number.Ballot,
			Until:  own.Until,
		}
	}
	return quota.Term{Holder: a.cell.Coordinator()}
}

// alone is the length of a term that is renewed at each look.
const alone = time.Minute

// Leader is this daemon: a registry of one voter leads itself.
func (a authority) Leader() quota.Term {
	return quota.Term{Holder: a.self, Number: 1, Until: time.Now().Add(alone)}
}
