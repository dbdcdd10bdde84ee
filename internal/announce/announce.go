// Package announce serves the HTTP endpoint at which targets announce themselves:
// a POST of a JSON document to /v1/announce, every second.
package announce

import (
	"encoding/json"
	"net/http"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const maxAnnouncement = 64 << 10 // bytes

// Announcement is the JSON body that a target posts.
type Announcement struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Listener receives the announcements of targets.
type Listener interface {
	Announce(t core.Target) error
}

// Handler returns the handler of POST /v1/announce.
func Handler(l Listener) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&a); err != nil {
			http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
			return
		}
		if a.ID == "" || a.Service == "" || a.Address == "" || a.Slots < 1 {
			http.Error(w, "announcement: id, service, address and slots of 1 or more are required", http.StatusBadRequest)
			return
		}
		if err := l.Announce(a.target()); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (a Announcement) target() core.Target {
	return core.Target{
		ID:          core.TargetID(a.ID),
		Service:     core.Service(a.Service),
		DataCentre:  core.DataCentre(a.DataCentre),
		Address:     a.Address,
		Incarnation: core.Incarnation(a.Incarnation),
		Slots:       a.Slots,
		Connections: a.Connections,
		Draining:    a.Leaving,
	}
}
