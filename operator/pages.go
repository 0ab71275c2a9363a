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

// headerVersion is the response header with the version of the table.
const headerVersion = "Version"

// Content types of the pages.
const (
	contentTypeText      = "text/plain; charset=utf-8"
	contentTypeCSV       = "text/csv; charset=utf-8"
	contentTypeJSON      = "application/json"
	contentTypeJSONLines = "application/x-ndjson"
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
	writePage(w, contentTypeText, out.Bytes(), nil)
}

func (s *Server) events(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	err := EncodeEvents(&out, s.Events())
	writePage(w, contentTypeJSONLines, out.Bytes(), err)
}

func (s *Server) table(w http.ResponseWriter, _ *http.Request) {
	table := s.View().Table()
	if table.Version() == 0 {
		http.Error(w, "no table has been published yet", http.StatusNotFound)
		return
	}
	data, err := EncodeTable(table)
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(table.Version()), 10))
	writePage(w, contentTypeCSV, data, err)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	data, err := EncodeStatus(s.Status(), s.Clock.Now())
	writePage(w, contentTypeJSON, data, err)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writePage(w, contentTypeText, []byte("up\n"), nil)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !s.Ready():
		http.Error(w, "starting", http.StatusServiceUnavailable)
	default:
		writePage(w, contentTypeText, []byte("ready\n"), nil)
	}
}

// writePage writes a page, or status 500 with the error if err is set.
func writePage(w http.ResponseWriter, contentType string, data []byte, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A failed write means that the operator has disconnected.
	_, _ = w.Write(data)
}
