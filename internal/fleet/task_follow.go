package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	askTimeout  = 1200 * time.Millisecond // MaxHold and a slow network
	failurePace = 100 * time.Millisecond  // between questions that fail
)

// Client asks the control VM at an inner address.
type Client interface {
	Ask(ctx context.Context, address string, q Question) (News, error)
	Draw(ctx context.Context, address string, wants []quota.Want) ([]quota.Supply, error)
}

// FollowerOptions are the parts of a Follower.
type FollowerOptions struct {
	Self    core.VM
	Seeds   func() []string // inner addresses from the settings
	Client  Client
	Report  func() Report // asked before each question; must not wait
	Deliver func(ctx context.Context, n News)
	Record  func(event string, fields ...any)
}

// Follower is the task that keeps an entry VM's knowledge of the fleet young.
type Follower struct {
	FollowerOptions
	leading task.Snapshot[string] // inner address of the leader; empty: unknown
}

// NewFollower returns a task that is not running yet.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{o, task.NewSnapshot(new(string))}
}

// Draw asks the leader for tokens of workspaces.
func (f *Follower) Draw(ctx context.Context, wants []quota.Want) ([]quota.Supply, error) {
	address := *f.leading.Load()
	if address == "" {
		return nil, NotLeading{}
	}
	supplies, err := f.Client.Draw(ctx, address, wants)
	if err != nil {
		f.Record("draw of tokens failed", "address", address, "workspaces", len(wants), "why", err.Error())
	}
	return supplies, err
}

// AddressOf returns the inner address of a control VM. Its name is the address,
// and a suffix that tells apart VMs that had the same address one after the
// other.
func AddressOf(vm core.VM) string {
	address, _, _ := strings.Cut(string(vm), "#")
	return address
}

// follow is the state of one run of a Follower.
type follow struct {
	*Follower
	term, sequence uint64
	leader         string   // inner address; empty: unknown
	control        []string // inner addresses as the newest leader told them
	place          int
	lost           bool
}

// Serve asks until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	run := follow{Follower: f}
	for ctx.Err() == nil {
		if run.ask(ctx) {
			continue
		}
		pause := time.NewTimer(failurePace)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	return ctx.Err()
}

// ask puts one question and reports whether the next may follow at once.
func (f *follow) ask(ctx context.Context) bool {
	address := f.leader
	if address == "" {
		known := append(append([]string(nil), f.control...), f.Seeds()...)
		if len(known) == 0 {
			return false
		}
		f.place++
		address = known[f.place%len(known)]
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	q := Question{Report: f.Report(), Term: f.term, Sequence: f.sequence, Hold: MaxHold}
	news, err := f.Client.Ask(ctx, address, q)
	switch {
	case err != nil:
		f.lose(address, err.Error())
		return false
	case news.Leader != "":
		next := AddressOf(news.Leader)
		again := next == address // it leads, but not for certain yet
		f.leader = next
		return !again
	case news.Term == 0:
		f.lose(address, "no leader is known there")
		return false
	}
	if f.lost || f.term != news.Term {
		f.lost = false
		f.leading.Publish(&address)
		f.Record("leader answers", "address", address, "term", news.Term)
	}
	f.leader = address
	f.term, f.sequence = news.Term, news.Sequence
	f.control = f.control[:0]
	for _, vm := range news.Control {
		f.control = append(f.control, AddressOf(vm))
	}
	f.Deliver(ctx, news)
	return true
}

func (f *follow) lose(address, why string) {
	if !f.lost {
		f.lost = true
		f.leading.Publish(new(string))
		f.Record("leader lost", "address", address, "why", why)
	}
	f.leader = ""
}
