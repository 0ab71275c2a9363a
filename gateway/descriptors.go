package gateway

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// How the descriptors of a host are shared out; docs/CAPACITY.md has the table.
const (
	// Files, and what the runtime opens.
	fileDescriptors = 200
	// Connections to and from other hosts, to the store, and for the directory,
	// readiness checks and metrics.
	hostDescriptors = 256
	// Most of the rest that targets can claim, so that callers keep some.
	targetShare = 0.5
	// Share of the callers' bound from which their connections are closed after an
	// answer, so that they do not stay idle, and callers spread.
	crowdedShare = 0.75
	// Least bound on connections of callers.
	minCallers = 16
	// Descriptors of a host that knows no limit of them.
	defaultDescriptors = 4096

	// Time between two calculations of the bound.
	boundInterval = time.Second
)

// callerBound returns how many connections callers may have if a process may have
// descriptors open and its targets need some for connections.
func callerBound(descriptors, targets int) int {
	rest := descriptors - fileDescriptors - hostDescriptors
	return max(rest-min(targets, int(targetShare*float64(rest))), minCallers)
}

// descriptors returns how many descriptors the host may have open: the limit of the
// process or that of the settings, whichever is lower.
func (h *Host) descriptors() int {
	stated := valueOr(h.settings.Load().Descriptors, defaultDescriptors)
	limit, err := tcp.DescriptorLimit()
	if err != nil {
		h.Log.WithError(err).WithField("descriptors", stated).Warn("relying on the settings for the limit on descriptors")
		return stated
	}
	return min(stated, limit)
}

// boundCallers keeps the bound on callers' connections in line with what the targets
// need, until ctx ends.
func (h *Host) boundCallers(ctx context.Context) {
	descriptors := h.descriptors()
	ticks := h.Timer.Every(boundInterval)
	defer ticks.Stop()
	last := 0
	for {
		needed := h.engine.neededConnections()
		if bound := callerBound(descriptors, needed); bound != last {
			last = bound
			h.callers.conns.setBound(bound)
			h.Log.WithFields(log.Fields{"bound": bound, "targets": needed, "descriptors": descriptors}).Info("bound on connections of callers changed")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

// neededConnections returns how many connections to targets this host may need at most.
func (e *Engine) neededConnections() int {
	needed := 0
	for _, targets := range e.View().Zones() {
		for _, t := range targets {
			needed += e.maxConnections(t)
		}
	}
	return needed
}
