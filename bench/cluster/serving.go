package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	probesEach = 8 // keys for each VM and service
	probePause = 30 * time.Millisecond
)

// WaitServing returns when each service has answered a number of keys through
// each VM, or with the last refusal at the end of ctx.
func (c *Cluster) WaitServing(ctx context.Context) error {
	for _, vm := range c.VMs {
		for _, s := range c.Deployment.Services {
			for i := range probesEach {
				if err := c.waitProbe(ctx, vm, s.Name+"/probe-"+strconv.Itoa(i)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func (c *Cluster) waitProbe(ctx context.Context, vm *VM, path string) error {
	for {
		err := c.probe(ctx, vm, path)
		if err == nil {
			return nil
		}
		timer := time.NewTimer(probePause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("%s through %s: %w", path, vm.Name, err)
		}
	}
}

func (c *Cluster) probe(ctx context.Context, vm *VM, path string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.Callers.Address()+"/"+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.Secrets[c.Deployment.Workspaces[0].Name])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s, result code %s", resp.Status, resp.Header.Get("Comfreynotch-Result-Code"))
	}
	return nil
}
