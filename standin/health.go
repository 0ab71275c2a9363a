package standin

import (
	"net/http"
	"sync"
	"time"
)

const (
	stateWarm  = "warm"
	stateCold  = "cold"
	stateDrain = "drain"

	healthFaultWarm = "warm"
	healthFaultLag  = "lag"

	maxReportAge = 5 * time.Second // maximum age of a report under the fault "lag"
)

// HealthFaults lists the faults that SetHealthFault accepts.
func HealthFaults() []string { return []string{"", healthFaultWarm, healthFaultLag} }

type wireHealth struct {
	State       string  `json:"state"`
	Busy        int     `json:"busy"`
	Slots       int     `json:"slots"`
	Load        float64 `json:"load"`
	Incarnation string  `json:"incarnation"`
}

// healthCache applies the health fault to reports. It keeps the last report for
// the fault "lag".
type healthCache struct {
	mu     sync.Mutex
	fault  string
	last   wireHealth
	lastAt time.Time
}

func (h *healthCache) setFault(fault string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = fault
}

func (h *healthCache) report(actual wireHealth, now time.Time) wireHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fault == healthFaultLag && now.Sub(h.lastAt) < maxReportAge {
		return h.last
	}
	h.last = actual
	h.lastAt = now
	if h.fault == healthFaultWarm {
		actual.State = stateWarm
		actual.Busy = 0
		actual.Load = 0
	}
	return actual
}

func (t *Target) getHealth(w http.ResponseWriter, r *http.Request) {
	opened := connFrom(r.Context())
	opened.busy.Store(true)
	defer opened.busy.Store(false)
	if !t.delayFirstReply(r.Context(), opened) {
		return
	}
	if opened.generation != t.state.currentGeneration() {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
	writeJSON(w, t.health.report(t.state.healthReport(), time.Now()))
}
