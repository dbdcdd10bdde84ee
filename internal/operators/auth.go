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

// TokenHash is the SHA-256 of an operators' token. Daemons keep no token.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// String renders the hash in hexadecimal digits, as settings hold it.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// ParseTokenHash reads the form that String writes.
func ParseTokenHash(s string) (TokenHash, error) {
	var h TokenHash
	b, err := hex.DecodeString(strings.TrimSpace(s))
	if err != nil || len(b) != len(h) {
		return h, fmt.Errorf("token hash: want %d hexadecimal digits", 2*len(h))
	}
	copy(h[:], b)
	return h, nil
}

// Policy says who counts as an operator. The zero Policy admits nobody.
type Policy struct {
	Tokens       []TokenHash // bearers of one of these tokens
	Certificates bool        // clients whose certificate the listener has verified
	Anyone       bool        // on loopback only; package settings sees to that
}

// Authenticate passes on the requests of operators and refuses all others.
func Authenticate(p Policy, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !p.admits(r) {
			err := result.New(result.Unauthenticated, "want an operator's client certificate or a bearer token")
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
