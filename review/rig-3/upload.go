package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// cases are the plays by name.
var cases = map[string]func(r *run){"upload": upload}

// uploads is how many clients send a long body and then another request on the same
// connection.
const uploads = 12

// upload: all back ends of one service are down while slow clients send long bodies to
// it. The request that a client sends after that on the same connection goes to a service
// whose back ends are well. Its answer has to be its own.
func upload(r *run) {
	ip := r.ip()
	desk := []*backend{newBackend(r, ip, "i-desk1", "upload-desk", "zone-a"), newBackend(r, ip, "i-desk2", "upload-desk", "zone-b")}
	newBackend(r, ip, "i-archive1", "archive", "zone-a")
	newBackend(r, ip, "i-archive2", "archive", "zone-b")
	r.configure(7, 1<<20, []map[string]any{
		route("r-upload", "/upload/", "non_idempotent", "upload-desk", nil),
		route("r-archive", "/archive/", "non_idempotent", "archive", nil),
	}, "upload-desk", "archive")
	r.start("zone-a", "zone-b", "zone-c")
	r.awaitReady()
	if r.trouble {
		for _, b := range desk {
			b.crash()
		}
		time.Sleep(6 * time.Second)
	}
	own, foreign := 0, 0
	for i := range uploads {
		status, mixed := uploadOne(r, i)
		if status == 400 || status == 404 {
			own++
		}
		if mixed {
			foreign++
		}
	}
	for _, a := range r.runs() {
		if !strings.HasPrefix(a.id, "aaaa") {
			r.breaks("UNASKED: backend %s of %s ran %s (%s %s), which no client sent", a.backend, a.service, a.id, a.method, a.uri)
		}
	}
	if foreign > 0 {
		r.breaks("MIXED: %d of %d clients got an answer that belongs to another request", foreign, uploads)
	}
	if all := 2 * uploads; 500*own > 5*500+all {
		r.breaks("DENIED: %d of %d requests were ended with 400 or 404 though they are proper and the configuration allows them", own, all)
	}
}

// uploadOne plays one client. It returns the status of the second request, and whether
// its answer belongs to another request.
func uploadOne(r *run, i int) (int, bool) {
	host := r.hosts[i%len(r.hosts)]
	c, err := dial(host.front)
	r.must(err)
	defer c.Close()
	// A log, sent in two pieces with a pause between them: the client has a slow link.
	first := strings.Repeat("- a line of the log of an exhibition\n", 8000)
	rest := strings.Repeat("- the last lines, a little later\n", 20)
	upload, query := fmt.Sprintf("aaaa%012x", 2*i+1), fmt.Sprintf("aaaa%012x", 2*i+2)
	_, err = fmt.Fprintf(c, "POST /upload/log%d HTTP/1.1\r\nHost: %s\r\n"+prefix+"Request-Id: %s\r\n"+prefix+"Deadline-Ms: 8000\r\nContent-Length: %d\r\n\r\n%s",
		i, domain, upload, len(first)+len(rest), first)
	r.must(err)
	time.Sleep(900 * time.Millisecond)
	_, err = io.WriteString(c, rest)
	r.record("client %d: sent POST %s to %s with %d bytes, the last %d of them after 0.9 s: %v", i, upload, host.name, len(first)+len(rest), len(rest), err)
	reader := bufio.NewReader(c)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		r.record("client %d: no answer to %s: %v", i, upload, err)
		return 0, false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	r.record("client %d: answer to %s: %d, Connection: close %t", i, upload, resp.StatusCode, resp.Close)
	if resp.Close {
		return 0, false // the client opens another connection for its next request
	}
	// The body is sent and its answer is read, so the connection is free for the next request.
	_, err = fmt.Fprintf(c, "POST /archive/%d HTTP/1.1\r\nHost: %s\r\n"+prefix+"Request-Id: %s\r\n"+prefix+"Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nnote", i, domain, query)
	r.record("client %d: sent POST %s on the same connection: %v", i, query, err)
	resp, err = http.ReadResponse(reader, nil)
	if err != nil {
		r.record("client %d: no answer to %s: %v", i, query, err)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			r.record("client %d: the connection hangs", i)
		}
		return 0, false
	}
	body, _ := io.ReadAll(resp.Body)
	sig := resp.Header.Get(prefix + "Server-Stamp")
	r.record("client %d: answer to %s: %d, stamp %q, %q", i, query, resp.StatusCode, sig, bytes.TrimSpace(body))
	known := sig == stamp("i-archive1", query) || sig == stamp("i-archive2", query)
	// A failure of the gateway's own that it may give to this request is 429, 502, 503 or 504.
	ownFailure := sig == "" && (resp.StatusCode == 429 || resp.StatusCode >= 502 && resp.StatusCode <= 504)
	return resp.StatusCode, !known && !ownFailure
}
