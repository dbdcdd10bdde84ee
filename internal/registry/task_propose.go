package registry

import (
	"cmp"
	"context"
	"crypto/rand"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	proposeTimeout = 8 * time.Second
	// attemptTimeout limits one attempt with a small command: a member that stops may
	// accept a request and never reply. The request id makes a retry safe.
	attemptTimeout = time.Second
	// attemptBytesPerSecond is the size of the command for which an attempt gets a second
	// more: the leader decodes it twice, and a retry would add it to the log once more.
	attemptBytesPerSecond = 32 << 10
	memberChangeTimeout   = 60 * time.Second // includes the time in which a learner copies the log
	retryInterval         = 50 * time.Millisecond
)

// Propose proposes a change and returns the state after it. It forwards the
// change to the leader if another member is the leader, and retries until the
// outcome is certain, which the request id makes safe. An error of class "not
// run" guarantees that the change was not made and will not be.
func (t *Task) Propose(ctx context.Context, c config.Command) (*config.State, error) {
	version, err := t.ProposeVersion(ctx, c)
	if err != nil {
		return nil, err
	}
	return t.waitForVersion(ctx, version)
}

// ProposeVersion is like Propose but doesn't wait until this replica has applied
// the change. It returns the version that the change led to.
func (t *Task) ProposeVersion(ctx context.Context, c config.Command) (core.Version, error) {
	if c.RequestID == "" {
		c.RequestID = rand.Text()
	}
	data, err := t.options.Codec.EncodeCommand(c)
	if err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "encode the change")
	}
	return t.proposeWithRetries(ctx, data)
}

// ProposeEncoded is like ProposeVersion for a command that another VM has encoded.
func (t *Task) ProposeEncoded(ctx context.Context, command []byte) (core.Version, error) {
	if _, err := t.options.Codec.DecodeCommand(command); err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "decode the change") // an entry that replicas can't decode must not get into the log
	}
	return t.proposeWithRetries(ctx, command)
}

func (t *Task) proposeWithRetries(ctx context.Context, command []byte) (core.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var version core.Version
	err := Retry(ctx, func() (err error) {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout+time.Duration(len(command)/attemptBytesPerSecond)*time.Second)
		defer cancel()
		version, err = t.proposeAttempt(attemptCtx, command)
		return err
	})
	return version, err
}

// ProposeOnce makes a single attempt on this replica and returns the state after
// the change. It is for decisions that the leader makes and that must not enter
// the log after the next leader's election: a retry through another replica could
// be accepted when the reasons for the decision no longer hold.
func (t *Task) ProposeOnce(ctx context.Context, c config.Command) (*config.State, error) {
	data, err := t.options.Codec.EncodeCommand(c) // no request id, since it is never retried
	if err != nil {
		return nil, result.Wrap(result.InvalidChange, err, "encode the change")
	}
	version, err := t.ProposeLocal(ctx, data)
	if err != nil {
		return nil, err
	}
	return t.waitForVersion(ctx, version)
}

// proposeAttempt makes one attempt on this replica or, if another member is the
// leader, on that member.
func (t *Task) proposeAttempt(ctx context.Context, command []byte) (core.Version, error) {
	a := t.askReplica(ctx, func(r task.Reply[answer]) message { return proposal{command, r} })
	if a.leader.VM != "" {
		version, err := t.options.Transport.Propose(ctx, a.leader, command)
		return version, forwardedError(err)
	}
	return a.version, a.err
}

// ProposeLocal makes one attempt on this replica. It fails if another member is
// the leader.
func (t *Task) ProposeLocal(ctx context.Context, command []byte) (core.Version, error) {
	if _, err := t.options.Codec.DecodeCommand(command); err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "decode the change")
	}
	a := t.askReplica(ctx, func(r task.Reply[answer]) message { return proposal{command, r} })
	return a.version, a.err
}

// askReplica sends a request to this replica and waits for the answer. If ctx
// ends first, the outcome is unknown.
func (t *Task) askReplica(ctx context.Context, build func(task.Reply[answer]) message) answer {
	a, err := task.Ask(ctx, t.mailbox, build)
	if err == nil {
		return a
	}
	if result.CodeOf(err) == result.Overloaded {
		return answer{err: err}
	}
	return answer{err: result.Wrap(result.CommitUnknown, err, "the registry replica did not answer in time")}
}

// Retry retries an idempotent change until its outcome is certain or ctx ends.
// Once an attempt may have run, only a success or a version conflict makes the
// outcome certain.
func Retry(ctx context.Context, attempt func() error) error {
	mayHaveRun := false
	for {
		err := attempt()
		e := result.From(err)
		switch {
		case err == nil:
			return nil
		case e.Ran != result.NotRun:
			mayHaveRun = true
		case !isTemporary(e.Code):
			if mayHaveRun && e.Code != result.VersionConflict {
				return result.Wrap(result.CommitUnknown, err, "an earlier attempt may have run")
			}
			return err
		}
		if !waitBeforeRetry(ctx) {
			if mayHaveRun {
				return result.Wrap(result.CommitUnknown, err, "the outcome of the change is still unknown at the deadline")
			}
			return err
		}
	}
}

// forwardedError returns the error of an attempt at the leader. A leader without
// storage is replaced soon, so the attempt is worth a retry, other than one on a
// replica of this VM without storage.
func forwardedError(err error) error {
	if e := result.From(err); err != nil && e.Code == result.StorageFailed && e.Ran == result.NotRun {
		return result.Wrap(result.NoLeader, err, "the leader has no storage")
	}
	return err
}

func isTemporary(c result.Code) bool {
	return c == result.NoLeader || c == result.Overloaded || c == result.Starting || c == result.Stopping
}

// waitBeforeRetry waits before another attempt and reports false if ctx ended.
func waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// waitForVersion waits until this replica has published a version that the
// registry has accepted.
func (t *Task) waitForVersion(ctx context.Context, version core.Version) (*config.State, error) {
	if t.Current().Version >= version {
		return t.Current(), nil
	}
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[answer]) message { return versionWaitRequest{version, r} })
	if err = cmp.Or(err, a.err); err != nil {
		return nil, result.Wrap(result.CommitUnknown, err, "version %d is accepted but has not reached this VM", version)
	}
	return t.Current(), nil
}

// Read returns a state that includes every change that was acknowledged before
// the call.
func (t *Task) Read(ctx context.Context) (*config.State, error) {
	a := t.askReplica(ctx, func(r task.Reply[answer]) message { return readRequest{r} })
	if a.err != nil {
		return nil, result.Wrap(result.NoLeader, a.err, "read")
	}
	return t.waitForVersion(ctx, a.version)
}

// AddVoter makes a VM a voter. It adds the VM as a learner and promotes it once it
// has caught up with the log. A repeated call continues where an earlier one
// stopped.
func (t *Task) AddVoter(ctx context.Context, vm core.VM, address string) error {
	return t.changeMember(ctx, raft.Member{VM: vm, Address: address}, true)
}

// RemoveVoter removes a VM, voter or learner, from the registry's members.
func (t *Task) RemoveVoter(ctx context.Context, vm core.VM) error {
	return t.changeMember(ctx, raft.Member{VM: vm}, false)
}

func (t *Task) changeMember(ctx context.Context, m raft.Member, voter bool) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	for started := false; ; {
		status, err := t.Status(ctx)
		if err != nil {
			return err
		}
		change := nextStep(status.Members, m, voter)
		if change.Step == StepNone {
			return nil
		}
		err = t.changeAttempt(ctx, change)
		if err != nil && !isRetryable(err) && !started {
			return err
		}
		started = started || err == nil // from now on this replica's view of the members may lag behind the leader's
		if !waitBeforeRetry(ctx) {
			return result.Wrap(result.CommitUnknown, context.Cause(ctx), "change of the registry's member %s", m.VM)
		}
	}
}

// isRetryable reports whether a failed membership change may be tried again after
// reading the members anew.
func isRetryable(err error) bool {
	e := result.From(err)
	return e.Ran != result.NotRun || isTemporary(e.Code)
}

func (t *Task) changeAttempt(ctx context.Context, change MemberChange) error {
	a := t.askReplica(ctx, func(r task.Reply[answer]) message { return memberProposal{change, r} })
	if a.leader.VM != "" {
		return forwardedError(t.options.Transport.ChangeMember(ctx, a.leader, change))
	}
	return a.err
}

// ChangeMemberLocal makes one attempt on this replica. It fails if another member
// is the leader.
func (t *Task) ChangeMemberLocal(ctx context.Context, change MemberChange) error {
	return t.askReplica(ctx, func(r task.Reply[answer]) message { return memberProposal{change, r} }).err
}
