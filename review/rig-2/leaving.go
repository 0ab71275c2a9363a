package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["leaving"] = leaving }

// How long the store is down, when the backend begins to leave after that, and drainMs.
const (
	storeDown  = 4500 * time.Millisecond
	leaveAfter = 500 * time.Millisecond
	drainTime  = 3 * time.Second
)

// leaving has one of six backends leave while the store is down. The backend says so in
// its answers, and reports it to the store as soon as that is back.
func leaving(r *rig) {
	for i := range 6 {
		r.addBackend(fmt.Sprintf("i-%d", i), "enquiry", []string{"a", "b", "c"}[i%3], 20*time.Millisecond, 4)
	}
	r.configure([]route{newRoute("fetch", "/fetch/", "idempotent", "enquiry")}, "enquiry")
	r.addNodes("a", "b", "c")
	r.freePorts()
	r.startAll(5 * time.Second)
	target := r.backs[0]
	go func() {
		time.Sleep(time.Second)
		if r.trouble {
			r.note("store is down")
			for _, n := range r.nodes {
				n.gate.setCut(true)
			}
		}
		time.Sleep(leaveAfter)
		r.note("%s begins to leave", target.id)
		target.leave()
		if r.trouble {
			time.Sleep(storeDown - leaveAfter)
			for _, n := range r.nodes {
				n.gate.setCut(false)
			}
			r.note("store is back")
		}
		target.register(r.store, "draining")
		r.note("store has accepted that %s is draining", target.id)
	}()
	var wg sync.WaitGroup
	var mu sync.Mutex
	said := make(map[*node]time.Time) // first answer with Server-Leaving that a machine passed on
	sent := make(map[string]time.Time)
	by := make(map[string]*node)
	for i := range 540 {
		time.Sleep(16 * time.Millisecond)
		n := r.nodes[i%len(r.nodes)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := r.id()
			mu.Lock()
			sent[id], by[id] = time.Now(), n
			mu.Unlock()
			a := send(n.front(), "GET", "/fetch/2f", id, 8*time.Second, "")
			r.note("GET by %s: %s", n.name, a)
			if a.header.Get("Server-Leaving") == "" {
				return
			}
			mu.Lock()
			if said[n].IsZero() {
				said[n] = time.Now()
				r.note("%s has passed on Server-Leaving of %s", n.name, target.id)
			}
			mu.Unlock()
		}()
	}
	wg.Wait()
	for _, run := range target.ran() {
		n := by[run.id]
		if first := said[n]; !first.IsZero() && sent[run.id].Sub(first) > drainTime {
			r.breaks("DRAIN: request %s, sent %d ms after %s had passed on Server-Leaving of %s, reached it from there",
				run.id, sent[run.id].Sub(first).Milliseconds(), n.name, target.id)
		}
	}
}
