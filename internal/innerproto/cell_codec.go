package innerproto

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

func numberToWire(n lease.Number) *innerpb.CellNumber {
	return &innerpb.CellNumber{Epoch: uint64(n.Epoch), Ballot: n.Ballot}
}

func numberFromWire(n *innerpb.CellNumber) lease.Number {
	return lease.Number{Epoch: core.Epoch(n.GetEpoch()), Ballot: n.GetBallot()}
}

func fenceToWire(f core.Fence) *innerpb.CellFence {
	if f.IsZero() {
		return nil
	}
	return &innerpb.CellFence{Epoch: uint64(f.Epoch), Ballot: f.Ballot, Counter: f.Counter}
}

func fenceFromWire(f *innerpb.CellFence) core.Fence {
	return core.Fence{Epoch: core.Epoch(f.GetEpoch()), Ballot: f.GetBallot(), Counter: f.GetCounter()}
}

func heartbeatToWire(from core.VM, h cell.Heartbeat) *innerpb.CellHeartbeat {
	return &innerpb.CellHeartbeat{
		From: string(from), Number: numberToWire(h.Number), Holder: string(h.Holder.VM), Session: h.Holder.Session,
		Seq: h.Seq, TtlMs: uint32(h.TTL.Milliseconds()),
		EchoSession: h.Echo.Session, EchoSeq: h.Echo.Seq, EchoFence: fenceToWire(h.Echo.Fence),
		InForce: fenceToWire(h.InForce), Delta: deltaToWire(h.Delta), NewsSeen: h.AckedVersion,
	}
}

func heartbeatFromWire(h *innerpb.CellHeartbeat) cell.Heartbeat {
	return cell.Heartbeat{
		Propose: lease.Propose{
			Number: numberFromWire(h.Number), Holder: lease.Holder{VM: core.VM(h.Holder), Session: h.Session},
			Seq: h.Seq, TTL: time.Duration(h.TtlMs) * time.Millisecond,
		},
		Echo:         cell.Echo{Session: h.EchoSession, Seq: h.EchoSeq, Fence: fenceFromWire(h.EchoFence)},
		InForce:      fenceFromWire(h.InForce),
		Delta:        deltaFromWire(h.Delta),
		AckedVersion: h.NewsSeen,
	}
}

func statusToWire(s cell.Status) *innerpb.CellStatus {
	w := &innerpb.CellStatus{
		Session: s.Session, Seq: s.Seq, Have: fenceToWire(s.TableFence),
		NewsSince: s.TargetUpdate.Since, NewsVersion: s.TargetUpdate.Version, Gone: idsToWire(s.TargetUpdate.Removed),
		FenceSeen: fenceToWire(s.Facts.FenceSeen),
	}
	for _, t := range s.TargetUpdate.Targets {
		w.Targets = append(w.Targets, targetToWire(t))
	}
	for _, r := range s.Facts.ReleasedShards {
		w.ReleasedShards = append(w.ReleasedShards, &innerpb.CellReleasedShard{
			Service: string(r.Service), Shard: uint32(r.Shard), Fence: fenceToWire(r.Fence),
		})
	}
	for _, r := range s.Facts.ReleasedTargets {
		w.ReleasedTargets = append(w.ReleasedTargets, &innerpb.CellEndedTarget{Target: string(r.Target), Fence: fenceToWire(r.Fence)})
	}
	for _, e := range s.Facts.EndedTargets {
		w.Down = append(w.Down, &innerpb.CellEndedTarget{
			Target: string(e.Target), Fence: fenceToWire(e.Fence), Ended: fenceToWire(e.EndedFence), Up: e.Answering,
		})
	}
	for _, h := range s.Facts.HeldShards {
		w.Held = append(w.Held, &innerpb.CellReleasedShard{
			Service: string(h.Service), Shard: uint32(h.Shard), Fence: fenceToWire(h.Fence), Target: string(h.Target),
		})
	}
	return w
}

func statusFromWire(w *innerpb.CellStatus) cell.Status {
	s := cell.Status{
		Session: w.GetSession(), Seq: w.GetSeq(), TableFence: fenceFromWire(w.GetHave()),
		TargetUpdate: cell.TargetUpdate{Since: w.GetNewsSince(), Version: w.GetNewsVersion()},
	}
	for _, t := range w.GetTargets() {
		s.TargetUpdate.Targets = append(s.TargetUpdate.Targets, targetFromWire(t))
	}
	for _, id := range w.GetGone() {
		s.TargetUpdate.Removed = append(s.TargetUpdate.Removed, core.TargetID(id))
	}
	s.Facts = factsFromWire(w)
	return s
}

func factsFromWire(w *innerpb.CellStatus) cell.Facts {
	f := cell.Facts{FenceSeen: fenceFromWire(w.GetFenceSeen())}
	for _, r := range w.GetReleasedShards() {
		f.ReleasedShards = append(f.ReleasedShards, cell.ReleasedShard{
			Service: core.Service(r.Service), Shard: core.Shard(r.Shard), Fence: fenceFromWire(r.Fence),
		})
	}
	for _, r := range w.GetReleasedTargets() {
		f.ReleasedTargets = append(f.ReleasedTargets, cell.ReleasedTarget{Target: core.TargetID(r.Target), Fence: fenceFromWire(r.Fence)})
	}
	for _, e := range w.GetDown() {
		f.EndedTargets = append(f.EndedTargets, cell.EndedTarget{
			Target: core.TargetID(e.Target), Fence: fenceFromWire(e.Fence), EndedFence: fenceFromWire(e.Ended), Answering: e.Up,
		})
	}
	for _, h := range w.GetHeld() {
		f.HeldShards = append(f.HeldShards, cell.HeldShard{
			Service: core.Service(h.Service), Shard: core.Shard(h.Shard), Target: core.TargetID(h.Target), Fence: fenceFromWire(h.Fence),
		})
	}
	return f
}

func idsToWire(ids []core.TargetID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

func targetToWire(t core.Target) *innerpb.CellTarget {
	return &innerpb.CellTarget{
		Id: string(t.ID), Service: string(t.Service), DataCentre: string(t.DataCentre), Address: t.Address,
		Incarnation: uint64(t.Incarnation), Slots: int32(t.Slots), Connections: int32(t.Connections), Leaving: t.Draining,
	}
}

func targetFromWire(t *innerpb.CellTarget) core.Target {
	return core.Target{
		ID: core.TargetID(t.GetId()), Service: core.Service(t.GetService()), DataCentre: core.DataCentre(t.GetDataCentre()),
		Address: t.GetAddress(), Incarnation: core.Incarnation(t.GetIncarnation()), Slots: int(t.GetSlots()),
		Connections: int(t.GetConnections()), Draining: t.GetLeaving(),
	}
}
