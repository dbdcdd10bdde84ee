package task

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/thejerf/suture/v4"
)

// stopTimeout is how long a supervisor waits for a task after its context ended.
const stopTimeout = 10 * time.Second

// Service is a task under supervision. Serve returns when ctx ends; any other
// return is a failure after which the supervisor starts it again.
type Service = suture.Service

// NewSupervisor returns a supervisor that reports starts and failures of its
// tasks to report, one line for each.
func NewSupervisor(name string, report func(event string)) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout:   stopTimeout,
		EventHook: func(e suture.Event) { report(e.String()) },
	})
}

// Func makes a supervised task of a function; name stands in reports.
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
