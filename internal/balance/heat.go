package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

// heatWindow is the time over which the requests for each key are counted,
// twice: the window that is filled and the one before.
const heatWindow = 2 * time.Second

// minSamples of a target's speed are needed before it is reported.
const minSamples = 3

type keyOf struct {
	service core.Service
	key     uint32
}

// heat counts the work that requests for each key cause.
type heat struct {
	filling, before map[keyOf]float64 // seconds of work
	began           time.Time
}

func newHeat() heat { return heat{filling: map[keyOf]float64{}, before: map[keyOf]float64{}} }

func (h *heat) turn(now time.Time) {
	if h.began.IsZero() {
		h.began = now
	}
	for n := 0; now.Sub(h.began) >= heatWindow; n++ {
		h.before, h.filling = h.filling, map[keyOf]float64{}
		h.began = h.began.Add(heatWindow)
		if n > 1 {
			h.began = now
		}
	}
}

func (h *heat) add(service core.Service, key uint32, work time.Duration, now time.Time) {
	h.turn(now)
	h.filling[keyOf{service, key}] += work.Seconds()
}

// report returns the load of each key.
func (h *heat) report(now time.Time) []fleet.KeyLoad {
	h.turn(now)
	seconds := (heatWindow + now.Sub(h.began)).Seconds()
	sum := make(map[keyOf]float64, len(h.filling)+len(h.before))
	for _, window := range []map[keyOf]float64{h.before, h.filling} {
		for k, work := range window {
			sum[k] += work
		}
	}
	keys := make([]fleet.KeyLoad, 0, len(sum))
	for k, work := range sum {
		keys = append(keys, fleet.KeyLoad{Service: k.service, Key: k.key, Busy: work / seconds})
	}
	return keys
}
