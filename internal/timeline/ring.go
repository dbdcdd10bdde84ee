package timeline

// Ring is a ring buffer of the newest events.
type Ring struct {
	events []Event
	next   int // index in events at which Add stores the next event
	full   bool
}

// NewRing returns an empty ring with room for capacity events, at least one.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, max(capacity, 1))} }

// Add stores e. If the ring is full, e replaces the oldest event.
func (r *Ring) Add(e Event) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Select returns the events that q selects, oldest first. With a limit, it returns
// the newest of them.
func (r *Ring) Select(q Query) []Event {
	var found []Event
	if r.full {
		found = appendMatches(found, r.events[r.next:], q)
	}
	found = appendMatches(found, r.events[:r.next], q)
	if q.Limit > 0 && len(found) > q.Limit {
		found = found[len(found)-q.Limit:]
	}
	return found
}

func appendMatches(found, events []Event, q Query) []Event {
	for _, e := range events {
		if q.Matches(e) {
			found = append(found, e)
		}
	}
	return found
}
