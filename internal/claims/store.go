// Package claims keeps a request with an idempotency key from running twice. A
// request may run once a majority of the members of the key's claim cell have
// granted its claim. Members keep claims in memory only; a restarted member
// copies them from the others before it votes again.
//
// Decisions: store.go (the claims of one member), completeness.go (whether a
// member knows enough claims to vote), quorum.go (evaluates the members'
// replies). Task: task.go owns a member's store; task_claim.go sends a claim to
// the members.
package claims

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	maxEntries     = 1 << 20  // claims
	maxAnswerBytes = 64 << 10 // body of one stored answer
	maxStoredBytes = 16 << 20 // bodies of all stored answers
)

// Key identifies a request that must not run twice.
type Key struct {
	Workspace core.Workspace
	Service   core.Service
	Text      string // the caller's idempotency key
}

// Claim asks for the right to run a request with an idempotency key.
type Claim struct {
	Key     Key
	Request core.RequestID
	Digest  uint64 // of method, path and body; detects a key reused for a different request
	TTL     time.Duration
}

// StoredAnswer is an answer that is kept for the caller's retries.
type StoredAnswer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Verdict is a member's answer to a claim.
type Verdict uint8

// The verdicts.
const (
	Granted        Verdict = iota + 1 // granted to this request, now or earlier
	Taken                             // another attempt holds the key and may be running or have run
	Done                              // another attempt has run; its answer may be stored
	DigestMismatch                    // the key was used with a different method, path or body
	NoVote                            // this member may be missing claims, or its store is full
)

// entry is one granted claim.
type entry struct {
	request core.RequestID
	digest  uint64
	done    bool
	answer  *StoredAnswer
	expires time.Time
}

// Store holds the claims that one member has granted or copied from others.
type Store struct {
	entries     map[Key]*entry
	storedBytes int // bytes of answers
	sweptAt     time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[Key]*entry{}} }

// Len returns the number of claims, including expired ones not yet removed.
func (s *Store) Len() int { return len(s.entries) }

// Claim grants the key to the first request that asks, until the claim expires.
func (s *Store) Claim(c Claim, now time.Time) (Verdict, *StoredAnswer) {
	s.sweep(now)
	e := s.entries[c.Key]
	if e == nil || !now.Before(e.expires) {
		if e == nil && len(s.entries) >= maxEntries {
			return NoVote, nil
		}
		s.drop(c.Key)
		s.entries[c.Key] = &entry{request: c.Request, digest: c.Digest, expires: now.Add(c.TTL)}
		return Granted, nil
	}
	switch {
	case e.digest != c.Digest:
		return DigestMismatch, nil
	case e.done:
		return Done, e.answer
	case e.request == c.Request:
		return Granted, nil
	default:
		return Taken, nil
	}
}

// Finish records that the request c.Request has run, and restarts the claim's TTL.
// If this member holds no claim for the key, it creates one: the request may have
// been granted by other members only. If another request holds the claim, or the
// request has already finished, nothing changes. The answer is kept if it fits the
// size limits.
func (s *Store) Finish(c Claim, answer *StoredAnswer, now time.Time) {
	e := s.entries[c.Key]
	if e == nil {
		e = &entry{request: c.Request, digest: c.Digest}
		s.entries[c.Key] = e
	}
	if e.request != c.Request || e.done {
		return
	}
	e.done, e.expires = true, now.Add(c.TTL)
	if answer != nil && len(answer.Body) <= maxAnswerBytes && s.storedBytes+len(answer.Body) <= maxStoredBytes {
		e.answer = answer
		s.storedBytes += len(answer.Body)
	}
}

// Withdraw releases a claim whose request provably has not run.
func (s *Store) Withdraw(c Claim) {
	if e := s.entries[c.Key]; e != nil && e.request == c.Request && !e.done {
		s.drop(c.Key)
	}
}

// ClaimCopy is a claim that one member sends to another. Stored answers are not
// sent.
type ClaimCopy struct {
	Key       Key
	Request   core.RequestID
	Digest    uint64
	Done      bool
	Remaining time.Duration // until the claim expires
}

// List returns all claims that have not expired.
func (s *Store) List(now time.Time) []ClaimCopy {
	all := make([]ClaimCopy, 0, len(s.entries))
	for k, e := range s.entries {
		if left := e.expires.Sub(now); left > 0 {
			all = append(all, ClaimCopy{k, e.request, e.digest, e.done, left})
		}
	}
	return all
}

// contested replaces the holder of a key that two members granted to different
// requests. A restarted member cannot know which of the two it voted for, so it
// votes for neither.
const contested core.RequestID = ""

// AddCopies adds the claims of another member.
func (s *Store) AddCopies(copies []ClaimCopy, now time.Time) {
	for _, c := range copies {
		if old := s.entries[c.Key]; old != nil && now.Before(old.expires) {
			if old.request != c.Request {
				old.request, old.done = contested, false
			}
			continue
		}
		s.entries[c.Key] = &entry{request: c.Request, digest: c.Digest, done: c.Done, expires: now.Add(c.Remaining)}
	}
}

const sweepPeriod = time.Second

// sweep removes expired claims, at most once per sweepPeriod.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepPeriod {
		return
	}
	s.sweptAt = now
	for k, e := range s.entries {
		if !now.Before(e.expires) {
			s.drop(k)
		}
	}
}

func (s *Store) drop(k Key) {
	if e := s.entries[k]; e != nil && e.answer != nil {
		s.storedBytes -= len(e.answer.Body)
	}
	delete(s.entries, k)
}
