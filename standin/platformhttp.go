package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

const headerVersion = "Version"

type wireHosts struct {
	Live    []string `json:"live"`
	Leaving []string `json:"leaving"`
}

type wireVersion struct {
	Version uint64 `json:"version"`
}

type wireCalls struct {
	Calls uint64 `json:"calls"`
}

func (p *Platform) readHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /values/{key...}", p.getValue)
	mux.HandleFunc("GET /hosts", p.getHosts)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		mux.ServeHTTP(w, r)
	})
}

func (p *Platform) getValue(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("after") {
		p.watchValue(w, r)
		return
	}
	view := p.state.viewKey(r.PathValue("key"))
	if view.down {
		writeUnavailable(w)
		return
	}
	if !view.found {
		http.NotFound(w, r)
		return
	}
	writeValue(w, view.value)
}

func (p *Platform) watchValue(w http.ResponseWriter, r *http.Request) {
	after, hold, err := parseWatch(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	view := p.state.viewKey(key)
	if view.down {
		writeUnavailable(w)
		return
	}
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	for !view.found || view.value.Version() <= after {
		select {
		case <-view.changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
		view = p.state.viewKey(key)
		if view.down || view.closed {
			panic(http.ErrAbortHandler) // net/http closes the connection
		}
	}
	writeValue(w, view.value)
}

func parseWatch(r *http.Request) (magnoliashore.Version, time.Duration, error) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errors.Wrap(err, "after")
	}
	text := r.URL.Query().Get("wait")
	if text == "" {
		return magnoliashore.Version(after), 0, nil
	}
	wait, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		return 0, 0, errors.Wrap(err, "wait")
	}
	hold := min(time.Duration(wait)*time.Millisecond, maxWatchWait)
	return magnoliashore.Version(after), hold, nil
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	lists, available := p.state.visibleHosts(time.Now())
	if !available {
		writeUnavailable(w)
		return
	}
	writeJSON(w, wireHosts{Live: nonNil(lists.live), Leaving: nonNil(lists.leaving)})
}

func writeUnavailable(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	http.Error(w, "the platform is down", http.StatusServiceUnavailable)
}

func writeValue(w http.ResponseWriter, value magnoliashore.Value) {
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(value.Version()), 10))
	w.Header().Set("Content-Length", strconv.Itoa(len(value.Data())))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(value.Data())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func nonNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

func (p *Platform) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /publish/{key...}", p.postPublish)
	mux.HandleFunc("POST /mode/{mode}", p.postMode)
	mux.HandleFunc("POST /hosts", p.postHosts)
	mux.HandleFunc("POST /hosts/{name}/{state}", p.postHost)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, wireCalls{Calls: p.Calls()})
	})
	return mux
}

func (p *Platform) postPublish(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version := p.Publish(r.PathValue("key"), data)
	writeJSON(w, wireVersion{Version: uint64(version)})
}

func (p *Platform) postMode(w http.ResponseWriter, r *http.Request) {
	mode, err := ParseMode(r.PathValue("mode"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(mode)
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	var wire wireHosts
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(wire.Live, wire.Leaving)
}

func (p *Platform) postHost(w http.ResponseWriter, r *http.Request) {
	state, err := ParseHostState(r.PathValue("state"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHost(r.PathValue("name"), state)
}
