package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type wireEntry struct {
	Request     uint64    `json:"request"`
	Query       string    `json:"query"`
	Partition   string    `json:"partition"`
	Snapshot    uint64    `json:"snapshot"`
	Target      string    `json:"target"`
	Incarnation string    `json:"incarnation"`
	Start       time.Time `json:"start"`
	End         time.Time `json:"end"`
	Begun       bool      `json:"begun"`
	Cold        bool      `json:"cold"`
	Told        bool      `json:"told"`
	Running     int       `json:"running"`
	Once        bool      `json:"once"`
	Result      string    `json:"result"`
	Reason      string    `json:"reason"`
}

func (f *Fleet) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /target/{id}/{action}", f.postAction)
	mux.HandleFunc("POST /target/{id}/{action}/{value}", f.postAction)
	mux.HandleFunc("GET /ledger", f.getLedger)
	return mux
}

func (f *Fleet) postAction(w http.ResponseWriter, r *http.Request) {
	t, ok := f.Target(r.PathValue("id"))
	if !ok {
		http.Error(w, "target "+strconv.Quote(r.PathValue("id"))+" does not exist", http.StatusNotFound)
		return
	}
	if err := f.applyAction(t, r.PathValue("action"), r.PathValue("value")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// applyAction applies an admin action to a target. Only fault, lie and snapshots
// use value.
func (f *Fleet) applyAction(t *Target, action, value string) error {
	switch action {
	case "chill":
		t.Chill()
	case "restart":
		t.Restart()
	case "drain":
		t.Drain()
		return f.setHostState(t.cfg.ID, HostLeaving)
	case "undrain":
		t.Undrain()
		return f.setHostState(t.cfg.ID, HostLive)
	case "fault":
		return t.SetFault(noneIsEmpty(value))
	case "lie":
		return t.SetHealthFault(noneIsEmpty(value))
	case "snapshots":
		return setSnapshots(t, value)
	default:
		return errors.Newf("action %q does not exist", action)
	}
	return nil
}

// noneIsEmpty maps "none" to the empty value, which a path cannot contain.
func noneIsEmpty(value string) string {
	if value == "none" {
		return ""
	}
	return value
}

func setSnapshots(t *Target, value string) error {
	var list []uint64
	for text := range strings.SplitSeq(value, ",") {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return errors.Newf("snapshot %q is not a number", text)
		}
		list = append(list, number)
	}
	t.SetSnapshots(list...)
	return nil
}

// getLedger writes the entries of all targets, one JSON object per line.
func (f *Fleet) getLedger(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(w)
	for _, t := range f.Targets {
		for _, entry := range t.Ledger() {
			if err := encoder.Encode(entryToWire(entry)); err != nil {
				return
			}
		}
	}
}

func entryToWire(e Entry) wireEntry {
	return wireEntry{
		Request: e.request.number, Query: e.request.query, Partition: e.request.partition, Snapshot: e.request.snapshot,
		Target: e.target, Incarnation: e.incarnation, Start: e.start, End: e.end,
		Begun: e.begun, Cold: e.cold, Told: e.coldReported, Running: e.running, Once: e.request.atMostOnce,
		Result: string(e.result), Reason: e.reason,
	}
}
