package operators

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TokenHash is the SHA-256 digest of an operator token. Daemons store only the
// digest, never the token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of an operator token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String returns the hash in hexadecimal digits, the form used in settings.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// ParseTokenHash parses a hash as formatted by String.
func ParseTokenHash(s string) (TokenHash, error) {
	var h TokenHash
	b, err := hex.DecodeString(strings.TrimSpace(s))
	if err != nil || len(b) != len(h) {
		return h, fmt.Errorf("token hash: want %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], b)
	return h, nil
}

// Policy defines how operators authenticate. The zero Policy rejects everyone.
type Policy struct {
	Tokens       []TokenHash // accepts bearer tokens with one of these hashes
	Certificates bool        // accepts client certificates that the listener has verified
	Anyone       bool        // accepts everyone; package settings permits this on loopback only
}

// Authenticate forwards requests that the policy accepts to next and answers all
// others with an Unauthenticated error.
func Authenticate(p Policy, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.admits(r) {
			err := result.New(result.Unauthenticated, "an operator's client certificate or a bearer token is required")
			_ = twirp.WriteError(w, toTwirp(err))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (p Policy) admits(r *http.Request) bool {
	if p.Anyone {
		return true
	}
	if p.Certificates && r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	hash := HashToken(token)
	found := 0
	for _, t := range p.Tokens {
		found |= subtle.ConstantTimeCompare(hash[:], t[:])
	}
	return found == 1
}
