package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["grey"] = grey }

// greyTime is how long a backend fails a part of its requests.
const greyTime = 6500 * time.Millisecond

// grey has one of six backends fail a part of the requests that it runs, with 503 and
// without the header that says that a request was not run. It happens to four of them
// in turn.
func grey(r *rig) {
	for i := range 6 {
		r.addBackend(fmt.Sprintf("i-%d", i), "enquiry", []string{"a", "b", "c"}[i%3], 20*time.Millisecond, 4)
	}
	r.configure([]route{newRoute("enquire", "/enquire/", "non_idempotent", "enquiry")}, "enquiry")
	r.addNodes("a", "b", "c")
	r.freePorts()
	r.startAll(3 * time.Second)
	var wg sync.WaitGroup
	for i, b := range r.backs[:4] {
		b.fail(r.trouble)
		r.note("%s fails a part of its requests: %t", b.id, r.trouble)
		for end := time.Now().Add(greyTime); time.Now().Before(end); i++ {
			time.Sleep(25 * time.Millisecond)
			n := r.nodes[i%len(r.nodes)]
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.enquire(n)
			}()
		}
		b.fail(false)
	}
	wg.Wait()
}

// fail has the backend fail 0.4 of its requests, or none any more.
func (b *backend) fail(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.status = nil
	if on {
		b.status = func(string) int {
			if rand.Float64() < 0.4 {
				return http.StatusServiceUnavailable
			}
			return http.StatusOK
		}
	}
}

// enquire sends one enquiry, and once more if the answer says that it was not run.
func (r *rig) enquire(n *node) {
	for range 2 {
		id := r.id()
		a := send(n.front(), "POST", "/enquire/2f", id, 8*time.Second, "one enquiry")
		r.note("POST /enquire/2f %s", a)
		if a.err != nil || a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(100 * time.Millisecond)
		for _, b := range r.backs {
			for _, run := range b.ran() {
				if run.id == id {
					r.breaks("REFUSED: request %s was answered %d, and %s has run it", id, a.status, b.id)
				}
			}
		}
	}
}
