package entry

import (
	"github.com/magnoliashore/magnoliashore/lease"
	"github.com/magnoliashore/magnoliashore/operator"
)

// newPages returns the server of the host's admin pages.
func newPages(h *Host) *operator.Server {
	return &operator.Server{
		Address: h.Settings.Operator,
		Clock:   h.Timer,
		Events:  h.events.Events,
		Ready:   h.Ready,
		Leaving: h.Leaving,
		View:    h.view,
		Status:  h.status,
	}
}

// status returns the state of the host for its operators.
func (h *Host) status() operator.Status {
	view := h.view()
	spec := operator.StatusSpec{
		Host:        h.Settings.Host,
		Incarnation: h.incarnation,
		Table:       view.Table().Version(),
		Layout:      view.Layout().Version(),
	}
	now := h.Timer.Now()
	h.control.mu.Lock()
	defer h.control.mu.Unlock()
	for _, seat := range view.Layout().Seats() {
		known := h.control.node.KnownIncarnation(seat.Host())
		reached := h.control.isReachable(now, seat.Host())
		spec.Seats = append(spec.Seats, operator.NewSeatStatus(seat.Host(), known, reached))
	}
	for _, t := range view.Layout().Targets() {
		if until, ok := h.control.node.Until(now, lease.KeyOf(t.ID())); ok {
			spec.Leases = append(spec.Leases, operator.NewLeaseStatus(t.ID(), until.Sub(now)))
		}
	}
	return operator.NewStatus(spec)
}
