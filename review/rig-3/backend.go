package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// backend is a stand-in for a back end. It serves one request at a time on a
// connection, echoes the id, signs its answers, answers 421 to requests that are meant
// for another one, and writes its entry to the store every heartbeat.
type backend struct {
	id, service, zone string

	run *run

	mu       sync.Mutex
	l        net.Listener
	conns    map[net.Conn]bool
	state    string
	reported string // state in the entry
	seq      int
	born     int64
	stop     chan struct{}

	quiet bool // does not record each run

	// work runs a request and returns the status and the body; it may be nil. A status of
	// zero means that the answer was written by work itself, or that there is none.
	work func(c net.Conn, r *http.Request, body []byte) (int, []byte)
}

const heartbeat = 1200 * time.Millisecond

func newBackend(r *run, ip, id, service, zone string) *backend {
	b := &backend{id: id, service: service, zone: zone, run: r}
	b.start(ip)
	return b
}

func (b *backend) start(ip string) {
	l, err := listen(ip + ":0")
	b.run.must(err)
	b.mu.Lock()
	b.l, b.conns, b.state, b.seq, b.born, b.stop = l, map[net.Conn]bool{}, "ready", 0, time.Now().UnixMilli(), make(chan struct{})
	stop := b.stop
	b.mu.Unlock()
	b.beat()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeat):
				b.beat()
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[c] = true
			b.mu.Unlock()
			go b.serve(c)
		}
	}()
}

// beat reports to the store. What differs from the last report in seq alone does not change
// the entry.
func (b *backend) beat() {
	b.mu.Lock()
	b.seq++
	if b.seq > 1 && b.state == b.reported {
		b.mu.Unlock()
		return
	}
	b.reported = b.state
	entry := map[string]any{
		"service": b.service, "address": b.l.Addr().String(), "zone": b.zone, "version": "v1", "slots": 4,
		"state": b.state, names["warmup"]: 0, "seq": b.seq, "born": b.born,
	}
	b.mu.Unlock()
	b.run.store.put("servers/"+b.id, entry)
}

// drain reports that the back end is about to leave.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

// crash ends the back end without a word: its connections are reset and its port is
// closed. The store removes its entry after three heartbeats of silence.
func (b *backend) crash() {
	b.mu.Lock()
	close(b.stop)
	_ = b.l.Close()
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.mu.Unlock()
	b.run.record("backend %s of %s has crashed", b.id, b.service)
	go func() {
		time.Sleep(3 * heartbeat)
		b.run.store.remove("servers/" + b.id)
		b.run.record("the store has removed the entry of %s", b.id)
	}()
}

func (b *backend) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		b.mu.Lock()
		delete(b.conns, c)
		b.mu.Unlock()
	}()
	reader := bufio.NewReaderSize(c, 64<<10)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, expected := r.Header.Get(prefix+"Request-Id"), r.Header.Get(prefix+"Expect-Instance")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			b.run.record("backend %s: request %s %s %s ended early after %d bytes of its body", b.id, id, r.Method, r.RequestURI, len(body))
			return
		}
		head := prefix + "Instance-Id: " + b.id + "\r\n" + prefix + "Request-Id: " + id + "\r\n"
		switch {
		case expected != "" && expected != b.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s"+prefix+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		case id == "":
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%s"+prefix+"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			continue
		}
		b.run.ran(b, r, body)
		status, answer := 200, []byte("done by "+b.id)
		if b.work != nil {
			if status, answer = b.work(c, r, body); status == 0 {
				return
			}
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%s"+prefix+"Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, http.StatusText(status), head, stamp(b.id, id), len(answer), answer)
		if err != nil {
			return
		}
	}
}

// stamp is the signature of an answer of a back end to a request.
func stamp(backend, request string) string {
	sum := sha256.Sum256([]byte(backend + "/" + request))
	h := hex.EncodeToString(sum[:])
	return strings.Join([]string{h[:4], h[4:6], h[6:9], h[9:12], "0", h[12:20]}, ".")
}
