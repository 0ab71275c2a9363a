package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func init() { cases["attempts"] = attempts }

// attempts has backends lose the answers of requests that they ran, while single
// processes of the system are killed. All shards have three backends in one zone, and
// callers come to the machines of another, which query the shards through a helper.
func attempts(r *rig) {
	const shards, replicas = 10, 3
	var gather, services []string
	for i := range shards {
		name := fmt.Sprintf("shard%d", i)
		gather, services = append(gather, name), append(services, name)
		for j := range replicas {
			r.addBackend(fmt.Sprintf("i-%d%d", i, j), name, "a", 100*time.Millisecond, 6)
		}
	}
	r.configure([]route{{
		"name": "browse", "host": host, "prefix": "/browse/", "kind": "idempotent", "gather": gather, "attempts": 2, "timeoutMs": 2000,
		"targetLatencyMs": 1000, "priority": 1, "topK": 50, wire("@coverage"): 0.75,
	}}, services...)
	r.addNodes("a", "b", "c")
	r.freePorts()
	r.startAll(3 * time.Second)
	loses := func(on bool) {
		for i, b := range r.backs {
			b.mu.Lock()
			b.lose = nil
			if on && i%2 == 0 { // half of them
				b.lose = func() bool { return rand.Float64() < 0.4 }
			}
			b.mu.Unlock()
		}
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 14 {
			if r.trouble {
				r.note("answers are lost")
				loses(true)
			}
			time.Sleep(2 * time.Second)
			if r.trouble {
				r.signal(r.nodes[0], syscall.SIGKILL)
				<-r.nodes[0].ended
				time.Sleep(500 * time.Millisecond)
				r.startNode(r.nodes[0])
				loses(false)
			}
			time.Sleep(3500 * time.Millisecond)
		}
		close(stop)
	}()
	var wg sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			<-done
			r.judgeAttempts()
			return
		case <-time.After(10 * time.Millisecond):
		}
		n := r.nodes[1+i%2]
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := send(n.front(), "GET", "/browse/2f", r.id(), 2*time.Second, "")
			r.note("GET by %s: %s", n.name, a)
		}()
	}
}

// judgeAttempts counts the requests that ran on more than two backends of a shard.
func (r *rig) judgeAttempts() {
	ran := make(map[string]map[string][]string)
	for _, b := range r.backs {
		for _, run := range b.ran() {
			if ran[run.id] == nil {
				ran[run.id] = make(map[string][]string)
			}
			ran[run.id][b.service] = append(ran[run.id][b.service], fmt.Sprintf("%s at %.3f", b.id, run.at.Sub(r.start).Seconds()))
		}
	}
	over := 0
	for id, byService := range ran {
		for service, runs := range byService {
			if len(runs) > 2 {
				over++
				r.note("request %s ran on %d backends of %s: %v", id, len(runs), service, runs)
				break
			}
		}
	}
	r.note("%d requests ran on more than two backends of a shard", over)
	if over > 3 {
		r.breaks("BUDGET: %d requests ran on more backends of a shard than the two attempts of their route", over)
	}
}
