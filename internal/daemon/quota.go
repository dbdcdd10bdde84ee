package daemon

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// authority tells the quota task who holds the sources of tokens. A daemon that
// is alone in the system holds both.
type authority struct {
	self core.VM
}

// alone is the length of a term that is renewed at each look.
const alone = time.Minute

func (a authority) Coordinator() quota.Term { return a.own() }

func (a authority) Leader() quota.Term { return a.own() }

func (a authority) own() quota.Term {
	return quota.Term{Holder: a.self, Number: 1, Until: time.Now().Add(alone)}
}
