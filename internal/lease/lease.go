// Package lease elects the coordinator of a cell without stored state, by the
// PaxosLease algorithm (Trencseni, Gazso, Reinhardt: "PaxosLease: Diskless Paxos
// for Leases"): a proposer prepares a ballot at a quorum, and proposes itself
// when no acceptor of the quorum has accepted another member's live lease. The
// package only decides, without input, output or goroutines: lease.go holds the
// messages, acceptor.go the votes of one member, elector.go its proposer.
package lease

import (
	"cmp"
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// ballotMemberBits is the width of the member's index within a ballot.
const ballotMemberBits = 8

// Number orders the proposals of one cell across all its member sets.
type Number struct {
	Epoch  core.Epoch // of the member set
	Ballot uint64     // round in the high bits, the proposer's index in the member set in the low ballotMemberBits
}

// Compare orders numbers by epoch, then ballot.
func (n Number) Compare(o Number) int {
	return cmp.Or(cmp.Compare(n.Epoch, o.Epoch), cmp.Compare(n.Ballot, o.Ballot))
}

// Less reports whether n is older than o.
func (n Number) Less(o Number) bool { return n.Compare(o) < 0 }

// String renders the number as "epoch.ballot".
func (n Number) String() string { return fmt.Sprintf("%d.%d", n.Epoch, n.Ballot) }

func (n Number) round() uint64 { return n.Ballot >> ballotMemberBits }

// Holder identifies one process of one member: a restarted member is another
// holder.
type Holder struct {
	VM      core.VM
	Session uint64 // random, chosen when the process starts
}

// Electorate is the set of voting members. While a change of the member set is
// not confirmed, a quorum needs a majority of the previous set too.
type Electorate struct {
	Epoch    core.Epoch
	Members  []core.VM // sorted
	Previous []core.VM // empty once the change is confirmed
}

// Quorum reports whether the voters for which voted is true include a majority
// of each member set.
func (e Electorate) Quorum(voted func(core.VM) bool) bool {
	return majority(e.Members, voted) && (len(e.Previous) == 0 || majority(e.Previous, voted))
}

func majority(members []core.VM, voted func(core.VM) bool) bool {
	n := 0
	for _, m := range members {
		if voted(m) {
			n++
		}
	}
	return 2*n > len(members)
}

// Voters returns the members of both sets, each once.
func (e Electorate) Voters() []core.VM {
	voters := append([]core.VM(nil), e.Members...)
	for _, p := range e.Previous {
		if e.index(p) < 0 {
			voters = append(voters, p)
		}
	}
	return voters
}

func (e Electorate) index(vm core.VM) int {
	for i, m := range e.Members {
		if m == vm {
			return i
		}
	}
	return -1
}

// Prepare asks for a promise to refuse older numbers.
type Prepare struct {
	Number Number
	Holder Holder
}

// Promise answers a Prepare.
type Promise struct {
	Number   Number // of the Prepare
	OK       bool
	Promised Number // newest number that the voter has promised, set also in a refusal
}

// Propose asks for a lease, or for its extension.
type Propose struct {
	Number Number
	Holder Holder
	Seq    uint64        // matches answers to the proposals under one number
	TTL    time.Duration // counted by an acceptor from its receipt
}

// Accept answers a Propose.
type Accept struct {
	Number   Number
	Seq      uint64
	OK       bool
	Promised Number
}
