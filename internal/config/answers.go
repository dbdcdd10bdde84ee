package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// answersKept is how many of the newest answers are kept at least.
const answersKept = 4096

// Digest is the SHA-256 of a change.
type Digest [sha256.Size]byte

// Answer is the stored answer to one operators' request.
type Answer struct {
	Version core.Version // version in force after the request
	Digest  Digest       // of the change
}

// Answers are the answers to the newest requests by their ids: between
// answersKept and twice as many. They are replicated, so that a resend gets the
// first answer from any leader. Older is never written once it is set.
type Answers struct {
	Newest map[string]Answer
	Older  map[string]Answer
}

func newAnswers() Answers {
	return Answers{Newest: map[string]Answer{}, Older: map[string]Answer{}}
}

// Find returns the answer to the request with an id.
func (a Answers) Find(requestID string) (Answer, bool) {
	if found, ok := a.Newest[requestID]; ok {
		return found, true
	}
	found, ok := a.Older[requestID]
	return found, ok
}

func (a *Answers) add(requestID string, answer Answer) {
	if requestID == "" {
		return
	}
	if len(a.Newest) >= answersKept {
		a.Older, a.Newest = a.Newest, map[string]Answer{}
	}
	a.Newest[requestID] = answer
}

func (a Answers) clone() Answers {
	return Answers{Newest: maps.Clone(a.Newest), Older: a.Older}
}

// AnswerVersion returns the version that the request with an id led to; the
// version in force if it is not known any more.
func (s *State) AnswerVersion(requestID string) core.Version {
	if a, ok := s.Answered.Find(requestID); ok {
		return a.Version
	}
	return s.Version
}

// MarshalText renders the digest in hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return hexText(d[:]), nil }

// UnmarshalText reads what MarshalText writes.
func (d *Digest) UnmarshalText(text []byte) error { return fromHex(d[:], text) }

// MarshalText renders the hash in hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) { return hexText(h[:]), nil }

// UnmarshalText reads what MarshalText writes.
func (h *KeyHash) UnmarshalText(text []byte) error { return fromHex(h[:], text) }

func hexText(b []byte) []byte { return hex.AppendEncode(nil, b) }

func fromHex(b, text []byte) error {
	if hex.DecodedLen(len(text)) != len(b) {
		return fmt.Errorf("want %d hexadecimal digits, got %d", hex.EncodedLen(len(b)), len(text))
	}
	_, err := hex.Decode(b, text)
	return err
}
