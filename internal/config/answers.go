package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// minAnswersKept is how many of the most recent answers are kept at least.
const minAnswersKept = 4096

// Digest is the SHA-256 of a change.
type Digest [sha256.Size]byte

// Answer is the stored answer to one request of an operator.
type Answer struct {
	Version core.Version // version in force after the request
	Digest  Digest       // of the requested change
}

// Answers holds the answers to the most recent requests by request id: at least
// the last minAnswersKept, and at most twice as many. The answers are replicated,
// so that any leader returns the first answer to a resent request. The map Older
// is never modified, so that copies may share it.
type Answers struct {
	Newest map[string]Answer
	Older  map[string]Answer
}

func newAnswers() Answers {
	return Answers{Newest: map[string]Answer{}, Older: map[string]Answer{}}
}

// Find returns the answer to the request with this id.
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
	if len(a.Newest) >= minAnswersKept {
		a.Older, a.Newest = a.Newest, map[string]Answer{}
	}
	a.Newest[requestID] = answer
}

func (a Answers) clone() Answers {
	return Answers{Newest: maps.Clone(a.Newest), Older: a.Older}
}

// AnswerVersion returns the version that resulted from the request with this id,
// or the current version if the answer is no longer stored.
func (s *State) AnswerVersion(requestID string) core.Version {
	if a, ok := s.Answered.Find(requestID); ok {
		return a.Version
	}
	return s.Version
}

// MarshalText encodes the digest as hexadecimal digits.
func (d Digest) MarshalText() ([]byte, error) { return hexText(d[:]), nil }

// UnmarshalText decodes the output of MarshalText.
func (d *Digest) UnmarshalText(text []byte) error { return parseHex(d[:], text) }

// MarshalText encodes the hash as hexadecimal digits.
func (h KeyHash) MarshalText() ([]byte, error) { return hexText(h[:]), nil }

// UnmarshalText decodes the output of MarshalText.
func (h *KeyHash) UnmarshalText(text []byte) error { return parseHex(h[:], text) }

func hexText(b []byte) []byte { return hex.AppendEncode(nil, b) }

// parseHex decodes text into dst, which it must fill exactly.
func parseHex(dst, text []byte) error {
	if hex.DecodedLen(len(text)) != len(dst) {
		return fmt.Errorf("want %d hexadecimal digits, got %d", hex.EncodedLen(len(dst)), len(text))
	}
	_, err := hex.Decode(dst, text)
	return err
}
