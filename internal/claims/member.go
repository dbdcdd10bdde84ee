package claims

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Member is the claim state of one VM of a cell: the claims that it holds and
// whether it may vote.
type Member struct {
	self         core.VM
	boot         Boot
	store        *Store
	completeness *Completeness
	// syncedBy holds the members that copied this member's claims. The map is never
	// modified in place, because replies hold the same map.
	syncedBy map[core.VM]Boot

	state          *config.State
	previousState  *config.State // configuration before the last change of the claim cells
	homesChangedAt time.Time     // time of that change
	cell           config.Cell
	longestTTL     time.Duration // longest TTL of all services
}

// Memory is the copy of a member's claims that it sends to a member that may be
// missing some.
type Memory struct {
	Epoch    core.Epoch
	Complete []core.Service // services for which the sender may vote
	Claims   []ClaimCopy
}

// NewMember returns a member that starts at now and holds no claims.
func NewMember(self core.VM, boot Boot, now time.Time) *Member {
	return &Member{
		self: self, boot: boot, store: NewStore(), completeness: NewCompleteness(now),
		syncedBy: map[core.VM]Boot{}, state: config.NewState(), longestTTL: DefaultTTL,
	}
}

// Configure applies the current configuration. If this VM joined the cell, or
// more than one member changed at once, the member may be missing claims and
// stops voting until it has copied them.
func (m *Member) Configure(s *config.State, now time.Time) {
	if len(m.state.Cells) > 0 && !sameHomes(m.state, s) {
		m.previousState, m.homesChangedAt = m.state, now
	}
	cell := s.Cells[s.VMs[m.self].Cell]
	if m.cell.Name != "" && (cell.Name != m.cell.Name || membershipChanges(m.cell.Members, cell.Members) > 1) {
		m.completeness.Restart(now)
	}
	if m.cell.Name == "" && len(m.state.Cells) > 0 && cell.Name != "" {
		m.completeness.Restart(now)
	}
	m.state, m.cell = s, cell
	m.longestTTL = DefaultTTL
	for _, svc := range s.Services {
		m.longestTTL = max(m.longestTTL, TTL(svc))
	}
}

// sameHomes reports whether every key has the same claim cell in both
// configurations.
func sameHomes(a, b *config.State) bool {
	return slices.Equal(homeCells(a), homeCells(b))
}

// homeCells returns the cells that hold claims, sorted by name.
func homeCells(s *config.State) []core.Cell {
	var names []core.Cell
	for name, c := range s.Cells {
		if len(c.Members) > 0 && s.DataCentres[c.DataCentre].Status != config.DataCentreDead {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// membershipChanges returns the number of VMs that are in only one of the two
// lists.
func membershipChanges(a, b []core.VM) int {
	n := 0
	for _, v := range a {
		if !slices.Contains(b, v) {
			n++
		}
	}
	for _, v := range b {
		if !slices.Contains(a, v) {
			n++
		}
	}
	return n
}

// Claim votes on a claim. The sender took the members of this cell from a
// configuration with the given epoch; the member votes only if that is current.
func (m *Member) Claim(c Claim, epoch core.Epoch, now time.Time) Reply {
	r := Reply{Member: m.self, Verdict: NoVote, Boot: m.boot, SyncedBy: m.syncedBy}
	if epoch == m.cell.Epoch && m.mayVote(c.Key, now) {
		r.Verdict, r.Answer = m.store.Claim(c, now)
	}
	return r
}

func (m *Member) mayVote(k Key, now time.Time) bool {
	svc, ok := m.state.Services[k.Service]
	if !ok || m.cell.Name == "" || !m.completeness.IsComplete(svc, now) {
		return false
	}
	if !m.homesChanging(now) {
		return true
	}
	home, _ := Home(m.previousState, k)
	return home.Name == m.cell.Name
}

// homesChanging reports whether this cell may have become the home of keys whose
// unexpired claims are still in another cell.
func (m *Member) homesChanging(now time.Time) bool {
	return m.previousState != nil && now.Sub(m.homesChangedAt) < m.longestTTL
}

// Finish records that a claim's request has run.
func (m *Member) Finish(c Claim, answer *StoredAnswer, now time.Time) { m.store.Finish(c, answer, now) }

// Withdraw releases a claim whose request provably has not run.
func (m *Member) Withdraw(c Claim) { m.store.Withdraw(c) }

// CopyFor returns a copy of this member's claims for another member in its given
// boot. From then on this member's replies report that boot, which invalidates
// votes that the other member cast in earlier boots.
func (m *Member) CopyFor(to core.VM, boot Boot, epoch core.Epoch, now time.Time) Memory {
	memory := Memory{Epoch: m.cell.Epoch}
	if epoch != m.cell.Epoch || m.homesChanging(now) {
		return memory
	}
	if m.syncedBy[to] < boot {
		next := map[core.VM]Boot{to: boot}
		for vm, b := range m.syncedBy {
			if vm != to {
				next[vm] = b
			}
		}
		m.syncedBy = next
	}
	for name, svc := range m.state.Services {
		if m.completeness.IsComplete(svc, now) {
			memory.Complete = append(memory.Complete, name)
		}
	}
	memory.Claims = m.store.List(now)
	return memory
}

// AddCopy adds the claims that another member sent.
func (m *Member) AddCopy(from core.VM, memory Memory, now time.Time) {
	if memory.Epoch != m.cell.Epoch {
		return
	}
	m.store.AddCopies(memory.Claims, now)
	for _, name := range memory.Complete {
		m.completeness.RecordCopy(name, from, CopiesNeeded(len(m.cell.Members)))
	}
}

// CopySources returns the members from which to copy claims: all others, or none
// if this member may vote on every service.
func (m *Member) CopySources(now time.Time) []core.VM {
	for _, svc := range m.state.Services {
		if !m.completeness.IsComplete(svc, now) {
			return slices.DeleteFunc(slices.Clone(m.cell.Members), func(vm core.VM) bool { return vm == m.self })
		}
	}
	return nil
}

// Epoch returns the configuration epoch of this member's cell.
func (m *Member) Epoch() core.Epoch { return m.cell.Epoch }
