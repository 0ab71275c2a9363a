package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

const (
	limitsConns  = 64
	limitsFormer = 16384 // maxHeaderBytes of the former configuration, as on the sites
	limitsRaised = 32768
	limitsHeader = 30000 // length of one header field after the change
	// The change is acknowledged this long before the first long request; it has to be in
	// force after 3 s (configApplyMs).
	limitsSettle = 6
	limitsRounds = 3
)

// limits raises maxHeaderBytes by a new configuration, and then sends requests that only
// the new one allows over connections that were opened before.
func limits(root string, rec *record, trouble bool) int {
	folder, err := os.MkdirTemp("", "review-limits")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	pool := newAddressPool()
	zones := []string{"a", "b", "c", "d"}
	s, err := newStore(pool.next())
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	book := &ledger{}
	for _, zone := range zones {
		b, err := newBackend(pool.next(), backendSpec{
			ID: "i-" + zone, Service: "desk", Zone: zone, Slots: 4, Queue: 16, MaxConns: 44,
			Work: func() time.Duration { return 20 * time.Millisecond },
		}, book)
		if err != nil {
			fmt.Println(err)
			return cannotRun
		}
		b.register(s, 1, "ready")
	}
	configure := func(version, headerBytes int) {
		s.put("op/config", map[string]any{
			"version": version,
			"routes": []any{map[string]any{
				"name": "r-desk", "host": domain, "prefix": "/desk/", "kind": "idempotent", "timeoutMs": 8000, "targetLatencyMs": 600,
				"priority": 1, "attempts": 2, "service": "desk",
			}},
			"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 44, "warmupS": 3, "warmupPerS": 0}},
			"limits":   map[string]any{"maxHeaderBytes": headerBytes, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		})
	}
	former := limitsFormer
	if !trouble {
		former = limitsRaised
	}
	configure(3, former)
	hosts, err := newHosts(pool, root, folder, filepath.Join(root, "target/bin/gateway"), s.address, slices.Concat(zones, zones))
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer quitAll()
	for _, h := range hosts {
		if err := h.start(); err != nil {
			fmt.Println(err)
			return cannotRun
		}
	}
	if !awaitReady(hosts, 10*time.Second) {
		fmt.Println("hosts are not ready")
		return cannotRun
	}
	time.Sleep(3 * time.Second) // until the hosts know each other
	asker := limitsAsker{rec: rec, counts: make(map[int]int)}
	for i := range asker.conns {
		asker.conns[i].front = hosts[i%len(hosts)].front
	}
	for range limitsSettle {
		asker.askAll(200)
		time.Sleep(time.Second)
	}
	configure(4, limitsRaised)
	rec.event("maxHeaderBytes is %d instead of %d from now on (acknowledged)", limitsRaised, former)
	for range limitsSettle {
		asker.askAll(200)
		time.Sleep(time.Second)
	}
	for range limitsRounds {
		asker.askAll(limitsHeader)
		time.Sleep(time.Second)
	}
	denied, allowed := asker.counts[http.StatusRequestHeaderFieldsTooLarge], 5+asker.total/500
	rec.event("%d requests; statuses %v; denied %d (%d are allowed)", asker.total, asker.counts, denied, allowed)
	switch {
	case denied > allowed:
		return broken
	case asker.counts[http.StatusOK] < asker.total-denied:
		fmt.Println("requests failed for another reason")
		return cannotRun
	}
	return held
}

// limitsAsker sends requests over kept connections and counts the statuses; 0 for none.
type limitsAsker struct {
	rec    *record
	conns  [limitsConns]limitsConn
	counts map[int]int
	total  int
}

type limitsConn struct {
	front  string
	conn   net.Conn
	reader *bufio.Reader
	used   int
}

// askAll sends one request over each connection, with a header field of a length.
func (a *limitsAsker) askAll(length int) {
	for i := range a.conns {
		c := &a.conns[i]
		id := fmt.Sprintf("%016x", rand.Uint64())
		status := c.ask(id, length)
		a.total++
		a.counts[status]++
		a.rec.add("%s %s to %s, request %d of the connection, field of %d bytes: %d", stamp(time.Now()), id, c.front, c.used, length, status)
		if status == 0 || c.conn == nil {
			c.used = 0
		}
	}
}

func (c *limitsConn) ask(id string, length int) int {
	if c.conn == nil {
		conn, err := dialTCP("tcp4", c.front, time.Second)
		if err != nil {
			return 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(8 * time.Second))
	_, _ = io.WriteString(c.conn, fmt.Sprintf("GET /desk/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\nAuthorization: %s\r\n\r\n",
		id[:6], domain, names.Request, id, names.Deadline, strings.Repeat("t", length)))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.Close {
		c.close()
	}
	return resp.StatusCode
}

func (c *limitsConn) close() {
	_ = c.conn.Close()
	c.conn = nil
}
