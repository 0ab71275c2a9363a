package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// restartWait is how long a duty that failed by a panic waits before it starts
// again.
const restartWait = 100 * time.Millisecond

// duty is one of the duties that make up an entry host.
type duty struct {
	name string
	run  func(ctx context.Context) error
}

var _ magnoliashore.Duty = duty{}

// String says what the duty does, in lower case.
func (d duty) String() string { return d.name }

// Run does it until ctx ends.
func (d duty) Run(ctx context.Context) error { return d.run(ctx) }

// duties lists what an entry host does, in the order in which it is started.
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

// guard runs a duty until it ends by itself. A panic is recorded, and the duty
// starts again after a pause, so that it never ends the process.
func (h *Host) guard(ctx context.Context, d magnoliashore.Duty) error {
	for {
		failed, err := h.attemptDuty(ctx, d)
		if !failed || ctx.Err() != nil {
			return err
		}
		pause := h.Timer.After(restartWait)
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		pause.Stop()
	}
}

func (h *Host) attemptDuty(ctx context.Context, d magnoliashore.Duty) (failed bool, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			h.fault(d.String(), fault)
			failed = true
		}
	}()
	return false, magnoliashore.Step(d.Run(ctx), d.String(), "")
}
