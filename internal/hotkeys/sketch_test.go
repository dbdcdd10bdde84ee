package hotkeys

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHottestKeysAreFound checks that the two keys with the most requests are
// listed in order and with about the right rates, among many keys with few
// requests.
func TestHottestKeysAreFound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewSketch(now)
	for range 60 { // seconds, of 1000 requests each
		for range 1000 {
			now = now.Add(time.Millisecond)
			key := fmt.Sprint("cold-", rng.IntN(100_000))
			switch n := rng.IntN(10); {
			case n < 3:
				key = "hot-300"
			case n < 5:
				key = "hot-200"
			}
			s.Add(key, 1, now)
		}
		is.True(s.counts.Len() <= capacity)
	}
	top := s.Top(2, now)
	is.Equal([]string{top[0].Key, top[1].Key}, []string{"hot-300", "hot-200"})
	is.True(math.Abs(top[0].Rate-300) < 100)
	is.True(math.Abs(top[1].Rate-200) < 70)
}

// TestOldLoadFades checks that a key without new requests drops behind a key with
// one.
func TestOldLoadFades(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewSketch(now)
	for range 1000 {
		s.Add("old", 1, now)
	}
	now = now.Add(15 * halfLife)
	s.Add("new", 1, now)
	is.Equal(s.Top(5, now)[0].Key, "new")
}
