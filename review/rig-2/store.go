package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one change of a key, as the store encodes it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's metadata store. Each machine reaches it
// at an address of its own, so that single machines can be partitioned from it.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

// gate is the path of one machine to the store.
type gate struct {
	address string

	mu      sync.Mutex
	cut     chan struct{} // open while the machine is partitioned; nil otherwise
	watches int           // watches that were answered
	onWatch func(n int)   // called after a watch was answered; may be nil
}

func newStore() *store {
	return &store{items: make(map[string]item), changed: make(chan struct{}), revision: 1}
}

// listen opens an address for one machine.
func (s *store) listen() *gate {
	l, err := listen("127.0.0.1:0")
	check(err)
	g := &gate{address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", func(w http.ResponseWriter, r *http.Request) { g.pass(w, r, s.serveKey) })
	mux.HandleFunc(wire("GET /-/@range"), func(w http.ResponseWriter, r *http.Request) { g.pass(w, r, s.serveRange) })
	mux.HandleFunc(wire("GET /-/@watch"), func(w http.ResponseWriter, r *http.Request) {
		g.pass(w, r, s.serveWatch)
		g.mu.Lock()
		g.watches++
		n, f := g.watches, g.onWatch
		g.mu.Unlock()
		if f != nil {
			f(n)
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	return g
}

// pass serves a call, unless the machine is partitioned from the store: then the
// call has no answer.
func (g *gate) pass(w http.ResponseWriter, r *http.Request, serve func(http.ResponseWriter, *http.Request) []byte) {
	body := serve(w, r)
	g.mu.Lock()
	cut := g.cut
	g.mu.Unlock()
	if cut != nil {
		select {
		case <-cut:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	if body == nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (g *gate) setCut(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on && g.cut == nil {
		g.cut = make(chan struct{})
	}
	if !on && g.cut != nil {
		close(g.cut)
		g.cut = nil
	}
}

func (s *store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	} else {
		i.Created = s.revision
	}
	s.history = append(s.history, i)
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value and returns when the store has accepted it.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.write(item{Key: key, Value: data})
	return time.Now()
}

// remove removes a key and returns when the store has accepted it.
func (s *store) remove(key string) time.Time {
	s.write(item{Key: key, Tombstone: true})
	return time.Now()
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	check(err)
	return data
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return nil
	}
	return encode(map[string]any{"key": i.Key, "value": i.Value, "revision": i.Revision, "created": i.Created, "lease": 0, "currentRev": s.revision})
}

func (s *store) serveRange(_ http.ResponseWriter, r *http.Request) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	list := make([]item, 0)
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	const page = 50
	truncated := len(list) > page
	if truncated {
		list = list[:page]
	}
	return encode(map[string]any{"items": list, "truncated": truncated, "currentRev": s.revision})
}

func (s *store) serveWatch(_ http.ResponseWriter, r *http.Request) []byte {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := make([]item, 0)
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return encode(map[string]any{"events": events, "currentRev": revision})
		}
		select {
		case <-changed:
		case <-timeout:
			return encode(map[string]any{"events": events, "currentRev": revision})
		case <-r.Context().Done():
			return nil
		}
	}
}
