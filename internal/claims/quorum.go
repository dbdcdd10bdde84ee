package claims

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Boot numbers the starts of one member; a larger one is newer.
type Boot uint64

// Reply is one member's answer to a claim.
type Reply struct {
	Member  core.VM
	Verdict Verdict
	Answer  *Stored
	Boot    Boot
	// Synced are the members that fetched this member's memory, with their boot.
	// A vote that such a member gave in an earlier boot counts for nothing: it
	// has forgotten it, and what it fetched may not hold this claim.
	Synced map[core.VM]Boot
}

// Decision is what the replies so far mean.
type Decision uint8

// The decisions.
const (
	Undecided Decision = iota
	Run                // a majority granted the claim
	Duplicate          // another request holds the key
	Answered           // another request has run, its answer is stored
	Conflict           // the key was used for another request
	Refuse             // no majority is possible
)

// Decide counts the replies of a cell with so many members. Refuse is only said
// once everyone replied or failed to.
func Decide(replies []Reply, members int, all bool) (Decision, *Stored) {
	granted, taken := 0, false
	for _, r := range replies {
		switch r.Verdict {
		case Different:
			return Conflict, nil
		case Done:
			if r.Answer != nil {
				return Answered, r.Answer
			}
			taken = true
		case Taken:
			taken = true
		case Granted:
			if !forgotten(r, replies) {
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

// forgotten reports whether another reply shows that the member restarted since
// it granted.
func forgotten(r Reply, replies []Reply) bool {
	for _, other := range replies {
		if other.Synced[r.Member] > r.Boot {
			return true
		}
	}
	return false
}

// SyncNeeded is how many other complete members a member has to hear so that it
// knows every claim which a majority of the cell, itself included, granted.
func SyncNeeded(members int) int { return members - (members/2 + 1) + 1 }

// Home returns the cell whose members hold the claims of a key: rendezvous
// hashing over all cells that are not stated dead. It depends on neither the
// shard's home nor the status of data centres, so that moving shards and taking
// data centres out moves no claim.
func Home(s *config.State, k Key) (config.Cell, bool) {
	var best config.Cell
	var high uint64
	for name, c := range s.Cells {
		if len(c.Members) == 0 || s.DataCentres[c.DataCentre].Status == config.DataCentreDead {
			continue
		}
		rank := xxhash.Sum64String(string(name) + "\x00" + string(k.Workspace) + "\x00" + string(k.Service) + "\x00" + k.Text)
		if best.Name == "" || rank > high || rank == high && cmp.Less(name, best.Name) {
			best, high = c, rank
		}
	}
	return best, best.Name != ""
}
