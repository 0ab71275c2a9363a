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

	lieWarm = "warm"
	lieLag  = "lag"

	healthLag = 5 * time.Second // greatest age of a report under the lie "lag"
)

// Lies lists what SetLie accepts.
func Lies() []string { return []string{"", lieWarm, lieLag} }

type wireHealth struct {
	State       string  `json:"state"`
	Busy        int     `json:"busy"`
	Slots       int     `json:"slots"`
	Load        float64 `json:"load"`
	Incarnation string  `json:"incarnation"`
}

// healthCache keeps the last report for the lie "lag".
type healthCache struct {
	mu   sync.Mutex
	lie  string
	last wireHealth
	at   time.Time
}

func (h *healthCache) setLie(lie string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lie = lie
}

func (h *healthCache) report(truth wireHealth, now time.Time) wireHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lie == lieLag && now.Sub(h.at) < healthLag {
		return h.last
	}
	h.last = truth
	h.at = now
	if h.lie == lieWarm {
		truth.State = stateWarm
		truth.Busy = 0
		truth.Load = 0
	}
	return truth
}

func (t *Target) getHealth(w http.ResponseWriter, r *http.Request) {
	opened := connOf(r.Context())
	opened.busy.Store(true)
	defer opened.busy.Store(false)
	if !t.payConnection(r.Context(), opened) {
		return
	}
	if opened.generation != t.core.generationNow() {
		panic(http.ErrAbortHandler) // net/http cuts the connection
	}
	writeJSON(w, t.health.report(t.core.report(), time.Now()))
}
