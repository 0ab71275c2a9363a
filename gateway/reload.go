package gateway

import (
	"context"
	"reflect"
	"time"
)

// pollInterval is how often the settings are read without a signal. A change
// applies well within the time limit for configuration changes.
const pollInterval = time.Second

// watchSettings applies changes of the settings until ctx ends. It reads them on
// each signal and at intervals, since they may change without a signal. If the
// new settings are invalid, the current ones stay.
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
				h.Log.WithError(err).Warn("keeping the current settings: the new ones are invalid")
			}
			lastError = err.Error()
			continue
		}
		lastError = ""
		h.reload(s, signaled)
	}
}

// reload applies settings. Changed addresses take effect at the next start.
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
		h.Log.Warn("changed addresses and a changed availability zone take effect at the next start")
		s.Caller, s.Peer, s.Ready, s.Directory = old.Caller, old.Peer, old.Ready, old.Directory
		s.Metrics, s.Store, s.Zone = old.Metrics, old.Store, old.Zone
	}
	h.settings.Store(&s)
	h.engine.setLimits(s.Retries, s.Cold)
	h.members.SetSeeds(s.Seeds)
	h.Log.WithField("seeds", s.Seeds).Info("reloaded")
}
