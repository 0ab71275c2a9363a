package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// restartDelay is the delay before a duty is restarted after a panic.
const restartDelay = 100 * time.Millisecond

// duty is one of the long-running tasks of an entry host.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

var _ magnoliashore.Duty = duty{}

// String describes the duty in lower case.
func (d duty) String() string { return d.name }

// Run runs the duty until ctx ends.
func (d duty) Run(ctx context.Context) error { return d.run(ctx) }

// duties returns the duties of an entry host in the order in which they start.
func (h *Host) duties() []magnoliashore.Duty {
	list := []magnoliashore.Duty{
		duty{"serving other entry hosts", h.peers.Run},
		duty{"reading the configuration", h.config.run},
		duty{"keeping membership, leases and placement", h.control.run},
	}
	if h.Settings.Operator != "" {
		list = append(list, duty{"serving operators", newPages(h).Run})
	}
	return list
}

// guard runs a duty until it returns. After a panic, which is recorded and does
// not end the process, the duty restarts after restartDelay.
func (h *Host) guard(ctx context.Context, d magnoliashore.Duty) error {
	for {
		panicked, err := h.runDuty(ctx, d)
		if !panicked || ctx.Err() != nil {
			return err
		}
		pause := h.Timer.After(restartDelay)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

// runDuty runs a duty once and reports whether it panicked.
func (h *Host) runDuty(ctx context.Context, d magnoliashore.Duty) (panicked bool, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			h.recordPanic(d.String(), fault)
			panicked = true
		}
	}()
	return false, magnoliashore.Step(d.Run(ctx), d.String(), "")
}
