package cluster

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	probesEach = 8 // keys to probe for each VM and service
	probePause = 30 * time.Millisecond
)

// WaitServing returns once each service has answered requests for probesEach keys
// through each VM. If ctx ends first, it returns the error of the last request.
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

// waitProbe repeats one probe until it succeeds or ctx ends.
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

// probe sends one request through a VM and returns an error unless it is served.
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
