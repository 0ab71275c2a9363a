package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backendSpec describes a back end of a service.
type backendSpec struct {
	ID, Service, Zone string
	Slots, Queue      int
	MaxConns          int
	Work              func() time.Duration
}

// run is one request that a back end began to work on.
type run struct {
	Backend    string
	Began, End time.Time // End is zero while it runs
	Status     int       // 0: cut
}

// ledger keeps what all back ends have run, by request id.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func (l *ledger) begin(id, backend string) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]*run)
	}
	r := &run{Backend: backend, Began: time.Now()}
	l.runs[id] = append(l.runs[id], r)
	return r
}

func (l *ledger) end(r *run, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.End, r.Status = time.Now(), status
}

func (l *ledger) of(id string) []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	var runs []run
	for _, r := range l.runs[id] {
		runs = append(runs, *r)
	}
	return runs
}

// backend is a stand-in for a back end. It runs Slots requests at once, queues a few
// more, answers 503 beyond that, not run, and drops a request
// when its connection closes.
type backend struct {
	backendSpec
	address string
	ledger  *ledger
	slots   chan struct{}
	waiting atomic.Int32
	conns   atomic.Int32
	stamps  atomic.Int64
	born    int64
}

func newBackend(ip string, spec backendSpec, l *ledger) (*backend, error) {
	listener, err := listenTCP("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	b := &backend{
		backendSpec: spec, address: listener.Addr().String(), ledger: l, slots: make(chan struct{}, spec.Slots),
		born: time.Now().UnixMilli(),
	}
	server := &http.Server{Handler: b, ConnState: b.connState}
	go func() { _ = server.Serve(listener) }()
	return b, nil
}

// connState resets connections beyond MaxConns.
func (b *backend) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if b.conns.Add(1) > int32(b.MaxConns) {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		b.conns.Add(-1)
	}
}

// register writes the entry of the back end.
func (b *backend) register(s *store, seq int, state string) {
	s.put("servers/"+b.ID, map[string]any{
		"service": b.Service, "address": b.address, "zone": b.Zone, "version": "v1", "slots": b.Slots, "state": state,
		names.WarmupLeft: 0, "seq": seq, "born": b.born,
	})
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.Request)
	w.Header().Set(names.Request, id)
	if expected := r.Header.Get(names.Expected); expected != "" && expected != b.ID {
		w.Header().Set(names.Instance, b.ID)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := time.Now().Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get(names.Deadline)); err == nil {
		deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	if b.waiting.Add(1) > int32(b.Slots+b.Queue) {
		b.waiting.Add(-1)
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer b.waiting.Add(-1)
	select {
	case b.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	case <-time.After(time.Until(deadline)):
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	entry := b.ledger.begin(id, b.ID)
	status := http.StatusOK
	select {
	case <-time.After(b.Work()):
	case <-r.Context().Done():
		b.ledger.end(entry, 0)
		return
	case <-time.After(time.Until(deadline)):
		status = http.StatusGatewayTimeout
	}
	b.ledger.end(entry, status)
	w.Header().Set(names.Stamp, fmt.Sprintf("%s.%x.%08x", b.ID, b.stamps.Add(1), rand.Uint32()))
	body := []byte("answer to " + id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(names.NotRun, "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}
