package daemon

import (
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// bootstrapChange returns the change that an empty registry accepts first: the data
// centres, cells and VMs listed in the settings. It returns nil if the settings
// list no cells.
func bootstrapChange(b settings.Bootstrap) *config.Bootstrap {
	if len(b.Cells) == 0 {
		return nil
	}
	change := &config.Bootstrap{}
	for _, c := range b.Cells {
		change.DataCentres = append(change.DataCentres, config.DataCentre{
			Name: core.DataCentre(c.DataCentre), Region: core.Region(c.Region), Status: config.DataCentreActive,
		})
		put := config.PutCell{Cell: config.Cell{Name: core.Cell(c.Name), DataCentre: core.DataCentre(c.DataCentre)}}
		for _, m := range c.Members {
			put.Cell.Members = append(put.Cell.Members, core.VM(m.VM))
			put.VMs = append(put.VMs, config.VM{Name: core.VM(m.VM), InnerAddress: m.Inner})
		}
		change.Cells = append(change.Cells, put)
	}
	return change
}

// initialVoters returns the voters with which the registry begins. If the settings list
// none, self is the only voter. If they list seeds but no voters, the result is
// empty, because self joins a registry that already exists.
func initialVoters(s *settings.Settings, self raft.Member) raft.Members {
	var members raft.Members
	for _, v := range s.Bootstrap.Voters {
		members = append(members, raft.Member{VM: core.VM(v.VM), Address: v.Inner})
	}
	if len(members) == 0 && len(s.Seeds) == 0 {
		members = raft.Members{self}
	}
	return members.Sorted()
}
