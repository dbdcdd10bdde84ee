package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto"
	"github.com/comfreynotch/comfreynotch/internal/leadership"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

func (d *Daemon) newQuota() *quota.Task {
	self := core.VM(d.settings.VM)
	client := &http.Client{Transport: innerproto.StampedTransport(d.recorder, d.secured.transport)}
	a := authority{self: self, cell: d.cell, leadership: d.leadership}
	return quota.NewTask(self, core.Cell(d.settings.Cell), a, innerproto.NewQuotaClient(client), d.registry)
}

// authority tells the quota task who holds the sources of tokens: the cell's
// coordinator and the registry's leader.
type authority struct {
	self       core.VM
	cell       *cell.Task
	leadership *leadership.Task
}

// epochShift leaves room for a ballot below the epoch in one number.
const epochShift = 48

func (a authority) Coordinator() quota.Term {
	if own := a.cell.CoordinatorLease(); time.Now().Before(own.Until) {
		return quota.Term{
			Holder: a.self,
			Number: uint64(own.Number.Epoch)<<epochShift | own.Number.Ballot,
			Until:  own.Until,
		}
	}
	return quota.Term{Holder: a.cell.Coordinator()}
}

func (a authority) Leader() quota.Term {
	t := a.leadership.Lease()
	return quota.Term{Holder: t.Leader, Number: t.Term, From: t.From, Until: t.Until}
}

// Leadership returns who leads the registry.
func (c *configuration) Leadership(ctx context.Context) (leadership.Status, error) {
	s, err := c.Status(ctx)
	return leadership.Status{Leader: s.Leader, Term: s.Term}, err
}

// Confirm returns once a majority has confirmed the leader.
func (c *configuration) Confirm(ctx context.Context) error {
	if c.replica == nil {
		return result.New(result.NotOwner, "VM %s does not vote", c.self.VM)
	}
	_, err := c.replica.Read(ctx)
	return err
}
