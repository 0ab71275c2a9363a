package operator

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
)

// Paths of the admin pages.
const (
	PathMetrics = "/metrics"
	PathEvents  = "/events"
	PathTable   = "/table"
	PathStatus  = "/status"
	PathHealth  = "/health"
	PathReady   = "/ready"
)

// headerVersion names the version of the table that is shown.
const headerVersion = "Version"

// Content types of the pages.
const (
	typeText  = "text/plain; charset=utf-8"
	typeCSV   = "text/csv; charset=utf-8"
	typeJSON  = "application/json"
	typeLines = "application/x-ndjson"
)

func (s *Server) pages() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, s.metrics)
	mux.HandleFunc("GET "+PathEvents, s.events)
	mux.HandleFunc("GET "+PathTable, s.table)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("GET "+PathHealth, s.health)
	mux.HandleFunc("GET "+PathReady, s.ready)
	return mux
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	metrics.WritePrometheus(&out, true)
	show(w, typeText, out.Bytes(), nil)
}

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	err := EncodeEvents(&out, s.Events())
	show(w, typeLines, out.Bytes(), err)
}

func (s *Server) table(w http.ResponseWriter, _ *http.Request) {
	table := s.View().Table()
	if table.Version() == 0 {
		http.Error(w, "no table has been published yet", http.StatusNotFound)
		return
	}
	data, err := EncodeTable(table)
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(table.Version()), 10))
	show(w, typeCSV, data, err)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	data, err := EncodeStatus(s.Status(), s.Clock.Now())
	show(w, typeJSON, data, err)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	show(w, typeText, []byte("up\n"), nil)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.Ready():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		show(w, typeText, []byte("ready\n"), nil)
	}
}

// show writes one page, or the error that stood in its way.
func show(w http.ResponseWriter, kind string, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", kind)
	// A failed write means that the operator has gone.
	_, _ = w.Write(data)
}
