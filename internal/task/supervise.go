package task

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"
)

// stopTimeout is how long a supervisor waits for a task to return after the end
// of its context.
const stopTimeout = 10 * time.Second

// Service is a supervised task. Its Serve method runs until ctx ends; if it
// returns earlier, that is a failure and the supervisor restarts the task.
type Service = suture.Service

// NewSupervisor returns a supervisor that calls report with one line of text for
// each of its events, such as the failure of a task.
func NewSupervisor(name string, report func(event string)) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout:   stopTimeout,
		EventHook: func(e suture.Event) { report(e.String()) },
	})
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
