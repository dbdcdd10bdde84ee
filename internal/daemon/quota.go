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

// authority reports to the quota task which daemons hand out rate tokens: the
// cell's coordinator within the cell, and the registry's leader among cells.
type authority struct {
	self       core.VM
	cell       *cell.Task
	leadership *leadership.Task
}

// epochShift is the number of bits that the ballot takes below the epoch when
// both are packed into the number of a quota.Term.
const epochShift = 48

// Coordinator returns the term of the cell's coordinator. Only the coordinator
// itself knows the term's number and end; elsewhere just the holder is set.
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

// Leader returns the term of the registry's leader.
func (a authority) Leader() quota.Term {
	t := a.leadership.Lease()
	return quota.Term{Holder: t.Leader, Number: t.Term, From: t.From, Until: t.Until}
}

// Leadership returns the registry's leader and its term.
func (c *configuration) Leadership(ctx context.Context) (leadership.Status, error) {
	s, err := c.Status(ctx)
	return leadership.Status{Leader: s.Leader, Term: s.Term}, err
}

// Confirm returns once a majority has confirmed the leader. It fails if this
// daemon is not a voter.
func (c *configuration) Confirm(ctx context.Context) error {
	if c.replica == nil {
		return result.New(result.NotOwner, "VM %s is not a voter of the registry", c.self.VM)
	}
	_, err := c.replica.Read(ctx)
	return err
}
