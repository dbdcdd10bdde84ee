package faketarget

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// grantOrder is the JSON form of a GrantOrder.
type grantOrder struct {
	Service     string       `json:"service"`
	Holder      string       `json:"holder"`
	Incarnation uint64       `json:"incarnation"`
	TTLms       int64        `json:"ttl_ms"`
	SinceMs     int64        `json:"since_ms"`
	Reset       bool         `json:"reset"`
	Add         []shardFence `json:"add"`
	Remove      []shardFence `json:"remove"`
}

// shardFence is the JSON form of a ShardFence.
type shardFence struct {
	Shard uint32 `json:"shard"`
	Fence string `json:"fence"`
}

// grantAnswer is the answer to an order that was applied.
type grantAnswer struct {
	Incarnation uint64 `json:"incarnation"`
	Held        int    `json:"held"`
	ClockMs     int64  `json:"clock_ms"`
}

// staleAnswer is the answer to an order that was refused.
type staleAnswer struct {
	Error string `json:"error"`
	Fence string `json:"fence"`
}

type heldShard struct {
	Service string `json:"service"`
	Shard   uint32 `json:"shard"`
	Fence   string `json:"fence"`
	LeftMs  int64  `json:"left_ms"`
}

// heldAnswer lists the live grants.
type heldAnswer struct {
	Incarnation uint64      `json:"incarnation"`
	ClockMs     int64       `json:"clock_ms"`
	Shards      []heldShard `json:"shards"`
}

type grantResult struct {
	answer grantAnswer
	stale  core.Fence
	ok     bool
}

func (t *Target) takeGrants(w http.ResponseWriter, r *http.Request) {
	var in grantOrder
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	order, err := in.order()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	got, err := ask(r.Context(), t, func(m *model, now time.Time) grantResult {
		stale, ok := core.Fence{}, true
		if in.Incarnation == 0 || in.Incarnation == uint64(m.incarnation) {
			stale, ok = m.grants.apply(order, now)
		}
		answer := grantAnswer{uint64(m.incarnation), len(m.grants.held), m.clockMs(now)}
		return grantResult{answer, stale, ok}
	})
	switch {
	case err != nil:
		return
	case !got.ok:
		writeJSON(w, http.StatusConflict, staleAnswer{"stale fence", got.stale.String()})
	default:
		writeJSON(w, http.StatusOK, got.answer)
	}
}

func (o grantOrder) order() (GrantOrder, error) {
	holder, err := core.ParseFence(o.Holder)
	if err != nil {
		return GrantOrder{}, err
	}
	add, err := shardFences(o.Add)
	if err != nil {
		return GrantOrder{}, err
	}
	remove, err := shardFences(o.Remove)
	if err != nil {
		return GrantOrder{}, err
	}
	return GrantOrder{
		Service: core.Service(o.Service), Holder: holder, TTL: time.Duration(o.TTLms) * time.Millisecond,
		Since: time.Duration(o.SinceMs) * time.Millisecond,
		Reset: o.Reset, Add: add, Remove: remove,
	}, nil
}

func shardFences(in []shardFence) ([]ShardFence, error) {
	out := make([]ShardFence, 0, len(in))
	for _, s := range in {
		f, err := core.ParseFence(s.Fence)
		if err != nil {
			return nil, err
		}
		out = append(out, ShardFence{core.Shard(s.Shard), f})
	}
	return out, nil
}

func (t *Target) listGrants(w http.ResponseWriter, r *http.Request) {
	answer, err := ask(r.Context(), t, func(m *model, now time.Time) heldAnswer {
		out := heldAnswer{Incarnation: uint64(m.incarnation), ClockMs: m.clockMs(now), Shards: []heldShard{}}
		for _, h := range m.grants.list(now) {
			out.Shards = append(out.Shards, heldShard{
				string(h.Service), uint32(h.Shard), h.Fence.String(), h.Until.Sub(now).Milliseconds(),
			})
		}
		return out
	})
	if err == nil {
		writeJSON(w, http.StatusOK, answer)
	}
}
