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

// maxTestBytes limits the data in one Append message.
const maxTestBytes = 40

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "1")
	setDefault("rapid.checks", "60")
	setDefault("rapid.steps", "200")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line sets it.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if !given {
		_ = flag.Set(name, value)
	}
}

// disk is the durable state of one replica.
type disk struct{ stored StoredState }

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

// replica is a core with its disk and a state machine that records every entry.
type replica struct {
	core    *Core
	disk    disk
	up      bool
	applied []Entry // every entry from index 1, including those that a snapshot covers
	seed    uint64
}

// cluster simulates a cluster of replicas and the network between them. It also
// records the facts that its checks compare against: the leader of each term and
// the committed entry at each index.
type cluster struct {
	fail           func(format string, args ...any)
	vms            []core.VM
	replicas       map[core.VM]*replica
	inFlight       []Message
	blocked        map[[2]core.VM]bool // messages from the first VM to the second are lost
	leaders        map[Term]core.VM
	committed      []Entry          // committed[i] has index i+1; added when the first replica applies it
	acked          map[string]Index // command: index at which it was committed
	reads          map[uint64]Index // read id: number of entries committed when it was requested
	confirmedReads map[uint64]Index // read id: index that the read was confirmed with
	nextID         uint64
}

func newCluster(fail func(string, ...any), voters, spare int) *cluster {
	s := &cluster{
		fail: fail, replicas: map[core.VM]*replica{}, blocked: map[[2]core.VM]bool{},
		leaders: map[Term]core.VM{}, acked: map[string]Index{},
		reads: map[uint64]Index{}, confirmedReads: map[uint64]Index{},
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

func (s *cluster) start(vm core.VM) {
	r := s.replicas[vm]
	r.seed++
	r.core = New(Config{Self: vm, ElectionTicks: 10, HeartbeatTicks: 3, MaxEntries: 3, MaxBytes: maxTestBytes, Seed: r.seed}, r.disk.stored)
	r.applied = decodeSnapshot(r.disk.stored.Snapshot)
	r.up = true
}

func (s *cluster) crash(vm core.VM) { s.replicas[vm].up = false }

func (s *cluster) tick(vm core.VM) {
	if r := s.replicas[vm]; r.up {
		r.core.Tick()
		s.processActions(vm)
	}
}

func (s *cluster) deliver(m Message) {
	if r := s.replicas[m.To]; r != nil && r.up && !s.blocked[[2]core.VM{m.From, m.To}] {
		r.core.Step(m)
		s.processActions(m.To)
	}
}

// processActions carries out the actions of a core until there are none. It
// doesn't simulate a crash in the middle: Persisted follows the save at once, so
// that a crash before the save is the same as one before this call.
func (s *cluster) processActions(vm core.VM) {
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
		s.inFlight = append(s.inFlight, a.Messages...)
		for _, e := range a.Committed {
			s.apply(vm, r, e)
		}
		for _, read := range a.Reads {
			s.checkRead(read)
		}
	}
	s.checkLeader(vm, r)
}

func (s *cluster) apply(vm core.VM, r *replica, e Entry) {
	if int(e.Index) != len(r.applied)+1 {
		s.fail("%s applied index %d after %d entries", vm, e.Index, len(r.applied))
	}
	r.applied = append(r.applied, e)
	if int(e.Index) > len(s.committed) {
		s.committed = append(s.committed, e)
		if e.Kind == EntryCommand {
			s.acked[string(e.Data)] = e.Index
		}
	}
	if have := s.committed[e.Index-1]; have.Term != e.Term || string(have.Data) != string(e.Data) {
		s.fail("%s applied %v at %d, another replica %v", vm, e, e.Index, have)
	}
}

func (s *cluster) checkLeader(vm core.VM, r *replica) {
	if !r.core.IsLeader() {
		return
	}
	if other, ok := s.leaders[r.core.Term()]; ok && other != vm {
		s.fail("term %d has two leaders, %s and %s", r.core.Term(), other, vm)
	}
	if _, ok := s.leaders[r.core.Term()]; !ok {
		// Leader completeness: a new leader holds every committed entry.
		if int(r.core.log.last()) < len(s.committed) {
			s.fail("leader %s of term %d lacks committed entries: %d of %d",
				vm, r.core.Term(), r.core.log.last(), len(s.committed))
		}
	}
	s.leaders[r.core.Term()] = vm
}

func (s *cluster) checkRead(read ReadState) {
	asked, ok := s.reads[read.ID]
	if ok && read.Index < asked {
		s.fail("read %d saw %d entries; %d were committed when it was requested", read.ID, read.Index, asked)
	}
	s.confirmedReads[read.ID] = read.Index
}

func (s *cluster) read(vm core.VM) uint64 {
	s.nextID++
	s.reads[s.nextID] = Index(len(s.committed))
	if r := s.replicas[vm]; r.up {
		_ = r.core.Read(s.nextID, s.nextID%3 == 0)
		s.processActions(vm)
	}
	return s.nextID
}

func (s *cluster) propose(vm core.VM, data string) error {
	r := s.replicas[vm]
	if !r.up {
		return ErrNotLeader
	}
	_, _, err := r.core.Propose([]byte(data))
	s.processActions(vm)
	return err
}

// compact saves a snapshot, as the registry task does after a number of entries.
func (s *cluster) compact(vm core.VM, keep Index) {
	r := s.replicas[vm]
	if !r.up || len(r.applied) <= int(r.core.log.snapshot.Index) {
		return
	}
	snap := r.core.Compact(Index(len(r.applied)), encodeSnapshot(r.applied), keep)
	r.disk.stored.Snapshot = snap
	r.disk.stored.Entries = r.core.EntriesAfter(snap.Index)
}

// checkDisks checks the log matching property: two stored entries with the same
// index and term are equal, and so are all entries before them.
func (s *cluster) checkDisks() {
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

// settle heals the network, restarts stopped replicas, runs for 400 rounds and
// then checks that all members have applied the same entries.
func (s *cluster) settle() {
	clear(s.blocked)
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

// round delivers the messages in flight and the replies to them, then ticks each
// replica once.
func (s *cluster) round() {
	for range 20 {
		batch := s.inFlight
		s.inFlight = nil
		for _, m := range batch {
			s.deliver(m)
		}
	}
	for _, vm := range s.vms {
		s.tick(vm)
	}
}

func (s *cluster) leader() core.VM {
	best, term := core.VM(""), Term(0)
	for _, vm := range s.vms {
		if r := s.replicas[vm]; r.up && r.core.IsLeader() && r.core.Term() > term {
			best, term = vm, r.core.Term()
		}
	}
	return best
}

// snapshots holds the entries of each encoded snapshot. The encoded form is only
// the key to this map.
var snapshots = map[string][]Entry{}

func encodeSnapshot(applied []Entry) []byte {
	key := fmt.Sprint(len(snapshots))
	snapshots[key] = slices.Clone(applied)
	return []byte(key)
}

func decodeSnapshot(s Snapshot) []Entry { return slices.Clone(snapshots[string(s.Data)]) }

// TestSafetyUnderRandomFaults checks the safety properties of the log, on which
// "an acknowledged assignment survives any tolerated loss" and "an accepted
// configuration never reverts" depend. It combines lost, duplicated and reordered
// messages, crashes, one-way partitions, membership changes and snapshots.
func TestSafetyUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		voters := rapid.IntRange(1, 5).Draw(rt, "voters")
		s := newCluster(rt.Fatalf, voters, 2)
		vm := rapid.SampledFrom(s.vms)
		count := 0
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": func(rt *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(rt, "n") {
					if len(s.inFlight) == 0 {
						return
					}
					i := rapid.IntRange(0, len(s.inFlight)-1).Draw(rt, "message")
					m := s.inFlight[i]
					switch rapid.IntRange(0, 9).Draw(rt, "fate") {
					case 0: // lost
						s.inFlight = slices.Delete(s.inFlight, i, i+1)
					case 1: // duplicated
						s.deliver(m)
					default:
						s.inFlight = slices.Delete(s.inFlight, i, i+1)
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
				chosen := vm.Draw(rt, "vm")
				for range rapid.IntRange(1, 20).Draw(rt, "n") {
					s.tick(chosen)
				}
			},
			"propose": func(rt *rapid.T) {
				count++
				chosen := vm.Draw(rt, "vm")
				if l := s.leader(); l != "" && rapid.Bool().Draw(rt, "at leader") {
					chosen = l
				}
				_ = s.propose(chosen, fmt.Sprint("c", count))
			},
			"crash": func(rt *rapid.T) { s.crash(vm.Draw(rt, "vm")) },
			"restart": func(rt *rapid.T) {
				if chosen := vm.Draw(rt, "vm"); !s.replicas[chosen].up {
					s.start(chosen)
				}
			},
			"cut": func(rt *rapid.T) {
				s.blocked[[2]core.VM{vm.Draw(rt, "from"), vm.Draw(rt, "to")}] = true
			},
			"heal":    func(*rapid.T) { clear(s.blocked) },
			"read":    func(rt *rapid.T) { s.read(vm.Draw(rt, "vm")) },
			"compact": func(rt *rapid.T) { s.compact(vm.Draw(rt, "vm"), Index(rapid.IntRange(0, 3).Draw(rt, "keep"))) },
			"transfer": func(*rapid.T) {
				if l := s.leader(); l != "" {
					s.replicas[l].core.TransferLeadership()
					s.processActions(l)
				}
			},
			"members": func(rt *rapid.T) {
				l := s.leader()
				if l == "" {
					return
				}
				chosen, c := vm.Draw(rt, "vm"), s.replicas[l].core
				switch rapid.IntRange(0, 2).Draw(rt, "change") {
				case 0:
					_, _, _ = c.AddLearner(Member{VM: chosen})
				case 1:
					_, _, _ = c.Promote(chosen)
				case 2:
					_, _, _ = c.Remove(chosen)
				}
				s.processActions(l)
			},
			"": func(*rapid.T) { s.checkDisks() },
		})
		s.settle()
	})
}
