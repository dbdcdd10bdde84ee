package timeline

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxShardRuns bounds the length of a ShardSet's text.
const maxShardRuns = 64

// ShardSet is a set of shards as text: runs separated by commas, each of the form
// "shard", "first-last" or "first-last/step". A set of more than maxShardRuns runs
// is stored as the smallest range that contains it, followed by "~". The empty
// text means that an event concerns no shard.
type ShardSet string

// NewShardSet returns the set of the given shards, which must be in ascending
// order. It returns the empty set if they make more than maxShardRuns runs.
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

// runLength returns the number of leading shards that are the same step apart. Two
// shards alone make a run only if they are adjacent, as two numbers are shorter
// than a run with a step.
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

// runText formats shards that are the same step apart.
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

// shardSetAround returns the set of the given shards in ascending order, or the
// range that contains them if they make more than maxShardRuns runs.
func shardSetAround(shards []core.Shard) ShardSet {
	if s := NewShardSet(shards...); s != "" || len(shards) == 0 {
		return s
	}
	return ShardSet(fmt.Sprintf("%d-%d~", slices.Min(shards), slices.Max(shards)))
}

// Contains reports whether s is in the set. If the set is stored only as a range,
// it also reports true for shards of the range that were not in the set.
func (p ShardSet) Contains(shard core.Shard) bool {
	for run := range strings.SplitSeq(string(p), ",") {
		if runContains(strings.TrimSuffix(run, "~"), shard) {
			return true
		}
	}
	return false
}

func runContains(run string, shard core.Shard) bool {
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
	return ok && first <= shard && shard <= last && step > 0 && (shard-first)%step == 0
}

func parseShard(text string) (core.Shard, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	return core.Shard(n), err == nil
}
