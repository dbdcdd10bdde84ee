package task

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/thejerf/suture/v4"
)

const (
	// stopTimeout is how long a supervisor waits for a task to return after the end
	// of its context.
	stopTimeout = 10 * time.Second
	// minRestartDelay and maxRestartDelay bound the delay before a task that keeps
	// failing runs again. A task whose resource is unavailable for a while, such as a
	// full disk, runs again at most maxRestartDelay after the resource is back.
	minRestartDelay = 50 * time.Millisecond
	maxRestartDelay = time.Second
	// stableRun is how long a task must run for its next failure to count as a first
	// one, after which it restarts at once.
	stableRun = 10 * time.Second
)

// Service is a supervised task. Its Serve method runs until ctx ends; if it
// returns earlier, that is a failure and the supervisor restarts the task.
type Service = suture.Service

// Supervisor restarts each of its tasks that fails, independently of the others.
type Supervisor struct{ suture *suture.Supervisor }

// NewSupervisor returns a supervisor that calls report with one line of text for
// each of its events, such as the failure of a task.
func NewSupervisor(name string, report func(event string)) *Supervisor {
	return &Supervisor{suture.New(name, suture.Spec{
		Timeout:   stopTimeout,
		EventHook: func(e suture.Event) { report(e.String()) },
		// Suture's own backoff delays the restarts of all tasks together. Each task
		// has a delay of its own instead.
		FailureThreshold: math.Inf(1),
	})}
}

// Add adds a task. It starts when the supervisor serves.
func (s *Supervisor) Add(t Service) { s.suture.Add(&restartable{Service: t}) }

// Serve runs the tasks until ctx ends.
func (s *Supervisor) Serve(ctx context.Context) error { return s.suture.Serve(ctx) }

// ServeBackground runs the tasks in the background until ctx ends. The channel
// receives the result of Serve.
func (s *Supervisor) ServeBackground(ctx context.Context) <-chan error {
	return s.suture.ServeBackground(ctx)
}

// restartable delays the restarts of a task. The supervisor runs it on one
// goroutine at a time.
type restartable struct {
	Service
	delay time.Duration // before the next run
}

// Serve runs the task once, after the delay that its earlier failures require.
func (r *restartable) Serve(ctx context.Context) error {
	if r.delay > 0 {
		timer := time.NewTimer(r.delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	started := time.Now()
	defer func() { r.delay = restartDelay(r.delay, time.Since(started)) }()
	return r.Service.Serve(ctx)
}

// String returns the name of the task for the supervisor's reports.
func (r *restartable) String() string { return fmt.Sprint(r.Service) }

// restartDelay returns the delay before the next run of a task that failed after
// it had run for ran. previous is the delay before that run.
func restartDelay(previous, ran time.Duration) time.Duration {
	if ran >= stableRun {
		return 0
	}
	return min(max(2*previous, minRestartDelay), maxRestartDelay)
}

// Func returns a supervised task that runs serve. The name identifies the task
// in errors and in the supervisor's reports.
func Func(name string, serve func(ctx context.Context) error) Service {
	return funcService{name: name, serve: serve}
}

type funcService struct {
	name  string
	serve func(ctx context.Context) error
}

func (s funcService) Serve(ctx context.Context) error {
	err := s.serve(ctx)
	if err != nil && !errors.Is(err, suture.ErrDoNotRestart) && ctx.Err() == nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return err
}

func (s funcService) String() string { return s.name }
