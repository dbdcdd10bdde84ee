package registry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

type registerInput struct {
	write    bool
	expected core.Version // 0: any
	rate     float64
}

type registerOutput struct {
	code    result.Code
	version core.Version
	rate    float64
}

type register struct {
	version core.Version
	rate    float64
}

// registerModel models the configuration as one register with compare-and-set. A
// write of unknown outcome may take effect at any later time or never.
var registerModel = porcupine.Model{
	Init: func() any { return register{version: 1} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(register), input.(registerInput), output.(registerOutput)
		if !in.write {
			return out.version == s.version && out.rate == s.rate, s
		}
		conflict := in.expected != 0 && in.expected != s.version
		next := register{s.version + 1, in.rate}
		switch {
		case out.code == result.CommitUnknown && conflict:
			return true, s
		case out.code == result.CommitUnknown:
			return true, next
		case out.code == result.VersionConflict:
			return conflict, s
		default:
			return !conflict && out.version == next.version, next
		}
	},
}

// TestHistoriesAreLinearizable checks that an accepted configuration never reverts
// and that a change reported as "not run" has no effect: clients read and write at
// all voters while voters are partitioned and restarted and answers are lost.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	n := newNetwork()
	for _, m := range members(3) {
		n.start(t, m.VM, members(3))
	}
	if _, err := n.leader().task.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	const clients = 5
	histories := make(chan []porcupine.Operation, clients)
	for c := range clients {
		go func() { histories <- runClient(t, n, c, rand.New(rand.NewPCG(seed, uint64(c)))) }()
	}
	var all []porcupine.Operation
	random := rand.New(rand.NewPCG(seed, 99))
	for done := 0; done < clients; {
		select {
		case h := <-histories:
			done++
			all = append(all, h...)
		case <-time.After(time.Duration(500+random.IntN(3000)) * time.Millisecond):
			n.fault(t, random)
		}
	}
	n.withLock(func() { clear(n.partitioned) })
	n.stopAll()
	codes := map[result.Code]int{}
	for _, op := range all {
		codes[op.Output.(registerOutput).code]++
	}
	t.Log(codes)
	if codes[result.OK] < 100 {
		t.Errorf("only %v", codes)
	}
	if !porcupine.CheckOperations(registerModel, all) {
		t.Error("the history is not linearizable")
	}
}

// fault partitions one voter, heals the network, restarts a voter or toggles the
// loss of answers.
func (n *network) fault(t *testing.T, random *rand.Rand) {
	v := n.voters[core.VM(fmt.Sprint("v", 1+random.IntN(3)))]
	switch random.IntN(5) {
	case 0, 1:
		n.withLock(func() { n.partitioned = map[core.VM]bool{v.vm: true} })
	case 2:
		n.withLock(func() { clear(n.partitioned) })
	case 3:
		v.crash()
		n.start(t, v.vm, nil)
	case 4:
		n.withLock(func() { n.dropAnswers = !n.dropAnswers })
	}
}

func runClient(t *testing.T, n *network, client int, random *rand.Rand) []porcupine.Operation {
	var history []porcupine.Operation
	seen := core.Version(1)
	for i := range 60 {
		n.mu.Lock()
		task := n.voters[core.VM(fmt.Sprint("v", 1+random.IntN(3)))].task
		n.mu.Unlock()
		in := registerInput{write: random.IntN(3) > 0, rate: float64(client*1000 + i + 1)}
		if random.IntN(2) == 0 {
			in.expected = seen
		}
		op := porcupine.Operation{ClientId: client, Input: in, Call: time.Now().UnixNano()}
		out := registerOutput{}
		if in.write {
			s, err := task.Propose(t.Context(), put(fmt.Sprint(client, "-", i), in.expected, in.rate))
			out.code = result.CodeOf(err)
			if err == nil {
				out.version = s.AnswerVersion(fmt.Sprint(client, "-", i))
			} else if result.From(err).Ran != result.NotRun {
				out.code = result.CommitUnknown
			}
		} else if s, err := task.Read(t.Context()); err == nil {
			out.version, out.rate = s.Version, s.Workspaces["lab"].Rate
		} else {
			out.code = result.CodeOf(err)
		}
		seen = max(seen, out.version)
		op.Output, op.Return = out, time.Now().UnixNano()
		switch out.code {
		case result.CommitUnknown: // porcupine: an operation that never returned, of a client without further ones
			op.Return, op.ClientId = math.MaxInt64, 1000+len(history)*100+client
		case result.OK, result.VersionConflict:
		default:
			time.Sleep(time.Second)
			continue // not run: left out of the history, since it must have no effect
		}
		history = append(history, op)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return history
}
