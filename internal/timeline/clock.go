package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// MaxAhead is how far a peer's stamp may lie ahead of this daemon's clock and
// still be taken over. A peer whose clock is further off must not drag all
// others along.
const MaxAhead = 10 * time.Second

// Stamp is a reading of a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014): wall time that never goes back, and a counter within
// one reading of the wall clock.
type Stamp struct {
	Micros  int64  // microseconds since 1970 UTC
	Logical uint32 // order within Micros
}

// Compare orders stamps as cmp.Compare does.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Micros, o.Micros), cmp.Compare(s.Logical, o.Logical))
}

// Time is the wall time of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Micros).UTC() }

// String renders the stamp as "micros.logical", the form of inner messages.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Micros, s.Logical) }

// ParseStamp reads the form that String writes.
func ParseStamp(text string) (Stamp, error) {
	var s Stamp
	if n, err := fmt.Sscanf(text, "%d.%d", &s.Micros, &s.Logical); n != 2 || s.String() != text {
		return Stamp{}, fmt.Errorf("stamp %q: want micros.logical: %w", text, err)
	}
	return s, nil
}

// Clock is a hybrid logical clock. Its zero value is ready.
type Clock struct{ last Stamp }

// Last is the newest stamp given or taken over.
func (c *Clock) Last() Stamp { return c.last }

// Tick returns a stamp later than every stamp given or taken over before.
func (c *Clock) Tick(now time.Time) Stamp {
	if micros := now.UnixMicro(); micros > c.last.Micros {
		c.last = Stamp{Micros: micros}
	} else {
		c.last = c.last.next()
	}
	return c.last
}

// Observe takes over a peer's stamp, so that later stamps here follow it. It
// reports false, and takes over nothing, if the stamp is more than MaxAhead in
// the future.
func (c *Clock) Observe(peer Stamp, now time.Time) bool {
	if peer.Micros > now.Add(MaxAhead).UnixMicro() {
		return false
	}
	if peer.Compare(c.last) > 0 {
		c.last = peer
	}
	return true
}

func (s Stamp) next() Stamp {
	if s.Logical == ^uint32(0) {
		return Stamp{Micros: s.Micros + 1}
	}
	return Stamp{Micros: s.Micros, Logical: s.Logical + 1}
}
