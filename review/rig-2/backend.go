package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is a request that a backend has begun to run.
type run struct {
	id      string
	backend string
	at      time.Time
	status  int  // of the answer
	leaving bool // the answer says that the backend leaves
}

// backend is a stand-in for one back end. It serves one request at a time on a
// connection.
type backend struct {
	id, service, zone string
	address           string
	listener          net.Listener

	mu      sync.Mutex
	seq     int
	born    int64
	work    time.Duration
	status  func(id string) int // status of a request that runs; nil for 200
	leaving bool                // says so in all its answers
	lose    func() bool         // whether an answer is lost and the connection reset; nil for never
	runs    []run
	slots   chan struct{}
	conns   map[net.Conn]bool
}

func newBackend(id, service, zone string, work time.Duration, slots int) *backend {
	l, err := listen("127.0.0.1:0")
	check(err)
	b := &backend{
		id: id, service: service, zone: zone, address: l.Addr().String(), listener: l, born: time.Now().UnixMilli(),
		work: work, slots: make(chan struct{}, slots), conns: make(map[net.Conn]bool),
	}
	go b.accept()
	return b
}

func (b *backend) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// register writes the backend's entry.
func (b *backend) register(s *store, state string) time.Time {
	b.mu.Lock()
	b.seq++
	seq := b.seq
	b.mu.Unlock()
	return s.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": cap(b.slots),
		"state": state, wire("@cold"): 0, "seq": seq, "born": b.born,
	})
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !b.answer(c, reader, r) {
			return
		}
	}
}

// answer runs a request and writes its answer. It drops the request if the
// connection closes meanwhile.
func (b *backend) answer(c net.Conn, reader *bufio.Reader, r *http.Request) bool {
	id := r.Header.Get(wire("@H-Request-Id"))
	if r.URL.Path == "/healthz" {
		_, err := fmt.Fprintf(c, wire("HTTP/1.1 200 OK\r\n@H-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"), b.id)
		return err == nil
	}
	if expected := r.Header.Get(wire("@H-Expect-Instance")); expected != "" && expected != b.id {
		_, err := fmt.Fprintf(c, wire("HTTP/1.1 421 Misdirected Request\r\n@H-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"), id)
		return err == nil
	}
	b.slots <- struct{}{}
	defer func() { <-b.slots }()
	b.mu.Lock()
	status := http.StatusOK
	if b.status != nil {
		status = b.status(id)
	}
	b.runs = append(b.runs, run{id: id, backend: b.id, at: time.Now(), status: status, leaving: b.leaving})
	work, extra, lost := b.work, "", b.lose != nil && b.lose()
	if b.leaving {
		extra = "Server-Leaving: 1\r\n"
	}
	b.mu.Unlock()
	closed := make(chan struct{})
	stop := make(chan struct{})
	go func() { // notices a close of the connection
		defer close(closed)
		for {
			select {
			case <-stop:
				return
			default:
			}
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
			if _, err := reader.Peek(1); err != nil {
				if e, ok := err.(net.Error); ok && e.Timeout() {
					continue
				}
				return
			}
			<-stop
			return
		}
	}()
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		close(stop)
		<-closed
	case <-closed:
		close(stop)
		return false
	}
	_ = c.SetReadDeadline(time.Time{})
	if lost {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}
	body := records(b.service, r.RequestURI)
	_, err := fmt.Fprintf(c, wire("HTTP/1.1 %d %s\r\n@H-Request-Id: %s\r\n@H-Server-Stamp: %s\r\n%sContent-Length: %d\r\n\r\n%s"),
		status, http.StatusText(status), id, stamp(b.id, id), extra, len(body), body)
	return err == nil
}

// leave makes the backend say in its answers that it leaves.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// ran returns the runs so far.
func (b *backend) ran() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]run(nil), b.runs...)
}

// stamp returns the signature of a backend's answer to a request.
func stamp(backend, id string) string {
	sum := sha256.Sum256([]byte(backend + "/" + id))
	h := hex.EncodeToString(sum[:])
	return fmt.Sprintf("%s.%s.%s.%s.0.%s", h[:4], h[4:6], h[6:9], h[9:12], h[12:20])
}

// records returns a backend's body for a request.
func records(service, uri string) []byte {
	var list []byte
	for i := range 5 {
		sum := sha256.Sum256([]byte(service + " " + uri + " " + strconv.Itoa(i)))
		list = append(list, sum[:16]...)
	}
	return list
}
