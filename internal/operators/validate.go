package operators

import (
	"crypto/sha256"
	"math"
	"net"
	"regexp"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Upper limits of the values in operators' requests.
const (
	maxShards     = 1 << 20
	maxRate       = 1e8                // requests per second; also the limit of a burst, in requests
	maxBytes      = 1 << 30            // of a request body or a buffered answer
	maxDeadlineMS = 3_600_000          // 1 hour
	maxTTLMS      = 7 * 24 * 3_600_000 // 7 days
	maxQueue      = 10_000             // queued requests per slot
	maxGroup      = 10_000             // targets per dispatch group
	maxConns      = 100_000            // connections per target
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$`)

func invalid(field, want string, got any) error {
	return result.New(result.InvalidChange, "field %s: want %s, not %v", field, want, got)
}

// checkName validates the name of a data centre, cell, VM, workspace, caller key
// or service.
func checkName(field, name string) error {
	if !namePattern.MatchString(name) {
		return invalid(field, "1 to 63 letters, digits, dots, hyphens or underscores that begin with a letter or digit", quote(name))
	}
	return nil
}

func checkAddress(field, address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil || port == "" {
		return invalid(field, "IP:port", quote(address))
	}
	return nil
}

func checkRange(field string, n, lo, hi int64) error {
	if n < lo || n > hi {
		return result.New(result.InvalidChange, "field %s: want %d to %d, not %d", field, lo, hi, n)
	}
	return nil
}

func checkNumber(field string, x, hi float64) error {
	if math.IsNaN(x) || x < 0 || x > hi {
		return result.New(result.InvalidChange, "field %s: want 0 to %.0f, not %v", field, hi, x)
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkVM(field string, vm *operatorspb.VM) error {
	return firstError(
		checkName(field+".name", vm.GetName()),
		checkAddress(field+".inner_address", vm.GetInnerAddress()),
	)
}

func checkCell(c *operatorspb.Cell) error {
	if err := firstError(checkName("cell.name", c.GetName()), checkName("cell.data_centre", c.GetDataCentre())); err != nil {
		return err
	}
	if len(c.GetMembers()) == 0 {
		return invalid("cell.members", "at least one VM", "none")
	}
	seen := map[string]bool{}
	for _, vm := range c.GetMembers() {
		if err := checkVM("cell.members", vm); err != nil {
			return err
		}
		if seen[vm.GetName()] {
			return invalid("cell.members", "each VM once", quote(vm.GetName())+" twice")
		}
		seen[vm.GetName()] = true
	}
	return nil
}

func checkWorkspace(w *operatorspb.Workspace) error {
	return firstError(
		checkName("workspace.name", w.GetName()),
		checkNumber("workspace.rate", w.GetRate(), maxRate),
		checkNumber("workspace.burst", w.GetBurst(), maxRate),
	)
}

func checkCallerKey(r *operatorspb.CreateCallerKeyRequest) error {
	if n := len(r.GetSecretSha256()); n != sha256.Size {
		return result.New(result.InvalidChange, "field secret_sha256: want %d bytes, not %d", sha256.Size, n)
	}
	return firstError(checkName("id", r.GetId()), checkName("workspace", r.GetWorkspace()))
}

func checkService(s *operatorspb.Service) error {
	minShards, shards := int64(0), int64(0)
	if s.GetKeyed() {
		minShards, shards = 1, maxShards
	}
	return firstError(
		checkName("service.name", s.GetName()),
		checkRange("service.shards", int64(s.GetShards()), minShards, shards),
		checkRange("service.deadline_ms", s.GetDeadlineMs(), 0, maxDeadlineMS),
		checkRange("service.max_body_bytes", s.GetMaxBodyBytes(), 0, maxBytes),
		checkRange("service.max_held_bytes", s.GetMaxHeldBytes(), 0, maxBytes),
		checkRange("service.queue_per_slot", int64(s.GetQueuePerSlot()), 0, maxQueue),
		checkRange("service.idempotency_ttl_ms", s.GetIdempotencyTtlMs(), 0, maxTTLMS),
		checkRange("service.dispatch_group", int64(s.GetDispatchGroup()), 0, maxGroup),
		checkRange("service.connections_limit", int64(s.GetConnectionsLimit()), 0, maxConns),
	)
}

// statusNames maps the statuses to their texts in the operators' API. Clients send
// and compare these texts, so they stay although three of them differ from the
// constants' names: "in" is active, "leaving" is draining and "out" is out of service.
var statusNames = map[config.DataCentreStatus]string{
	config.DataCentreActive:       "in",
	config.DataCentreDraining:     "leaving",
	config.DataCentreOutOfService: "out",
	config.DataCentreDead:         "dead",
}

func parseStatus(field, name string) (config.DataCentreStatus, error) {
	for status, n := range statusNames {
		if n == name {
			return status, nil
		}
	}
	return 0, invalid(field, "in, leaving, out or dead", quote(name))
}

func quote(s string) string { return `"` + s + `"` }
