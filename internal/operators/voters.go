package operators

import (
	"context"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// AddVoter makes a VM a voter of the registry once its log has caught up.
func (s *Server) AddVoter(ctx context.Context, r *operatorspb.AddVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.components.Voters == nil {
		return nil, unsupported("AddVoter")
	}
	if err := checkVM("vm", r.GetVm()); err != nil {
		return nil, toTwirp(err)
	}
	return s.runIfVersion(r.GetChange(), func() error { return s.components.Voters.AddVoter(ctx, vmFromWire(r.GetVm())) })
}

// ReplaceVoter adds the new voter and removes the old one only after that has
// succeeded, so that the number of voters never drops below the initial one.
func (s *Server) ReplaceVoter(ctx context.Context, r *operatorspb.ReplaceVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.components.Voters == nil {
		return nil, unsupported("ReplaceVoter")
	}
	if err := firstError(checkName("old", r.GetOld()), checkVM("vm", r.GetVm())); err != nil {
		return nil, toTwirp(err)
	}
	if r.GetOld() == r.GetVm().GetName() {
		return nil, toTwirp(invalid("vm.name", "a name that differs from the old member's", quote(r.GetOld())))
	}
	return s.runIfVersion(r.GetChange(), func() error {
		if err := s.components.Voters.AddVoter(ctx, vmFromWire(r.GetVm())); err != nil {
			return err
		}
		return s.components.Voters.RemoveVoter(ctx, core.VM(r.GetOld()))
	})
}

// RemoveVoter removes a VM from the registry's voters.
func (s *Server) RemoveVoter(ctx context.Context, r *operatorspb.RemoveVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.components.Voters == nil {
		return nil, unsupported("RemoveVoter")
	}
	if err := checkName("name", r.GetName()); err != nil {
		return nil, toTwirp(err)
	}
	return s.runIfVersion(r.GetChange(), func() error { return s.components.Voters.RemoveVoter(ctx, core.VM(r.GetName())) })
}
