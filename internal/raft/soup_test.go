package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "60")
	setDefault("rapid.steps", "200")
	os.Exit(m.Run())
}

// setDefault sets a flag that the command line leaves alone.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// disk is what one replica has made durable.
type disk struct{ stored Stored }

func (d *disk) save(a Actions) {
	if a.HardState != nil {
		d.stored.HardState = *a.HardState
	}
	if a.Snapshot != nil {
		d.stored.Snapshot, d.stored.Entries = *a.Snapshot, nil
	}
	if len(a.Entries) > 0 {
		first := a.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(d.stored.Entries), func(e Entry) bool { return e.Index >= first })
		d.stored.Entries = append(kept, a.Entries...)
	}
}

// replica is a core with its disk and a state machine that keeps every entry.
type replica struct {
	core    *Core
	disk    disk
	up      bool
	applied []Entry // from index 1, snapshots included
	seed    uint64
}

// soup holds replicas, messages under way and what the oracle knows: who led
// each term and which entry each index has.
type soup struct {
	fail     func(format string, args ...any)
	vms      []core.VM
	replicas map[core.VM]*replica
	flying   []Message
	cut      map[[2]core.VM]bool // messages from the first to the second are lost
	leaders  map[Term]core.VM
	agreed   []Entry // agreed[i] has index i+1, once any replica applied it
	acked    map[string]Index
	reads    map[uint64]Index // id: entries agreed when it was asked
	readDone map[uint64]Index
	nextID   uint64
}

func newSoup(fail func(string, ...any), voters, spare int) *soup {
	s := &soup{
		fail: fail, replicas: map[core.VM]*replica{}, cut: map[[2]core.VM]bool{},
		leaders: map[Term]core.VM{}, acked: map[string]Index{},
		reads: map[uint64]Index{}, readDone: map[uint64]Index{},
	}
	var members Members
	for i := range voters {
		members = append(members, Member{VM: core.VM(fmt.Sprintf("r%d", i+1))})
	}
	for i := range voters + spare {
		vm := core.VM(fmt.Sprintf("r%d", i+1))
		r := &replica{seed: uint64(i+1) * 7919}
		if i < voters {
			r.disk.stored.Snapshot.Members = members
		}
		s.vms = append(s.vms, vm)
		s.replicas[vm] = r
		s.start(vm)
	}
	return s
}

func (s *soup) start(vm core.VM) {
	r := s.replicas[vm]
	r.seed++
	r.core = New(Config{Self: vm, ElectionTicks: 10, HeartbeatTicks: 3, MaxEntries: 3, Seed: r.seed}, r.disk.stored)
	r.applied = decodeSnapshot(r.disk.stored.Snapshot)
	r.up = true
}

func (s *soup) crash(vm core.VM) { s.replicas[vm].up = false }

func (s *soup) tick(vm core.VM) {
	if r := s.replicas[vm]; r.up {
		r.core.Tick()
		s.run(vm)
	}
}

func (s *soup) deliver(m Message) {
	if r := s.replicas[m.To]; r != nil && r.up && !s.cut[[2]core.VM{m.From, m.To}] {
		r.core.Step(m)
		s.run(m.To)
	}
}

// run does what a core owes; a crash between the parts is modelled by crash
// before run, since Persisted follows at once.
func (s *soup) run(vm core.VM) {
	r := s.replicas[vm]
	for {
		a := r.core.Take()
		if a.Empty() {
			break
		}
		r.disk.save(a)
		if a.Snapshot != nil {
			r.applied = decodeSnapshot(*a.Snapshot)
		}
		r.core.Persisted()
		s.flying = append(s.flying, a.Messages...)
		for _, e := range a.Committed {
			s.apply(vm, r, e)
		}
		for _, read := range a.Reads {
			s.checkRead(read)
		}
	}
	s.checkLeader(vm, r)
}

func (s *soup) apply(vm core.VM, r *replica, e Entry) {
	if int(e.Index) != len(r.applied)+1 {
		s.fail("%s applied %d after %d entries", vm, e.Index, len(r.applied))
	}
	r.applied = append(r.applied, e)
	if int(e.Index) > len(s.agreed) {
		s.agreed = append(s.agreed, e)
		if e.Kind == EntryCommand {
			s.acked[string(e.Data)] = e.Index
		}
	}
	if have := s.agreed[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
		s.fail("%s applied %v at %d, another replica %v", vm, e, e.Index, have)
	}
}

func (s *soup) checkLeader(vm core.VM, r *replica) {
	if !r.core.IsLeader() {
		return
	}
	if other, ok := s.leaders[r.core.Term()]; ok && other != vm {
		s.fail("term %d has the leaders %s and %s", r.core.Term(), other, vm)
	}
	if _, ok := s.leaders[r.core.Term()]; !ok {
		// Leader completeness: a new leader holds every agreed entry.
		if int(r.core.log.last()) < len(s.agreed) {
			s.fail("leader %s of term %d lacks agreed entries: %d of %d",
				vm, r.core.Term(), r.core.log.last(), len(s.agreed))
		}
	}
	s.leaders[r.core.Term()] = vm
}

func (s *soup) checkRead(read ReadState) {
	asked, ok := s.reads[read.ID]
	if ok && read.Index < asked {
		s.fail("read %d saw %d entries; %d were agreed when it was asked", read.ID, read.Index, asked)
	}
	s.readDone[read.ID] = read.Index
}

func (s *soup) read(vm core.VM) uint64 {
	s.nextID++
	s.reads[s.nextID] = Index(len(s.agreed))
	if r := s.replicas[vm]; r.up {
		_ = r.core.Read(s.nextID, s.nextID%3 == 0)
		s.run(vm)
	}
	return s.nextID
}

func (s *soup) propose(vm core.VM, data string) error {
	r := s.replicas[vm]
	if !r.up {
		return ErrNotLeader
	}
	_, _, err := r.core.Propose([]byte(data))
	s.run(vm)
	return err
}

// compact saves the state machine, as the task does every so many entries.
func (s *soup) compact(vm core.VM, keep Index) {
	r := s.replicas[vm]
	if !r.up || len(r.applied) <= int(r.core.log.snapshot.Index) {
		return
	}
	snap := r.core.Compact(Index(len(r.applied)), encodeSnapshot(r.applied), keep)
	r.disk.stored.Snapshot = snap
	r.disk.stored.Entries = r.core.EntriesAfter(snap.Index)
}

// checkDisks holds log matching: two stored entries with the same index and
// term are the same, and so are all entries before them.
func (s *soup) checkDisks() {
	type key struct {
		index Index
		term  Term
	}
	before := map[key]string{}
	for _, vm := range s.vms {
		prev := s.replicas[vm].disk.stored.Snapshot.Term
		for _, e := range s.replicas[vm].disk.stored.Entries {
			k, line := key{e.Index, e.Term}, fmt.Sprint(prev, e.Kind, string(e.Data), e.Members)
			if have, ok := before[k]; ok && have != line {
				s.fail("entry %d of term %d differs: %s, %s", e.Index, e.Term, have, line)
			}
			before[k], prev = line, e.Term
		}
	}
}

// settle heals every cut, starts every replica and runs until all are equal.
func (s *soup) settle() {
	clear(s.cut)
	for _, vm := range s.vms {
		if !s.replicas[vm].up {
			s.start(vm)
		}
	}
	for range 400 {
		s.round()
	}
	leader := s.leader()
	if leader == "" {
		s.fail("no leader after the faults ended")
	}
	last := s.replicas[leader].core.log.last()
	for _, m := range s.replicas[leader].core.Members() {
		if got := len(s.replicas[m.VM].applied); got != int(last) {
			s.fail("%s applied %d of %d entries after the faults ended", m.VM, got, last)
		}
	}
	s.checkDisks()
}

// round delivers everything under way, then ticks each replica once.
func (s *soup) round() {
	for range 20 {
		batch := s.flying
		s.flying = nil
		for _, m := range batch {
			s.deliver(m)
		}
	}
	for _, vm := range s.vms {
		s.tick(vm)
	}
}

func (s *soup) leader() core.VM {
	best, term := core.VM(""), Term(0)
	for _, vm := range s.vms {
		if r := s.replicas[vm]; r.up && r.core.IsLeader() && r.core.Term() > term {
			best, term = vm, r.core.Term()
		}
	}
	return best
}

// encodeSnapshot keeps the agreed entries outside the bytes: the oracle holds
// them, a snapshot only says how many.
var snapshots = map[string][]Entry{}

func encodeSnapshot(applied []Entry) []byte {
	key := fmt.Sprint(len(snapshots))
	snapshots[key] = slices.Clone(applied)
	return []byte(key)
}

func decodeSnapshot(s Snapshot) []Entry { return slices.Clone(snapshots[string(s.Data)]) }

// TestSoup holds "an acknowledged assignment survives any tolerated loss" and
// "an accepted configuration never reverts" for the log under every fault at
// once: lost, doubled and reordered messages, crashes, cuts in one direction,
// changes of the members, snapshots.
func TestSoup(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		voters := rapid.IntRange(1, 5).Draw(rt, "voters")
		s := newSoup(rt.Fatalf, voters, 2)
		vm := rapid.SampledFrom(s.vms)
		count := 0
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": func(rt *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(rt, "n") {
					if len(s.flying) == 0 {
						return
					}
					i := rapid.IntRange(0, len(s.flying)-1).Draw(rt, "message")
					m := s.flying[i]
					switch rapid.IntRange(0, 9).Draw(rt, "fate") {
					case 0: // lost
						s.flying = slices.Delete(s.flying, i, i+1)
					case 1: // doubled
						s.deliver(m)
					default:
						s.flying = slices.Delete(s.flying, i, i+1)
						s.deliver(m)
					}
				}
			},
			"rounds": func(rt *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(rt, "n") {
					s.round()
				}
			},
			"tick": func(rt *rapid.T) {
				who := vm.Draw(rt, "vm")
				for range rapid.IntRange(1, 20).Draw(rt, "n") {
					s.tick(who)
				}
			},
			"propose": func(rt *rapid.T) {
				count++
				who := vm.Draw(rt, "vm")
				if l := s.leader(); l != "" && rapid.Bool().Draw(rt, "at leader") {
					who = l
				}
				_ = s.propose(who, fmt.Sprint("c", count))
			},
			"crash": func(rt *rapid.T) { s.crash(vm.Draw(rt, "vm")) },
			"restart": func(rt *rapid.T) {
				if who := vm.Draw(rt, "vm"); !s.replicas[who].up {
					s.start(who)
				}
			},
			"cut": func(rt *rapid.T) {
				s.cut[[2]core.VM{vm.Draw(rt, "from"), vm.Draw(rt, "to")}] = true
			},
			"heal":    func(*rapid.T) { clear(s.cut) },
			"read":    func(rt *rapid.T) { s.read(vm.Draw(rt, "vm")) },
			"compact": func(rt *rapid.T) { s.compact(vm.Draw(rt, "vm"), Index(rapid.IntRange(0, 3).Draw(rt, "keep"))) },
			"transfer": func(*rapid.T) {
				if l := s.leader(); l != "" {
					s.replicas[l].core.TransferLeadership()
					s.run(l)
				}
			},
			"members": func(rt *rapid.T) {
				l := s.leader()
				if l == "" {
					return
				}
				who, c := vm.Draw(rt, "vm"), s.replicas[l].core
				switch rapid.IntRange(0, 2).Draw(rt, "change") {
				case 0:
					_, _, _ = c.AddLearner(Member{VM: who})
				case 1:
					_, _, _ = c.Promote(who)
				case 2:
					_, _, _ = c.Remove(who)
				}
				s.run(l)
			},
			"": func(*rapid.T) { s.checkDisks() },
		})
		s.settle()
	})
}
