package innerproto

import (
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

const headerStamp = "Comfreynotch-Inner-Stamp"

// Stamper is the hybrid logical clock of this daemon.
type Stamper interface {
	Stamp() timeline.Stamp
	Observe(s timeline.Stamp)
}

// WithStamps passes requests on to next and hands the stamp of each to clock,
// so that what follows here stands after what went before at the sender.
func WithStamps(clock Stamper, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s, err := timeline.ParseStamp(r.Header.Get(headerStamp)); err == nil {
			clock.Observe(s)
		}
		r.Header.Del(headerStamp)
		w.Header().Set(headerStamp, clock.Stamp().String())
		next.ServeHTTP(w, r)
	})
}

// StampedTransport sends requests through next with this daemon's stamp and
// takes over the stamp of each answer.
func StampedTransport(clock Stamper, next http.RoundTripper) http.RoundTripper {
	return stampedTransport{clock, next}
}

type stampedTransport struct {
	clock Stamper
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
