package timeline

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxShardRuns bounds the length of a ShardSet.
const maxShardRuns = 64

// ShardSet is a set of shards as text: runs with commas between, each one
// number, "first-last" or "first-last/step". A set of more than maxShardRuns
// runs is stored as the range around it, with "~" behind it. The empty set says
// that an event concerns no shard.
type ShardSet string

// NewShardSet returns the set of these shards, which ascend.
func NewShardSet(shards ...core.Shard) ShardSet {
	var runs []string
	for len(shards) > 0 {
		n := runLength(shards)
		runs = append(runs, runText(shards[:n]))
		if len(runs) > maxShardRuns {
			return ""
		}
		shards = shards[n:]
	}
	return ShardSet(strings.Join(runs, ","))
}

// runLength counts the leading shards of one step. Two shards that are not
// neighbours make no run.
func runLength(shards []core.Shard) int {
	if len(shards) < 2 {
		return len(shards)
	}
	step, n := shards[1]-shards[0], 2
	for n < len(shards) && shards[n]-shards[n-1] == step {
		n++
	}
	if n == 2 && step != 1 {
		return 1
	}
	return n
}

func runText(run []core.Shard) string {
	if len(run) == 1 {
		return fmt.Sprint(run[0])
	}
	text := fmt.Sprintf("%d-%d", run[0], run[len(run)-1])
	if step := run[1] - run[0]; step != 1 {
		text += fmt.Sprintf("/%d", step)
	}
	return text
}

// shardSetAround is NewShardSet, or the range around shards if they make too
// many runs.
func shardSetAround(shards []core.Shard) ShardSet {
	if s := NewShardSet(shards...); s != "" || len(shards) == 0 {
		return s
	}
	return ShardSet(fmt.Sprintf("%d-%d~", slices.Min(shards), slices.Max(shards)))
}

// Contains reports whether s lies in the set, or may lie in it if the set is
// only the range around it.
func (p ShardSet) Contains(s core.Shard) bool {
	for run := range strings.SplitSeq(string(p), ",") {
		if runContains(strings.TrimSuffix(run, "~"), s) {
			return true
		}
	}
	return false
}

func runContains(run string, s core.Shard) bool {
	ends, stepText, stepped := strings.Cut(run, "/")
	firstText, lastText, ranged := strings.Cut(ends, "-")
	first, ok := parseShard(firstText)
	last, step := first, core.Shard(1)
	if ranged && ok {
		last, ok = parseShard(lastText)
	}
	if stepped && ok {
		step, ok = parseShard(stepText)
	}
	return ok && first <= s && s <= last && step > 0 && (s-first)%step == 0
}

func parseShard(text string) (core.Shard, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	return core.Shard(n), err == nil
}
