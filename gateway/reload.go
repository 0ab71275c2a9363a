package gateway

import (
	"context"
	"reflect"
	"time"
)

// pollInterval is how often the settings are read without a signal; a change is
// in force well before the bound for a configuration.
const pollInterval = time.Second

// watchSettings applies changes of the settings until ctx ends. They are read on each
// signal and regularly, since they may also change without one. Settings that
// cannot be used leave the former ones in force.
func (h *Host) watchSettings(ctx context.Context) {
	poll := h.Timer.Every(pollInterval)
	defer poll.Stop()
	var lastError string
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-h.Signals:
			signaled = true
		case <-poll.C:
		}
		s, err := h.Load()
		if err != nil {
			if signaled || err.Error() != lastError {
				h.Log.WithError(err).Warn("keeping the former settings: the new ones cannot be used")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		h.reload(s, signaled)
	}
}

// reload puts settings in force. Addresses stay until the next start.
func (h *Host) reload(s Settings, signaled bool) {
	old := *h.settings.Load()
	if reflect.DeepEqual(s, old) {
		if signaled {
			h.Log.Info("reloaded: the settings have not changed")
		}
		return
	}
	if s.Caller != old.Caller || s.Peer != old.Peer || s.Ready != old.Ready ||
		s.Directory != old.Directory || s.Metrics != old.Metrics || s.Store != old.Store || s.Zone != old.Zone {
		h.Log.Warn("addresses and the availability zone change at the next start only")
		s.Caller, s.Peer, s.Ready, s.Directory = old.Caller, old.Peer, old.Ready, old.Directory
		s.Metrics, s.Store, s.Zone = old.Metrics, old.Store, old.Zone
	}
	h.settings.Store(&s)
	h.engine.setLimits(s.Retries, s.Cold)
	h.members.SetSeeds(s.Seeds)
	h.Log.WithField("seeds", s.Seeds).Info("reloaded")
}
