// Package claims keeps a request with an idempotency key from running twice: a
// request runs once a majority of the members of the key's claim cell have
// granted its claim. Decisions: store.go (one member's memory), completeness.go
// (when that memory may vote), quorum.go (what the answers of the members
// mean). Task: task.go owns a member's store; task_claim.go asks the members.
package claims

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	maxEntries     = 1 << 20
	maxAnswerBytes = 64 << 10 // of one stored answer
	maxStoredBytes = 16 << 20 // of all stored answers
)

// Key identifies what must not run twice.
type Key struct {
	Workspace core.Workspace
	Service   core.Service
	Text      string // the caller's idempotency key
}

// Claim asks for the right to run.
type Claim struct {
	Key     Key
	Request core.RequestID
	Digest  uint64 // of method, path and body: one key stands for one request
	TTL     time.Duration
}

// Stored is an answer that was kept for resends.
type Stored struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Verdict is a member's answer to a claim.
type Verdict uint8

// The verdicts.
const (
	Granted   Verdict = iota + 1 // to this request, now or before
	Taken                        // another request has the key and may run or have run
	Done                         // another request has run; its answer may be stored
	Different                    // the key was used for another request
	NoVote                       // this member's memory may have gaps, or is full
)

// entry is one granted claim.
type entry struct {
	request core.RequestID
	digest  uint64
	done    bool
	answer  *Stored
	expires time.Time
}

// Store is the memory of one member.
type Store struct {
	entries map[Key]*entry
	stored  int // bytes of answers
	swept   time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{entries: map[Key]*entry{}} }

// Len is the number of claims.
func (s *Store) Len() int { return len(s.entries) }

// Claim grants the key to the first request that asks, until the claim expires.
func (s *Store) Claim(c Claim, now time.Time) (Verdict, *Stored) {
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
		return Different, nil
	case e.done:
		return Done, e.answer
	case e.request == c.Request:
		return Granted, nil
	default:
		return Taken, nil
	}
}

// Finish records that the request which holds the claim has run. Its answer is
// kept when there is room.
func (s *Store) Finish(c Claim, answer *Stored, now time.Time) {
	e := s.entries[c.Key]
	if e == nil {
		e = &entry{request: c.Request, digest: c.Digest}
		s.entries[c.Key] = e
	}
	if e.request != c.Request || e.done {
		return
	}
	e.done, e.expires = true, now.Add(c.TTL)
	if answer != nil && len(answer.Body) <= maxAnswerBytes && s.stored+len(answer.Body) <= maxStoredBytes {
		e.answer = answer
		s.stored += len(answer.Body)
	}
}

// Withdraw gives a claim back whose request provably has not run.
func (s *Store) Withdraw(c Claim) {
	if e := s.entries[c.Key]; e != nil && e.request == c.Request && !e.done {
		s.drop(c.Key)
	}
}

// Learned is a claim as one member tells it to another.
type Learned struct {
	Key     Key
	Request core.RequestID
	Digest  uint64
	Done    bool
	Left    time.Duration
}

// List returns all claims of one store.
func (s *Store) List(now time.Time) []Learned {
	all := make([]Learned, 0, len(s.entries))
	for k, e := range s.entries {
		if left := e.expires.Sub(now); left > 0 {
			all = append(all, Learned{k, e.request, e.digest, e.done, left})
		}
	}
	return all
}

// contested stands for the holder of a key which two members granted to
// different requests. Which of the two this member voted for before it lost its
// memory can't be told, so that it votes for neither.
const contested core.RequestID = ""

// Learn takes over claims of another member.
func (s *Store) Learn(all []Learned, now time.Time) {
	for _, l := range all {
		if old := s.entries[l.Key]; old != nil && now.Before(old.expires) {
			if old.request != l.Request {
				old.request, old.done = contested, false
			}
			continue
		}
		s.entries[l.Key] = &entry{request: l.Request, digest: l.Digest, done: l.Done, expires: now.Add(l.Left)}
	}
}

const sweepPeriod = time.Second

// sweep forgets expired claims.
func (s *Store) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepPeriod {
		return
	}
	s.swept = now
	for k, e := range s.entries {
		if !now.Before(e.expires) {
			s.drop(k)
		}
	}
}

func (s *Store) drop(k Key) {
	if e := s.entries[k]; e != nil && e.answer != nil {
		s.stored -= len(e.answer.Body)
	}
	delete(s.entries, k)
}
