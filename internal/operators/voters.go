package operators

import (
	"context"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// AddVoter makes a VM a member of the registry once it has caught up.
func (s *Server) AddVoter(ctx context.Context, r *operatorspb.AddVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.parts.Voters == nil {
		return nil, unsupported("AddVoter")
	}
	if err := checkVM("vm", r.GetVm()); err != nil {
		return nil, toTwirp(err)
	}
	return s.act(r.GetChange(), func() error { return s.parts.Voters.AddVoter(ctx, vmFromWire(r.GetVm())) })
}

// ReplaceVoter adds the new member first and removes the old one only once the
// new one counts, so that the registry never has fewer members than before.
func (s *Server) ReplaceVoter(ctx context.Context, r *operatorspb.ReplaceVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.parts.Voters == nil {
		return nil, unsupported("ReplaceVoter")
	}
	if err := firstError(checkName("old", r.GetOld()), checkVM("vm", r.GetVm())); err != nil {
		return nil, toTwirp(err)
	}
	if r.GetOld() == r.GetVm().GetName() {
		return nil, toTwirp(invalid("vm.name", "another name than the old member's", quote(r.GetOld())))
	}
	return s.act(r.GetChange(), func() error {
		if err := s.parts.Voters.AddVoter(ctx, vmFromWire(r.GetVm())); err != nil {
			return err
		}
		return s.parts.Voters.RemoveVoter(ctx, core.VM(r.GetOld()))
	})
}

// RemoveVoter ends a VM's membership of the registry.
func (s *Server) RemoveVoter(ctx context.Context, r *operatorspb.RemoveVoterRequest) (*operatorspb.ChangeAnswer, error) {
	if s.parts.Voters == nil {
		return nil, unsupported("RemoveVoter")
	}
	if err := checkName("name", r.GetName()); err != nil {
		return nil, toTwirp(err)
	}
	return s.act(r.GetChange(), func() error { return s.parts.Voters.RemoveVoter(ctx, core.VM(r.GetName())) })
}
