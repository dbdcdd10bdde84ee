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
	longPollHold       = time.Second // how long a source may hold a request
	minHold            = 50 * time.Millisecond
	answerTimeout      = 600 * time.Millisecond
	initialTimeout     = 3 * time.Second        // before the first confirmed state: the source may have to encode a snapshot
	transferTimeout    = 30 * time.Second       // for one whole poll; an answer that stalls ends it much earlier
	failurePause       = 200 * time.Millisecond // after all sources were polled in vain
	nextSourcePause    = 20 * time.Millisecond  // before a poll of the next source
	replicaCheckPeriod = time.Second            // between checks whether the local replica is up to date
)

// Client sends requests to other daemons.
type Client interface {
	// Watch ends with an error if the answer doesn't begin within q.Hold plus
	// q.AnswerTimeout, or stalls.
	Watch(ctx context.Context, address string, q Request) (Answer, error)
	// ProposeAt proposes an encoded command through the registry voter at address.
	ProposeAt(ctx context.Context, address string, command []byte) (core.Version, error)
}

// Poller is the task that polls other daemons, one at a time, for newer versions
// of the configuration.
type Poller struct {
	Self         core.VM
	Cell         core.Cell
	Voters       func() []string // inner addresses of the registry's members
	InitialState *config.State   // the cells in the settings, used until a state has been received; may be nil
	Coordinator  func() core.VM  // of the cell, empty if unknown
	HasReplica   bool            // this daemon has a registry replica; others are polled only while it lags
	MaxAge       time.Duration   // of the proof in a source's answers; 0: maxProofAge, for a tree of daemons
	Task         *Task
	Client       Client
	Record       func(PollResult) // called after each poll that failed or brought a newer version; must not block; may be nil
}

// PollResult describes one poll of a source, for logs and metrics.
type PollResult struct {
	Source   string
	From     core.Version  // version that this daemon had
	Version  core.Version  // version that it has now
	Commands int           // in the answer
	Snapshot bool          // the answer was a snapshot
	Bytes    int           // of the commands or the snapshot in the answer
	Held     time.Duration // how long the source held the request
	Took     time.Duration // from the request to the end of its processing, Held included
	// Behind is an upper bound of the time for which a version newer than From may have
	// been accepted: the age of the proof that From was the newest. It is negative if
	// there was no such proof.
	Behind time.Duration
	Err    error
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	r := pollRun{Poller: p, state: p.Task.Current()}
	for ctx.Err() == nil {
		_ = sleep(ctx, r.poll(ctx)) // the loop condition checks ctx
	}
	return ctx.Err()
}

// pollRun is the state of one run of a Poller.
type pollRun struct {
	*Poller
	state       *config.State // newest received, confirmed or not
	selector    sourceSelector
	respondents respondents
	confirmed   bool
	// provedAt is when the newest state was proved by the source at provedBy, which gave
	// the newest answer; provedBy is empty if that answer had no recent proof.
	provedAt time.Time
	provedBy string
}

// poll polls one source and returns the pause before the next poll.
func (r *pollRun) poll(ctx context.Context) time.Duration {
	if r.HasReplica && clock.Since(r.Task.ConfirmedAt()) < r.maxAge() {
		return replicaCheckPeriod
	}
	if current := r.Task.Current(); current.Version > r.state.Version {
		r.state = current
	}
	known := r.state
	if known.Version == 0 && r.InitialState != nil {
		known = r.InitialState
	}
	sources := sourcesOf(known, r.Self, r.Cell, r.Coordinator(), r.Voters())
	now := clock.Now()
	source, ok := r.selector.current(sources, now)
	if !ok {
		return failurePause
	}
	request := Request{Version: r.state.Version, Hold: r.hold(source), AnswerTimeout: answerTimeout}
	if !r.confirmed {
		request.AnswerTimeout = initialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	provedBefore := r.Task.ConfirmedAt()
	a, err := r.Client.Watch(ctx, source.Address, request)
	if err == nil {
		err = r.mergeAnswer(source, a, now)
	}
	r.record(PollResult{
		Source: source.Address, From: request.Version, Version: r.state.Version, Commands: len(a.Commands), Snapshot: len(a.Snapshot) > 0,
		Bytes: a.size(), Held: a.Held, Took: clock.Since(now), Behind: ageOf(provedBefore), Err: err,
	})
	fresh := err == nil && r.isFresh(a, provedAt(a, now))
	if r.confirmed && fresh {
		r.provedAt, r.provedBy = provedAt(a, now), source.Address
		return 0
	}
	r.provedBy = ""
	r.selector.advance(clock.Now())
	if r.selector.index%len(sources) == 0 && (err != nil || a.Version == 0 || r.confirmed) {
		return failurePause // all sources have been polled
	}
	return nextSourcePause
}

// hold returns for how long the source may hold the next request: not at all until it
// has proved its state, and then no longer than that proof is recent. A source that is
// partitioned from the leader is thus left when its proof becomes too old, and one that
// doesn't answer costs no more than the time for an answer.
func (r *pollRun) hold(source Source) time.Duration {
	if source.Address != r.provedBy {
		return 0
	}
	return min(max(r.maxAge()-clock.Since(r.provedAt), minHold), longPollHold)
}

// ageOf returns the age of a proof, or -1 if there is none.
func ageOf(provedAt time.Time) time.Duration {
	if provedAt.IsZero() {
		return -1
	}
	return clock.Since(provedAt)
}

// record passes on the result of a poll that failed or brought a newer version.
func (p *Poller) record(result PollResult) {
	if p.Record != nil && (result.Err != nil || result.Version > result.From) {
		p.Record(result)
	}
}

// isFresh reports whether an answer has a proof that is recent enough.
func (p *Poller) isFresh(a Answer, provedAt time.Time) bool {
	return a.Proved && clock.Since(provedAt) < p.maxAge()
}

func (p *Poller) maxAge() time.Duration {
	if p.MaxAge > 0 {
		return p.MaxAge
	}
	return maxProofAge
}

// provedAt returns a lower bound, on this daemon's clock, of the time at which
// the version in an answer was proved to be the newest. The age was measured
// when the answer was sent, at least a.Held after the request at requestedAt.
func provedAt(a Answer, requestedAt time.Time) time.Time {
	return requestedAt.Add(a.Held - a.Age)
}

// mergeAnswer merges an answer into the newest received state and offers the
// result to the task.
func (r *pollRun) mergeAnswer(source Source, a Answer, requestedAt time.Time) error {
	if a.Version == 0 {
		return nil // the source has no confirmed state
	}
	next, err := Merge(r.state, a, r.Task.codec)
	if err != nil {
		r.state = config.NewState() // makes the next answer a snapshot
		return err
	}
	r.state = next
	u := Update{State: next, Commands: a.Commands}
	if a.Proved && a.Version >= next.Version {
		u.ConfirmedAt = provedAt(a, requestedAt)
	}
	if source.Member != "" {
		r.respondents.add(source.Member)
	}
	if !r.confirmed && (r.isFresh(a, provedAt(a, requestedAt)) || r.respondents.majority(next.Cells[r.Cell].Members)) {
		r.confirmed = true
		r.selector = sourceSelector{since: requestedAt}
	}
	u.Confirmed = r.confirmed
	r.Task.Offer(u)
	return nil
}

// Proposer proposes changes to the registry from a daemon without a replica of it.
type Proposer struct {
	Task   *Task
	Voters func() []string // inner addresses
	Client Client
	Retry  func(ctx context.Context, attempt func() error) error
}

const proposeTimeout = 8 * time.Second

// Propose proposes a change. Once the change is in force at this daemon, it
// returns the state in force.
func (p *Proposer) Propose(ctx context.Context, c config.Command) (*config.State, error) {
	if c.RequestID == "" {
		c.RequestID = rand.Text()
	}
	data, err := p.Task.codec.EncodeCommand(c)
	if err != nil {
		return nil, result.Wrap(result.InvalidChange, err, "encode the change")
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	voters, attempts := p.Voters(), 0
	if len(voters) == 0 {
		return nil, result.New(result.NoLeader, "no registry voter is known")
	}
	var version core.Version
	err = p.Retry(ctx, func() (err error) {
		version, err = p.Client.ProposeAt(ctx, voters[attempts%len(voters)], data)
		attempts++
		return err
	})
	if err != nil {
		return nil, err
	}
	return p.Task.WaitForVersion(ctx, version)
}

// Current returns the state in force at this daemon.
func (p *Proposer) Current() *config.State { return p.Task.Current() }
