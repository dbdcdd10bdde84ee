package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

const (
	changeCount        = 20
	changePeriod       = 100 * time.Millisecond
	versionPollPeriod  = 2 * time.Millisecond
	propagationTimeout = 10 * time.Second
)

// Changes measures how long a configuration change takes from an operator's call
// until it is in force at every daemon, and the inner traffic it causes, for
// several numbers of daemons and voters and sizes of the configuration.
func Changes(ctx context.Context, w io.Writer) error {
	t := newTable(w, "cells", "members each", "voters", "workspaces", "accepted p50", "in force everywhere p50", "most",
		"bytes a change each daemon", "most of one daemon")
	for _, size := range []struct{ cells, members, voters, workspaces int }{
		{1, 3, 3, 0}, {3, 3, 3, 0}, {9, 3, 3, 0}, {3, 3, 5, 0}, {3, 3, 7, 0}, {3, 3, 3, 100}, {3, 3, 3, 300},
	} {
		d := idleDeployment(idleSize{cells: size.cells, members: size.members, shards: 64})
		d.Voters = size.voters
		if err := changesRow(ctx, t, d, size.workspaces); err != nil {
			return errors.Join(err, t.Flush())
		}
	}
	return t.Flush()
}

func changesRow(ctx context.Context, t io.Writer, d cluster.Deployment, workspaces int) (err error) {
	folder, err := os.MkdirTemp("", "comfreynotch-slopes-")
	if err != nil {
		return err
	}
	c, err := cluster.Start(ctx, d, cluster.Options{Folder: folder})
	if err != nil {
		return errors.Join(err, os.RemoveAll(folder))
	}
	defer func() { err = errors.Join(err, c.Stop(), os.RemoveAll(folder)) }()
	for i := range workspaces {
		if err := c.PutWorkspace(ctx, cluster.Workspace{Name: fmt.Sprintf("filler-%d", i), Rate: 1, Burst: 1}); err != nil {
			return err
		}
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	idle, err := usageOver(ctx, c, func() error { return sleep(ctx, changeCount*changePeriod) })
	if err != nil {
		return err
	}
	var accepted, propagated []time.Duration
	busy, err := usageOver(ctx, c, func() error {
		accepted, propagated, err = makeChanges(ctx, c)
		return err
	})
	if err != nil {
		return err
	}
	daemons := float64(len(c.VMs))
	row(t, len(d.DataCentres), d.DataCentres[0].VMs, d.Voters, workspaces,
		median(accepted), median(propagated), slices.Max(propagated),
		float64(busy.inner-idle.inner)/changeCount/daemons, float64(slices.Max(busy.innerByVM)-slices.Max(idle.innerByVM))/changeCount)
	return nil
}

// usageOver returns the usage during do. Only the inner bytes are differences;
// the other fields count from the start of the cluster.
func usageOver(ctx context.Context, c *cluster.Cluster, do func() error) (usage, error) {
	first, err := sampleUsage(ctx, c)
	if err != nil {
		return usage{}, err
	}
	if err := do(); err != nil {
		return usage{}, err
	}
	last, err := sampleUsage(ctx, c)
	if err != nil {
		return usage{}, err
	}
	last.inner -= first.inner
	for i := range last.innerByVM {
		last.innerByVM[i] -= first.innerByVM[i]
	}
	return last, nil
}

// makeChanges makes one change per changePeriod and waits until it is in force at
// every daemon. It returns the time until each change was accepted, and until it
// had reached every daemon.
func makeChanges(ctx context.Context, c *cluster.Cluster) (accepted, propagated []time.Duration, err error) {
	for i := range changeCount {
		start := time.Now()
		var version uint64
		id := fmt.Sprintf("slope-%d", i)
		err := c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
			a, err := ops.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{
				Change:    &operatorspb.Change{RequestId: id},
				Workspace: &operatorspb.Workspace{Name: "w", Rate: float64(i + 1), Burst: 1},
			})
			version = a.GetVersion()
			return err
		})
		if err != nil {
			return nil, nil, err
		}
		accepted = append(accepted, time.Since(start))
		if err := awaitVersion(ctx, c, version); err != nil {
			return nil, nil, err
		}
		propagated = append(propagated, time.Since(start))
		if err := sleep(ctx, changePeriod-time.Since(start)); err != nil {
			return nil, nil, err
		}
	}
	return accepted, propagated, nil
}

func awaitVersion(ctx context.Context, c *cluster.Cluster, version uint64) error {
	limit, cancel := context.WithTimeout(ctx, propagationTimeout)
	defer cancel()
	for _, vm := range c.VMs {
		for {
			got, err := vm.OperatorsClient().GetStatus(limit, &operatorspb.GetStatusRequest{})
			if err == nil && got.GetVersion() >= version {
				break
			}
			if err := sleep(limit, versionPollPeriod); err != nil {
				return fmt.Errorf("%s did not reach version %d: %w", vm.Name, version, err)
			}
		}
	}
	return nil
}

func median(ds []time.Duration) time.Duration {
	sorted := slices.Sorted(slices.Values(ds))
	return sorted[len(sorted)/2]
}
