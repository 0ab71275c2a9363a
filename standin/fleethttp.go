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
	if err := f.act(t, r.PathValue("action"), r.PathValue("value")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// act does one action to a target; value is empty for most.
func (f *Fleet) act(t *Target, action, value string) error {
	switch action {
	case "chill":
		t.Chill()
	case "restart":
		t.Restart()
	case "drain":
		t.Drain()
		return f.tell(t.cfg.ID, HostLeaving)
	case "undrain":
		t.Undrain()
		return f.tell(t.cfg.ID, HostLive)
	case "fault":
		return t.SetFault(noneIsEmpty(value))
	case "lie":
		return t.SetLie(noneIsEmpty(value))
	case "snapshots":
		return setSnapshots(t, value)
	default:
		return errors.Newf("action %q does not exist", action)
	}
	return nil
}

// noneIsEmpty lets a path say "none" for the empty value.
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

// getLedger writes the entries of every target, one JSON object a line.
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
		Request: e.ask.request, Query: e.ask.query, Partition: e.ask.partition, Snapshot: e.ask.snapshot,
		Target: e.target, Incarnation: e.process, Start: e.start, End: e.end,
		Begun: e.begun, Cold: e.cold, Told: e.told, Running: e.running, Once: e.ask.once,
		Result: string(e.result), Reason: e.reason,
	}
}
