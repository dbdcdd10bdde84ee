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
	// attemptTimeout bounds one attempt: a member that stops may take a question
	// and never answer it. The request id makes another attempt safe.
	attemptTimeout = time.Second
	memberTimeout  = 60 * time.Second // a learner copies the log
	retryPause     = 50 * time.Millisecond
)

// Propose asks for a change and returns the state in force after it. It asks
// the leader, wherever it is, and repeats until an answer is certain: the
// request id makes that safe. An error of class "not run" is proved.
func (t *Task) Propose(ctx context.Context, c config.Command) (*config.State, error) {
	version, err := t.ProposeVersion(ctx, c)
	if err != nil {
		return nil, err
	}
	return t.reached(ctx, version)
}

// ProposeVersion is Propose without waiting for this replica to follow. It
// returns the version that the change led to.
func (t *Task) ProposeVersion(ctx context.Context, c config.Command) (core.Version, error) {
	if c.RequestID == "" {
		c.RequestID = rand.Text()
	}
	data, err := t.options.Codec.EncodeCommand(c)
	if err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "change")
	}
	return t.ProposeEncoded(ctx, data)
}

// ProposeEncoded is Propose for a command in its stored form. It returns the
// version that the change led to.
func (t *Task) ProposeEncoded(ctx context.Context, command []byte) (core.Version, error) {
	if _, err := t.options.Codec.DecodeCommand(command); err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "change") // the log must stay readable
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var version core.Version
	err := Retry(ctx, func() (err error) {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		defer cancel()
		version, err = t.proposeOnce(attempt, command)
		return err
	})
	return version, err
}

// ProposeOnce asks this replica alone, once, and returns the state in force
// after the change. It is for a decision of the leader that the next leader
// must not find in its log later than at its election: a repeat through another
// replica could be accepted after the decision's reasons ended.
func (t *Task) ProposeOnce(ctx context.Context, c config.Command) (*config.State, error) {
	data, err := t.options.Codec.EncodeCommand(c) // without a request id: it is never sent again
	if err != nil {
		return nil, result.Wrap(result.InvalidChange, err, "change")
	}
	version, err := t.ProposeHere(ctx, data)
	if err != nil {
		return nil, err
	}
	return t.reached(ctx, version)
}

func (t *Task) proposeOnce(ctx context.Context, command []byte) (core.Version, error) {
	a := t.askLeader(ctx, func(r task.Reply[answer]) message { return proposal{command, r} })
	if a.leader.VM != "" {
		return t.options.Transport.Propose(ctx, a.leader, command)
	}
	return a.version, a.err
}

// ProposeHere is one attempt on this replica: it fails where another leads.
func (t *Task) ProposeHere(ctx context.Context, command []byte) (core.Version, error) {
	if _, err := t.options.Codec.DecodeCommand(command); err != nil {
		return 0, result.Wrap(result.InvalidChange, err, "change")
	}
	a := t.askLeader(ctx, func(r task.Reply[answer]) message { return proposal{command, r} })
	return a.version, a.err
}

// askLeader puts a question to the replica. When the context ends first, the
// outcome is unknown.
func (t *Task) askLeader(ctx context.Context, build func(task.Reply[answer]) message) answer {
	a, err := task.Ask(ctx, t.mailbox, build)
	if err == nil {
		return a
	}
	if result.CodeOf(err) == result.Overloaded {
		return answer{err: err}
	}
	return answer{err: result.Wrap(result.CommitUnknown, err, "no answer from the registry in time")}
}

// Retry repeats an attempt at an idempotent change until its outcome is certain
// or ctx ends. Once an attempt may have run, only a success or a conflict of
// versions is certain.
func Retry(ctx context.Context, attempt func() error) error {
	unknown := false
	for {
		err := attempt()
		e := result.From(err)
		switch {
		case err == nil:
			return nil
		case e.Ran != result.NotRun:
			unknown = true
		case !isTemporary(e.Code):
			if unknown && e.Code != result.VersionConflict {
				return result.Wrap(result.CommitUnknown, err, "an earlier attempt may have run")
			}
			return err
		}
		if !pause(ctx) {
			if unknown {
				return result.Wrap(result.CommitUnknown, err, "the registry did not say in time what became of the change")
			}
			return err
		}
	}
}

func isTemporary(c result.Code) bool {
	return c == result.NoLeader || c == result.Overloaded || c == result.Starting || c == result.Stopping
}

// pause waits before another attempt; false: ctx ended.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reached waits until this replica has a version, which the registry holds.
func (t *Task) reached(ctx context.Context, version core.Version) (*config.State, error) {
	if t.Current().Version >= version {
		return t.Current(), nil
	}
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[answer]) message { return reachQuestion{version, r} })
	if err = cmp.Or(err, a.err); err != nil {
		return nil, result.Wrap(result.CommitUnknown, err, "version %d is accepted but has not reached this VM", version)
	}
	return t.Current(), nil
}

// Read returns a state at least as new as every change that was answered
// before the call.
func (t *Task) Read(ctx context.Context) (*config.State, error) {
	a := t.askLeader(ctx, func(r task.Reply[answer]) message { return readQuestion{r} })
	if a.err != nil {
		return nil, result.Wrap(result.NoLeader, a.err, "read")
	}
	return t.reached(ctx, a.version)
}

// AddVoter makes a VM a voter: first a learner, and once it has caught up one
// that counts. A resend goes on where the first call stopped.
func (t *Task) AddVoter(ctx context.Context, vm core.VM, address string) error {
	return t.changeMember(ctx, raft.Member{VM: vm, Address: address}, true)
}

// RemoveVoter ends a VM's membership.
func (t *Task) RemoveVoter(ctx context.Context, vm core.VM) error {
	return t.changeMember(ctx, raft.Member{VM: vm}, false)
}

func (t *Task) changeMember(ctx context.Context, m raft.Member, voter bool) error {
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	for begun := false; ; {
		status, err := t.Status(ctx)
		if err != nil {
			return err
		}
		change := nextStep(status.Members, m, voter)
		if change.Step == StepNone {
			return nil
		}
		err = t.changeOnce(ctx, change)
		if err != nil && !isRepeatable(err) && !begun {
			return err
		}
		begun = begun || err == nil // from here on this replica's view may lag behind the leader's
		if !pause(ctx) {
			return result.Wrap(result.CommitUnknown, context.Cause(ctx), "change of the registry's member %s", m.VM)
		}
	}
}

// isRepeatable reports whether the next look at the members decides.
func isRepeatable(err error) bool {
	e := result.From(err)
	return e.Ran != result.NotRun || isTemporary(e.Code)
}

func (t *Task) changeOnce(ctx context.Context, change MemberChange) error {
	a := t.askLeader(ctx, func(r task.Reply[answer]) message { return memberProposal{change, r} })
	if a.leader.VM != "" {
		return t.options.Transport.ChangeMember(ctx, a.leader, change)
	}
	return a.err
}

// ChangeMemberHere is one attempt on this replica.
func (t *Task) ChangeMemberHere(ctx context.Context, change MemberChange) error {
	return t.askLeader(ctx, func(r task.Reply[answer]) message { return memberProposal{change, r} }).err
}
