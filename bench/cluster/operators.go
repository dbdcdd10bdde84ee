package cluster

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
)

const (
	operatorTimeout  = 2 * time.Second
	retryPause       = 50 * time.Millisecond
	configureTimeout = 30 * time.Second
)

// OperatorsClient returns a client of the VM's operators' API.
func (vm *VM) OperatorsClient() operatorspb.Operators {
	return operatorspb.NewOperatorsProtobufClient("http://"+vm.Operators.Address(), http.DefaultClient)
}

// Retry calls one VM after the other until a call succeeds or ctx ends.
func (c *Cluster) Retry(ctx context.Context, call func(ctx context.Context, ops operatorspb.Operators) error) error {
	var lastErr error
	for i := 0; ; i++ {
		vm := c.VMs[i%len(c.VMs)]
		attemptCtx, cancel := context.WithTimeout(ctx, operatorTimeout)
		lastErr = call(attemptCtx, vm.OperatorsClient())
		cancel()
		if lastErr == nil {
			return nil
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("no VM accepted the change: %w", lastErr)
		}
	}
}

// configure puts the services, workspaces and caller keys of the deployment into
// the configuration.
func (c *Cluster) configure() error {
	ctx, cancel := context.WithTimeout(c.ctx, configureTimeout)
	defer cancel()
	for _, s := range c.Deployment.Services {
		if err := c.PutService(ctx, s); err != nil {
			return err
		}
	}
	for _, w := range c.Deployment.Workspaces {
		if err := c.PutWorkspace(ctx, w); err != nil {
			return err
		}
		if err := c.CreateKey(ctx, w.Name, w.Name+"-key"); err != nil {
			return err
		}
	}
	return nil
}

// PutService puts a service into the configuration.
func (c *Cluster) PutService(ctx context.Context, s Service) error {
	change := &operatorspb.Change{RequestId: "service-" + s.Name}
	return c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
		_, err := ops.PutService(ctx, &operatorspb.PutServiceRequest{Change: change, Service: &operatorspb.Service{
			Name: s.Name, Keyed: s.Keyed, Shards: s.Shards, ChecksFence: s.Target.ChecksFence, RepeatableGet: true,
			DeadlineMs: s.Deadline.Milliseconds(),
		}})
		return err
	})
}

// PutWorkspace puts a workspace into the configuration.
func (c *Cluster) PutWorkspace(ctx context.Context, w Workspace) error {
	change := &operatorspb.Change{RequestId: fmt.Sprintf("workspace-%s-%g-%g", w.Name, w.Rate, w.Burst)}
	return c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
		_, err := ops.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{
			Change:    change,
			Workspace: &operatorspb.Workspace{Name: w.Name, Rate: w.Rate, Burst: w.Burst},
		})
		return err
	})
}

// PutDataCentre sets the status of a data centre: in, leaving, out or dead.
// Each call needs a request id of its own.
func (c *Cluster) PutDataCentre(ctx context.Context, requestID, name, status string) error {
	return c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
		_, err := ops.PutDataCentre(ctx, &operatorspb.PutDataCentreRequest{
			Change:     &operatorspb.Change{RequestId: requestID},
			DataCentre: &operatorspb.DataCentre{Name: name, Status: status},
		})
		return err
	})
}

// CreateKey creates a caller key with a random secret. Every retry sends the same
// request id and the hash of the same secret, so that the key is created once.
func (c *Cluster) CreateKey(ctx context.Context, workspace, id string) error {
	secret := rand.Text()
	hash := config.HashSecret(secret)
	request := &operatorspb.CreateCallerKeyRequest{
		Change: &operatorspb.Change{RequestId: rand.Text()},
		Id:     id, Workspace: workspace, SecretSha256: hash[:],
	}
	return c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
		if _, err := ops.CreateCallerKey(ctx, request); err != nil {
			return err
		}
		c.Secrets[workspace] = secret
		return nil
	})
}

// WithdrawKey withdraws a caller key. Every retry sends the same request id, as the
// answer to an earlier attempt may have been lost.
func (c *Cluster) WithdrawKey(ctx context.Context, id string) error {
	change := &operatorspb.Change{RequestId: rand.Text()}
	return c.Retry(ctx, func(ctx context.Context, ops operatorspb.Operators) error {
		_, err := ops.WithdrawCallerKey(ctx, &operatorspb.WithdrawCallerKeyRequest{Change: change, Id: id})
		return err
	})
}
