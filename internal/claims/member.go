package claims

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Member is one member's part in the claims of its cell.
type Member struct {
	self     core.VM
	boot     Boot
	store    *Store
	complete *Completeness
	syncedBy map[core.VM]Boot // immutable: replaced at each change

	state   *config.State
	before  *config.State // with the cells as they were until moved
	moved   time.Time     // when the set of cells changed last
	cell    config.Cell
	longest time.Duration // TTL of all services
}

// Memory is what one member tells another that has lost its own.
type Memory struct {
	Epoch    core.Epoch
	Complete []core.Service
	Claims   []Learned
}

// NewMember returns a member that starts at now with an empty memory.
func NewMember(self core.VM, boot Boot, now time.Time) *Member {
	return &Member{
		self: self, boot: boot, store: NewStore(), complete: NewCompleteness(now),
		syncedBy: map[core.VM]Boot{}, state: config.NewState(), longest: DefaultTTL,
	}
}

// Configure takes the state in force. When the members of this cell changed by
// more than one, or this VM joined it, what is remembered may have gaps.
func (m *Member) Configure(s *config.State, now time.Time) {
	if len(m.state.Cells) > 0 && !sameHomes(m.state, s) {
		m.before, m.moved = m.state, now
	}
	cell := s.Cells[s.VMs[m.self].Cell]
	if m.cell.Name != "" && (cell.Name != m.cell.Name || changes(m.cell.Members, cell.Members) > 1) {
		m.complete.Restart(now)
	}
	if m.cell.Name == "" && len(m.state.Cells) > 0 && cell.Name != "" {
		m.complete.Restart(now)
	}
	m.state, m.cell = s, cell
	m.longest = DefaultTTL
	for _, svc := range s.Services {
		m.longest = max(m.longest, TTL(svc))
	}
}

// sameHomes reports whether every key has the same claim cell in both.
func sameHomes(a, b *config.State) bool {
	return slices.Equal(homeCells(a), homeCells(b))
}

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

func changes(a, b []core.VM) int {
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

// Claim answers a claim that its sender addressed to this cell in an epoch.
func (m *Member) Claim(c Claim, epoch core.Epoch, now time.Time) Reply {
	r := Reply{Member: m.self, Verdict: NoVote, Boot: m.boot, Synced: m.syncedBy}
	if epoch == m.cell.Epoch && m.mayVote(c.Key, now) {
		r.Verdict, r.Answer = m.store.Claim(c, now)
	}
	return r
}

func (m *Member) mayVote(k Key, now time.Time) bool {
	svc, ok := m.state.Services[k.Service]
	if !ok || m.cell.Name == "" || !m.complete.Holds(svc, now) {
		return false
	}
	if !m.moving(now) {
		return true
	}
	home, _ := Home(m.before, k)
	return home.Name == m.cell.Name
}

// moving reports whether keys may have come here whose claims stayed elsewhere.
func (m *Member) moving(now time.Time) bool {
	return m.before != nil && now.Sub(m.moved) < m.longest
}

// Finish records that a claim's request has run.
func (m *Member) Finish(c Claim, answer *Stored, now time.Time) { m.store.Finish(c, answer, now) }

// Withdraw gives a claim back whose request provably has not run.
func (m *Member) Withdraw(c Claim) { m.store.Withdraw(c) }

// Tell returns this member's memory to another one, which started as boot. From
// then on it contradicts votes of earlier boots of that member.
func (m *Member) Tell(to core.VM, boot Boot, epoch core.Epoch, now time.Time) Memory {
	memory := Memory{Epoch: m.cell.Epoch}
	if epoch != m.cell.Epoch || m.moving(now) {
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
		if m.complete.Holds(svc, now) {
			memory.Complete = append(memory.Complete, name)
		}
	}
	memory.Claims = m.store.List(now)
	return memory
}

// Hear takes over the memory of another member.
func (m *Member) Hear(from core.VM, memory Memory, now time.Time) {
	if memory.Epoch != m.cell.Epoch {
		return
	}
	m.store.Learn(memory.Claims, now)
	for _, name := range memory.Complete {
		m.complete.Heard(name, from, SyncNeeded(len(m.cell.Members)))
	}
}

// Missing returns the other members to ask for their memory; none when this
// member may vote on every service.
func (m *Member) Missing(now time.Time) []core.VM {
	for _, svc := range m.state.Services {
		if !m.complete.Holds(svc, now) {
			return slices.DeleteFunc(slices.Clone(m.cell.Members), func(vm core.VM) bool { return vm == m.self })
		}
	}
	return nil
}

// Epoch is that of this member's cell.
func (m *Member) Epoch() core.Epoch { return m.cell.Epoch }
