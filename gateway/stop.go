package gateway

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
)

const (
	// Part of the shutdown grace time that is left for the last answers.
	shutdownMargin = 700 * time.Millisecond
	// Time after the start of the shutdown from which requests are refused, also those
	// that wait and were not sent yet: callers should use other hosts by then.
	refuseAfter = 2500 * time.Millisecond
	// Part of the shutdown grace time in which the requests that still run get a failure
	// as their answer.
	endMargin = 300 * time.Millisecond
)

// errStops is the cause of requests that end since the process ends.
var errStops = errors.New("the host stops")

// stop holds the steps of a graceful shutdown. A context ends when its step begins.
type stop struct {
	stopping context.Context // callers use other hosts from now on
	refusing context.Context // requests that were not sent to a target are refused
	ending   context.Context // requests that still run get a failure

	begin, refuse, end context.CancelFunc
}

func newStop() *stop {
	s := new(stop)
	s.stopping, s.begin = context.WithCancel(context.Background())
	s.refusing, s.refuse = context.WithCancel(context.Background())
	s.ending, s.end = context.WithCancel(context.Background())
	return s
}

// started reports whether the step of a context has begun.
func started(step context.Context) bool { return step.Err() != nil }

// shutDown leaves the membership, so that callers use other hosts, and waits for
// the requests in flight.
func (h *Host) shutDown() {
	grace := h.settings.Load().Grace
	h.stop.begin()
	h.members.Leave()
	h.Log.WithField("grace", grace.String()).Info("stopping")
	drain := max(grace-2*shutdownMargin, 0)
	refuse := h.Timer.Call(min(refuseAfter, drain), h.refuseWaiting)
	defer refuse.Stop()
	wait := h.Timer.After(drain)
	<-wait.C
	if err := h.finish(shutdownMargin); err != nil {
		h.Log.WithError(err).Warn("requests were still in flight at the end of the grace time")
		h.engine.inFlight.log(h.Log, h.Timer.Now())
		h.stop.end()
		if err := h.finish(endMargin); err != nil {
			h.Log.WithError(err).Error("requests are cut by the end of the process")
			h.engine.inFlight.log(h.Log, h.Timer.Now())
		}
	}
	if err := h.callers.close(); err != nil {
		h.Log.WithError(err).Warn("cannot close the connections of callers")
	}
}

// refuseWaiting refuses new requests, and those that were not sent yet.
func (h *Host) refuseWaiting() {
	h.stop.refuse()
	waiting, all := h.engine.inFlight.withdraw()
	h.Log.WithFields(log.Fields{"waiting": waiting, "inflight": all}).Info("refusing requests from now on, also those that wait")
}

// finish waits for the requests in flight, of callers and of other hosts, for at most
// limit.
func (h *Host) finish(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := h.callers.shutdown(ctx)
	select {
	case <-h.engine.inFlight.drained():
	case <-ctx.Done():
		err = errors.CombineErrors(err, ctx.Err())
	}
	return err
}
