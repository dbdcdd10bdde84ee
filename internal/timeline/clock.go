package timeline

import (
	"cmp"
	"fmt"
	"time"
)

// MaxStampAhead is how far a peer's stamp may be ahead of this daemon's wall clock to
// be accepted. Without a bound, one VM whose clock is wrong would advance the
// clocks of all daemons.
const MaxStampAhead = 10 * time.Second

// Stamp is a timestamp of a hybrid logical clock (Kulkarni et al., "Logical
// Physical Clocks", 2014): a wall time that never goes back, and a counter that
// orders stamps with the same wall time.
type Stamp struct {
	Micros  int64  // microseconds since the Unix epoch
	Logical uint32 // counter within Micros
}

// Compare returns -1, 0 or 1 if s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Micros, o.Micros), cmp.Compare(s.Logical, o.Logical))
}

// Time returns the wall time of the stamp in UTC.
func (s Stamp) Time() time.Time { return time.UnixMicro(s.Micros).UTC() }

// String formats the stamp as "micros.logical", as in messages between daemons.
func (s Stamp) String() string { return fmt.Sprintf("%d.%d", s.Micros, s.Logical) }

// ParseStamp parses the format that String returns.
func ParseStamp(text string) (Stamp, error) {
	var s Stamp
	if n, err := fmt.Sscanf(text, "%d.%d", &s.Micros, &s.Logical); n != 2 || s.String() != text {
		return Stamp{}, fmt.Errorf("stamp %q: want micros.logical: %w", text, err)
	}
	return s, nil
}

// Clock is a hybrid logical clock. Its zero value is ready for use.
type Clock struct{ last Stamp }

// Last returns the newest stamp issued or accepted from a peer.
func (c *Clock) Last() Stamp { return c.last }

// Tick returns a stamp later than every stamp issued or accepted before.
func (c *Clock) Tick(now time.Time) Stamp {
	if micros := now.UnixMicro(); micros > c.last.Micros {
		c.last = Stamp{Micros: micros}
	} else {
		c.last = c.last.next()
	}
	return c.last
}

// Observe accepts a peer's stamp, so that every later stamp of this clock follows
// it. It reports false and ignores the stamp if that is more than MaxAhead ahead
// of now.
func (c *Clock) Observe(peer Stamp, now time.Time) bool {
	if peer.Micros > now.Add(MaxStampAhead).UnixMicro() {
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
