package magnoliashore

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// StepError adds the failed operation and the remote peer to an error.
type StepError struct {
	step string
	peer string
	err  error
}

// Step wraps err with the failed operation and the remote peer, which may be
// empty. It returns nil if err is nil.
func Step(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return errors.WithStackDepth(&StepError{step: step, peer: peer, err: err}, 1)
}

// Error returns the operation, peer and cause on one line.
func (e *StepError) Error() string {
	if e.peer == "" {
		return fmt.Sprintf("%s: %v", e.step, e.err)
	}
	return fmt.Sprintf("%s (%s): %v", e.step, e.peer, e.err)
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.err }

// Step returns the failed operation.
func (e *StepError) Step() string { return e.step }

// Peer returns the remote peer; empty if there is none.
func (e *StepError) Peer() string { return e.peer }
