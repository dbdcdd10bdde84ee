package configsync

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	holdTime     = time.Second
	pollTimeout  = 2 * time.Second
	firstTimeout = 3 * time.Second // while nothing is confirmed: a whole state over a slow link
	failurePause = 200 * time.Millisecond
	rereadPause  = 20 * time.Millisecond
	votesPause   = time.Second // between looks whether the own replica is up to date
)

// Client asks other daemons.
type Client interface {
	Watch(ctx context.Context, address string, q Question) (Answer, error)
	// ProposeAt asks the registry through the voter at address.
	ProposeAt(ctx context.Context, address string, command []byte) (core.Version, error)
}

// Poller is the task that asks other daemons for what is newer, one at a time.
type Poller struct {
	Self        core.VM
	Cell        core.Cell
	Voters      func() []string // inner addresses of the registry's members
	First       *config.State   // cells known from the settings; may be nil
	Coordinator func() core.VM  // of the cell, empty if unknown
	Votes       bool            // the daemon holds a replica of the registry, which comes first
	MaxAge      time.Duration   // of the proof behind a source's answers; zero: maxAge, for a tree of daemons
	Task        *Task
	Client      Client
}

// Serve asks until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	r := pollRun{Poller: p, state: p.Task.Current()}
	for ctx.Err() == nil {
		_ = sleep(ctx, r.poll(ctx)) // the loop looks at ctx
	}
	return ctx.Err()
}

// pollRun is the state of one run of a Poller.
type pollRun struct {
	*Poller
	state     *config.State // newest seen, confirmed or not
	choice    choice
	votes     votes
	confirmed bool
}

// poll asks one source and returns how long to wait before the next.
func (r *pollRun) poll(ctx context.Context) time.Duration {
	if r.Votes && clock.Since(r.Task.ConfirmedAt()) < r.maxAge() {
		return votesPause
	}
	if current := r.Task.Current(); current.Version > r.state.Version {
		r.state = current
	}
	known := r.state
	if known.Version == 0 && r.First != nil {
		known = r.First
	}
	sources := sourcesOf(known, r.Self, r.Cell, r.Coordinator(), r.Voters())
	now := clock.Now()
	source, ok := r.choice.source(sources, now)
	if !ok {
		return failurePause
	}
	hold, timeout := holdTime, pollTimeout
	if !r.confirmed {
		hold, timeout = 0, firstTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a, err := r.Client.Watch(ctx, source.Address, Question{r.state.Version, hold})
	if err == nil {
		err = r.take(source, a, now)
	}
	if err != nil || !r.confirmed || !r.isFresh(a, provedAt(a, now)) {
		r.choice.next(clock.Now())
	}
	switch {
	case err != nil || a.Version == 0:
		return failurePause
	case !r.confirmed:
		return rereadPause
	default:
		return 0
	}
}

// isFresh reports whether the proof behind an answer is young enough.
func (p *Poller) isFresh(a Answer, provedAt time.Time) bool {
	return a.Proved && clock.Since(provedAt) < p.maxAge()
}

func (p *Poller) maxAge() time.Duration {
	if p.MaxAge > 0 {
		return p.MaxAge
	}
	return maxAge
}

// provedAt is a time, by this daemon's clock, at which the proof behind an
// answer already held: before asked by its age, but for the time that the other
// daemon held the answer back while the proof could be renewed.
func provedAt(a Answer, asked time.Time) time.Time {
	return asked.Add(a.Held - a.Age)
}

// take merges an answer and offers the outcome to the task.
func (r *pollRun) take(source Source, a Answer, asked time.Time) error {
	if a.Version == 0 {
		return nil // it has none that is confirmed
	}
	next, err := Merge(r.state, a, r.Task.codec)
	if err != nil {
		r.state = config.NewState() // the next answer is a whole state
		return err
	}
	r.state = next
	u := Update{State: next, Commands: a.Commands}
	if a.Proved && a.Version >= next.Version {
		u.ConfirmedAt = provedAt(a, asked)
	}
	if source.Member != "" {
		r.votes.add(source.Member)
	}
	if !r.confirmed && (r.isFresh(a, provedAt(a, asked)) || r.votes.majority(next.Cells[r.Cell].Members)) {
		r.confirmed = true
		r.choice = choice{since: asked}
	}
	u.Confirmed = r.confirmed
	r.Task.Offer(u)
	return nil
}

// Remote asks the registry for changes on a daemon that does not vote.
type Remote struct {
	Task   *Task
	Voters func() []string // inner addresses
	Client Client
	Retry  func(ctx context.Context, attempt func() error) error
}

const proposeTimeout = 8 * time.Second

// Propose asks for a change and returns the state in force after it, once it is
// in force at this daemon.
func (r *Remote) Propose(ctx context.Context, c config.Command) (*config.State, error) {
	if c.RequestID == "" {
		c.RequestID = rand.Text()
	}
	data, err := r.Task.codec.EncodeCommand(c)
	if err != nil {
		return nil, result.Wrap(result.InvalidChange, err, "change")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	voters, place := r.Voters(), 0
	if len(voters) == 0 {
		return nil, result.New(result.NoLeader, "no registry voter is known")
	}
	var version core.Version
	err = r.Retry(ctx, func() (err error) {
		version, err = r.Client.ProposeAt(ctx, voters[place%len(voters)], data)
		place++
		return err
	})
	if err != nil {
		return nil, err
	}
	return r.Task.Reached(ctx, version)
}

// Current returns the state in force at this daemon.
func (r *Remote) Current() *config.State { return r.Task.Current() }
