package timeline

// Ring keeps the newest events, up to its capacity.
type Ring struct {
	events []Event
	next   int // index that the next event takes
	full   bool
}

// NewRing returns an empty ring for capacity events, at least one.
func NewRing(capacity int) *Ring { return &Ring{events: make([]Event, max(capacity, 1))} }

// Add stores e in place of the oldest event once the ring is full.
func (r *Ring) Add(e Event) {
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Select returns the events that q selects, oldest first.
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
