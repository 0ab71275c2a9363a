package magnoliashore

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// StepError says at which step and towards which peer an error arose.
type StepError struct {
	step string
	peer string
	err  error
}

// Step returns err with the step and peer at which it arose; peer may be
// empty. It returns nil if err is nil.
func Step(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStackDepth(&StepError{step: step, peer: peer, err: err}, 1)
}

// Error returns step, peer and cause in one line.
func (e *StepError) Error() string {
	if e.peer == "" {
		return fmt.Sprintf("%s: %v", e.step, e.err)
	}
	return fmt.Sprintf("%s (%s): %v", e.step, e.peer, e.err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.err }

// Step returns what was being done.
func (e *StepError) Step() string { return e.step }

// Peer returns the other side; empty if there is none.
func (e *StepError) Peer() string { return e.peer }
