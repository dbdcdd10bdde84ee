package timeline

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// TestStampsFollowMessageOrder checks that an event which follows the receipt of
// a message has a later stamp than every event before the message was sent,
// whatever the daemons' wall clocks show within MaxAhead.
func TestStampsFollowMessageOrder(t *testing.T) {
	is := is.New(t)
	const daemons, steps = 4, 2000
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	var clocks [daemons]Clock
	var skew [daemons]time.Duration
	var after [daemons]Stamp // oracle: the newest stamp that this daemon's next event must follow
	for i := range skew {
		skew[i] = time.Duration(rng.Int64N(int64(MaxStampAhead/2))) - MaxStampAhead/4
	}
	for step := range steps {
		i, now := rng.IntN(daemons), start.Add(time.Duration(step)*time.Millisecond)
		s := clocks[i].Tick(now.Add(skew[i]))
		is.True(s.Compare(after[i]) > 0)
		after[i] = s
		if j := rng.IntN(daemons); j != i {
			is.True(clocks[j].Observe(s, now.Add(skew[j])))
			if s.Compare(after[j]) > 0 {
				after[j] = s
			}
		}
	}
}

// TestStampTooFarAheadIsRejected checks that a VM whose clock is wrong by more
// than MaxAhead does not advance the clocks of its peers.
func TestStampTooFarAheadIsRejected(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	var c Clock
	is.True(!c.Observe(Stamp{Micros: now.Add(MaxStampAhead + time.Millisecond).UnixMicro()}, now))
	is.Equal(c.Tick(now), Stamp{Micros: now.UnixMicro()})
}

// TestStampTextRoundTrip checks that ParseStamp reads what String writes and
// rejects other texts.
func TestStampTextRoundTrip(t *testing.T) {
	is := is.New(t)
	want := Stamp{Micros: 1_700_000_000_000_001, Logical: 7}
	got, err := ParseStamp(want.String())
	is.NoErr(err)
	is.Equal(got, want)
	for _, bad := range []string{"", "1", "x.1", "1.2.3", "1.-2"} {
		_, err := ParseStamp(bad)
		is.True(err != nil)
	}
}

// TestRingKeepsTheNewest checks that a full ring replaces its oldest events.
func TestRingKeepsTheNewest(t *testing.T) {
	is := is.New(t)
	r := NewRing(3)
	for seq := range uint64(5) {
		r.Add(Event{Seq: seq})
	}
	var got []uint64
	for _, e := range r.Select(Query{}) {
		got = append(got, e.Seq)
	}
	is.Equal(got, []uint64{2, 3, 4})
	is.Equal(len(r.Select(Query{Limit: 2})), 2)
}

// TestQuerySelects checks that events can be selected by shard, target, data
// centre and time.
func TestQuerySelects(t *testing.T) {
	is := is.New(t)
	at := time.Unix(100, 0)
	shard, other := core.Shard(5), core.Shard(9)
	e := Event{
		Stamp: Stamp{Micros: at.UnixMicro()}, Service: "archivio", Shards: "4-6",
		Target: "t1", DataCentre: "padana-a",
	}
	is.True(Query{}.Matches(e))
	is.True(Query{Service: "archivio", Shard: &shard, Target: "t1", DataCentre: "padana-a", From: at}.Matches(e))
	is.True(!Query{Service: "archivio", Shard: &other}.Matches(e))
	is.True(!Query{Target: "t2"}.Matches(e))
	is.True(!Query{DataCentre: "padana-b"}.Matches(e))
	is.True(!Query{To: at}.Matches(e))
	is.True(!Query{From: at.Add(time.Microsecond)}.Matches(e))
}

// TestMergePutsCausesFirst checks that an event follows its cause even if its
// daemon's clock is behind.
func TestMergePutsCausesFirst(t *testing.T) {
	is := is.New(t)
	cause := Event{VM: "b", Seq: 1, Stamp: Stamp{Micros: 20}, Ref: "version 3"}
	effect := Event{VM: "a", Seq: 1, Stamp: Stamp{Micros: 10}, Cause: "version 3"}
	early := Event{VM: "c", Seq: 1, Stamp: Stamp{Micros: 5}}
	merged := Merge([]Event{effect}, []Event{cause}, []Event{early, early})
	is.Equal(merged, []Event{early, cause, effect})
	x := Event{VM: "a", Seq: 1, Ref: "x", Cause: "y"}
	y := Event{VM: "a", Seq: 2, Ref: "y", Cause: "x"}
	is.Equal(len(Merge([]Event{x, y})), 2) // merging ends despite a cycle of causes
}

// TestRecorderCountsRefusals checks that many refusals of one kind become one
// event, and that a single refusal becomes none.
func TestRecorderCountsRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		r := NewRecorder("vm-1", "padana-a", func() { t.Error("dropped") }, func() Observation { return Observation{} })
		done := make(chan error, 1)
		go func() { done <- r.Serve(ctx) }()
		r.Record(Event{Kind: Started})
		r.Refused(Refusal{Code: result.NoTarget})
		for range 50 {
			r.Refused(Refusal{Code: result.RateExceeded, Workspace: "lab"})
		}
		time.Sleep(refusalsPeriod + time.Millisecond)
		events, err := r.Events(ctx, Query{})
		is.NoErr(err)
		is.Equal(len(events), 2)
		is.Equal(events[0].VM, core.VM("vm-1"))
		is.Equal(events[0].DataCentre, core.DataCentre("padana-a"))
		is.Equal(events[1].Kind, RefusedInBulk)
		is.Equal(events[1].Count, uint64(50))
		is.True(r.Stamp().Compare(events[1].Stamp) > 0)
		cancel()
		<-done
	})
}

// TestRecordNeverBlocks checks that Record does not wait for a recorder that does
// not run: events that exceed the mailbox are dropped and counted.
func TestRecordNeverBlocks(t *testing.T) {
	is := is.New(t)
	dropped := 0
	r := NewRecorder("vm-1", "padana-a", func() { dropped++ }, nil)
	for range mailboxSize + 7 {
		r.Record(Event{Kind: Started})
	}
	is.Equal(dropped, 7)
}

// TestShardSetsAreExact checks that a set contains exactly its shards, whatever
// their pattern, or more only if it is marked as a range with "~".
func TestShardSetsAreExact(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		in := map[core.Shard]bool{}
		var shards []core.Shard
		density, step := rng.IntN(100), 1+rng.IntN(4)
		for s := core.Shard(0); s < 200; s += core.Shard(step) {
			if rng.IntN(100) < density {
				in[s] = true
				shards = append(shards, s)
			}
		}
		set := shardSetAround(shards)
		for s := range core.Shard(210) {
			contains := set.Contains(s)
			is.True(contains || !in[s])
			is.True(contains == in[s] || strings.HasSuffix(string(set), "~"))
		}
	}
	is.Equal(NewShardSet(1, 4, 7, 10, 11, 12, 20), ShardSet("1-10/3,11-12,20"))
}
