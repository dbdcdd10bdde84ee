package claims

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Boot identifies one start of a member's process; later starts have larger
// numbers.
type Boot uint64

// Reply is one member's answer to a claim.
type Reply struct {
	Member  core.VM
	Verdict Verdict
	Answer  *StoredAnswer
	Boot    Boot
	// SyncedBy lists the members that copied this member's claims, with the boot
	// in which they did. A vote that such a member cast in an earlier boot does
	// not count: the member lost it on restart, and the claims that it copied
	// may not contain this one.
	SyncedBy map[core.VM]Boot
}

// Decision is the outcome of a claim according to the replies received so far.
type Decision uint8

// The decisions.
const (
	Undecided Decision = iota
	Run                // a majority granted the claim
	Duplicate          // another attempt holds the key
	Answered           // another attempt has run and its answer is stored
	Conflict           // the key was used with a different method, path or body
	Refuse             // all members replied or failed, without a majority
)

// Decide evaluates the replies of a cell that has the given number of members.
// all is set once every member has replied or failed; only then can the decision
// be Duplicate or Refuse.
func Decide(replies []Reply, members int, all bool) (Decision, *StoredAnswer) {
	granted, taken := 0, false
	for _, r := range replies {
		switch r.Verdict {
		case DigestMismatch:
			return Conflict, nil
		case Done:
			if r.Answer != nil {
				return Answered, r.Answer
			}
			taken = true
		case Taken:
			taken = true
		case Granted:
			if !voteLost(r, replies) {
				granted++
			}
		case NoVote:
		}
	}
	switch {
	case granted > members/2:
		return Run, nil
	case !all:
		return Undecided, nil
	case taken:
		return Duplicate, nil
	default:
		return Refuse, nil
	}
}

// voteLost reports whether another reply shows that the member has restarted
// since it granted the claim.
func voteLost(r Reply, replies []Reply) bool {
	for _, other := range replies {
		if other.SyncedBy[r.Member] > r.Boot {
			return true
		}
	}
	return false
}

// CopiesNeeded returns from how many other complete members a member must copy
// claims so that it knows every claim that a majority of the cell, possibly
// including itself, has granted.
func CopiesNeeded(members int) int { return members - (members/2 + 1) + 1 }

// Home returns the cell whose members hold the claims of a key, chosen by
// rendezvous hashing over all cells whose data centre is not declared dead. It
// does not depend on where shards are or on other changes of a data centre's
// status, so that moving a shard or taking a data centre out moves no claim.
func Home(s *config.State, k Key) (config.Cell, bool) {
	var best config.Cell
	var bestScore uint64
	for name, c := range s.Cells {
		if len(c.Members) == 0 || s.DataCentres[c.DataCentre].Status == config.DataCentreDead {
			continue
		}
		score := xxhash.Sum64String(string(name) + "\x00" + string(k.Workspace) + "\x00" + string(k.Service) + "\x00" + k.Text)
		if best.Name == "" || score > bestScore || score == bestScore && cmp.Less(name, best.Name) {
			best, bestScore = c, score
		}
	}
	return best, best.Name != ""
}
