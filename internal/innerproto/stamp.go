package innerproto

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// headerStamp carries the sender's stamp on each request and answer.
const headerStamp = "Comfreynotch-Inner-Stamp"

// StampClock is this daemon's hybrid logical clock. Observe advances it past a stamp
// that another daemon sent.
type StampClock interface {
	Stamp() timeline.Stamp
	Observe(s timeline.Stamp)
}

// WithStamps returns a handler that advances clock past the stamp of each request
// before next serves it, so that events recorded here afterwards are ordered after
// the sender's earlier events.
func WithStamps(clock StampClock, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s, err := timeline.ParseStamp(r.Header.Get(headerStamp)); err == nil {
			clock.Observe(s)
		}
		r.Header.Del(headerStamp)
		w.Header().Set(headerStamp, clock.Stamp().String())
		next.ServeHTTP(w, r)
	})
}

// StampedTransport returns a transport that adds this daemon's stamp to each request
// and advances clock past the stamp of each answer.
func StampedTransport(clock StampClock, next http.RoundTripper) http.RoundTripper {
	return stampedTransport{clock, next}
}

type stampedTransport struct {
	clock StampClock
	next  http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t stampedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(headerStamp, t.clock.Stamp().String())
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if s, err := timeline.ParseStamp(resp.Header.Get(headerStamp)); err == nil {
		t.clock.Observe(s)
	}
	resp.Header.Del(headerStamp)
	return resp, nil
}
