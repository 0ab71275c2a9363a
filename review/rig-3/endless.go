package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["endless"] = endless }

const (
	archiveTimeout  = 2 * time.Second // timeoutMs of the route
	archivePatience = 8 * time.Second // of the clients
	archiveRate     = 150             // requests a second
	garbleShare     = 0.6             // of the back ends
	garbleAnswers   = 0.03            // of their answers
	garbleTime      = 5000 * time.Millisecond
)

// endless: some back ends of a service send some answers without end. A request that lasts
// longer than its route's timeoutMs must have come to an end half a second after that.
func endless(r *run) {
	ip := r.ip()
	var (
		mu      sync.Mutex
		garbled bool
	)
	const count = 5
	for i := range count {
		b := newBackend(r, ip, fmt.Sprintf("i-archive%d", i), "archive", []string{"zone-a", "zone-b", "zone-c"}[i%3])
		b.quiet = true
		if float64(i) >= garbleShare*count-0.01 {
			continue
		}
		b.work = func(c net.Conn, q *http.Request, _ []byte) (int, []byte) {
			mu.Lock()
			spoil := garbled && rand.Float64() < garbleAnswers
			mu.Unlock()
			if !spoil {
				return http.StatusOK, []byte("done by " + b.id)
			}
			id := q.Header.Get(prefix + "Request-Id")
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n"+prefix+"Request-Id: %s\r\n"+prefix+"Server-Stamp: %s\r\nConnection: close\r\n\r\n", id, stamp(b.id, id))
			block, sent := make([]byte, 16<<10), 0
			for err == nil {
				var n int
				n, err = c.Write(block)
				sent += n
				time.Sleep(2 * time.Millisecond)
			}
			r.record("backend %s: the caller has closed the connection of %s after %d bytes", b.id, id, sent)
			return 0, nil
		}
	}
	r.configure(7, 262144, []map[string]any{
		route("r-archive", "/archive/", "idempotent", "archive", map[string]any{"timeoutMs": archiveTimeout.Milliseconds()}),
	}, "archive")
	r.start("zone-a", "zone-b", "zone-c")
	r.awaitReady()
	began := time.Now()
	if r.trouble {
		go func() {
			for range 6 {
				time.Sleep(2 * time.Second)
				r.record("three of five back ends spoil %.0f in 100 of their answers for %s", 100*garbleAnswers, garbleTime)
				mu.Lock()
				garbled = true
				mu.Unlock()
				time.Sleep(garbleTime)
				mu.Lock()
				garbled = false
				mu.Unlock()
			}
		}()
	}
	var all, long, late int
	var wg sync.WaitGroup
	for i := 0; time.Since(began) < 45*time.Second; i++ {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / archiveRate)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, n, took, err := fetchOne(r, i)
			mu.Lock()
			defer mu.Unlock()
			all++
			if took <= archiveTimeout {
				return
			}
			long++
			r.record("client: bbbb%012x ended after %.3f s: status %d, %d bytes, %v", i, took.Seconds(), status, n, err)
			if took > archiveTimeout+500*time.Millisecond {
				late++
			}
		}()
	}
	wg.Wait()
	r.record("%d requests; %d lasted longer than timeoutMs, %d of them had not come to an end 0.5 s after it", all, long, late)
	if late >= 8 && 4*late > long {
		r.breaks("CONFIG: %d of the %d requests that lasted longer than their route's timeoutMs of %s had no final answer 0.5 s after it", late, long, archiveTimeout)
	}
}

// fetchOne plays one client. An answer that breaks off counts as its end.
func fetchOne(r *run, i int) (status int, n int64, took time.Duration, err error) {
	began := time.Now()
	c, err := dial(r.hosts[i%len(r.hosts)].front)
	if err != nil {
		return 0, 0, 0, err
	}
	defer c.Close()
	_, err = fmt.Fprintf(c, "GET /archive/%d HTTP/1.1\r\nHost: %s\r\n"+prefix+"Request-Id: bbbb%012x\r\n"+prefix+"Deadline-Ms: %d\r\n\r\n", i, domain, i, archivePatience.Milliseconds())
	_ = c.SetReadDeadline(began.Add(archivePatience))
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			status = resp.StatusCode
			n, err = io.Copy(io.Discard, resp.Body)
		}
	}
	return status, n, time.Since(began), err
}
