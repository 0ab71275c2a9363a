package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	crowdMachines = 8
	crowdMaxFds   = 4100 // limits.maxFds of the settings
	crowdClients  = 5000 // in all; 625 connections a machine while all machines run
	crowdBackends = 24
	// Clients reuse connections that were idle for up to four fifths of idleTimeoutMs.
	crowdIdle     = 15 * time.Second
	crowdDeadline = 8 * time.Second
	crowdRamp     = 11 * time.Second        // in which the clients arrive
	crowdCalm     = 12 * time.Second        // from their arrival until the first machine is stopped
	crowdGap      = 1300 * time.Millisecond // gap_s of roll_term
	crowdAfter    = 35 * time.Second        // from the first SIGTERM on
	crowdOwnFds   = 10000                   // descriptors that this program needs
	lostAllowed   = 3
)

// crowd removes all machines but one, one after the other, as an operator does who makes
// a deployment smaller, while the clients keep their connections.
func crowd(root string, rec *record, trouble bool) int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < crowdOwnFds {
		fmt.Println("this program may not open enough descriptors:", limit.Cur, err)
		return cannotRun
	}
	folder, err := os.MkdirTemp("", "review-crowd")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	pool := newAddressPool()
	zones := []string{"a", "b", "c", "d"}
	machines := slices.Concat(zones, zones)
	s, err := newStore(pool.next())
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	book := &ledger{}
	for i := range crowdBackends {
		b, err := newBackend(pool.next(), backendSpec{
			ID: fmt.Sprintf("i-%02d", i), Service: "finder", Zone: zones[i%len(zones)], Slots: 4, Queue: 16, MaxConns: 110,
			Work: func() time.Duration { return time.Duration(50+rand.IntN(100)) * time.Millisecond },
		}, book)
		if err != nil {
			fmt.Println(err)
			return cannotRun
		}
		b.register(s, 1, "ready")
	}
	s.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-finder", "host": domain, "prefix": "/finder/", "kind": "idempotent", "timeoutMs": 8000, "targetLatencyMs": 800,
			"priority": 1, "attempts": 2, "service": "finder",
		}},
		"services": []any{map[string]any{"name": "finder", "healthPath": "/healthz", "maxConns": 110, "warmupS": 3, "warmupPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": crowdIdle.Milliseconds()},
	})
	hosts, err := newHosts(pool, root, folder, filepath.Join(root, "target/bin/gateway"), s.address, machines)
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer quitAll()
	for _, h := range hosts {
		h.maxFds = crowdMaxFds
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
	start := time.Now()
	end := start.Add(crowdRamp + crowdCalm + crowdAfter)
	var clients []*client
	var group sync.WaitGroup
	for i := range crowdClients {
		c := &client{
			number: i, zone: zones[i%len(zones)], hosts: hosts, deadline: crowdDeadline, method: http.MethodGet, path: "/finder/",
			think: func() time.Duration { return crowdIdle*9/15 + rand.N(crowdIdle*3/15) },
		}
		clients = append(clients, c)
		group.Go(func() {
			time.Sleep(time.Duration(i) * crowdRamp / crowdClients)
			c.persist(end)
		})
	}
	rec.event("traffic begins: %d clients, %d hosts, trouble %v", len(clients), len(hosts), trouble)
	time.Sleep(crowdRamp + crowdCalm)
	if trouble {
		for _, h := range hosts[1:] {
			h.leave()
			rec.event("SIGTERM to %s, which leaves", h.name)
			time.Sleep(crowdGap)
		}
	}
	group.Wait()
	return judgeCrowd(rec, hosts, clients, book)
}

// judgeCrowd applies the rule LOST, at any time, to the machine that is left alone.
func judgeCrowd(rec *record, hosts []*host, clients []*client, book *ledger) int {
	h := hosts[0]
	counts := make(map[string]int)
	var tries []try
	for _, c := range clients {
		tries = append(tries, c.all()...)
	}
	slices.SortFunc(tries, func(a, b try) int { return a.Ended.Compare(b.Ended) })
	violations := 0
	for _, t := range tries {
		switch {
		case t.Status != 0:
			counts[fmt.Sprint(t.Status)]++
			continue
		case t.Sent.IsZero():
			counts["no connection"]++
			continue
		}
		counts["ended without an answer"]++
		runs := book.of(t.ID)
		early := t.Ended.Sub(t.Sent) < min(t.Deadline, 8*time.Second)-50*time.Millisecond
		if t.Front == h.front && t.Kept && len(runs) > 0 && early {
			violations++
			rec.add("%s  LOST request %s of client %d on a kept connection to %s, sent at %s; runs at back ends: %s",
				stamp(t.Ended), t.ID, t.Client, h.name, stamp(t.Sent), describe(runs))
		}
	}
	crashes := 0
	for _, x := range hosts {
		x.mu.Lock()
		for _, e := range x.ends {
			rec.add("process ended: %s", e)
			if x == h {
				crashes++
			}
		}
		x.mu.Unlock()
	}
	for _, line := range h.out.lines("too many open files") {
		rec.add("output of %s: %s", h.name, line)
	}
	rec.add("")
	rec.add("All tries: when sent, id, to which address, when ended, status or outcome, runs at back ends:")
	for _, t := range tries {
		outcome := t.Outcome
		if t.Status != 0 {
			outcome = fmt.Sprint(t.Status)
		}
		sent := "not sent  "
		if !t.Sent.IsZero() {
			sent = stamp(t.Sent)
		}
		rec.add("%s %s %s %s %s; %s", sent, t.ID, t.Front, stamp(t.Ended), outcome, describe(book.of(t.ID)))
	}
	rec.event("%d tries; outcomes %v; %s ended by itself %d times; LOST %d (%d are allowed)", len(tries), counts, h.name, crashes, violations, lostAllowed)
	switch {
	case violations > lostAllowed:
		return broken
	case counts["200"] < 1000:
		fmt.Println("too few requests were served for a verdict")
		return cannotRun
	}
	return held
}
