package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

const (
	lostDeadline = 8 * time.Second
	lostClients  = 18 // of each zone
	lostRounds   = 5
	// A zone is evacuated this long after the start of a round, its host is stopped a
	// little later, and the evacuation is taken back when the host is up again.
	calmBefore    = 4 * time.Second
	beforeTerm    = 400 * time.Millisecond
	betweenTerms  = time.Second // gap_s of roll_term
	evacuationFor = 9 * time.Second
	afterRound    = 3 * time.Second
)

// lost evacuates a zone and then stops the host of that zone, as for planned work on it,
// while clients send requests that must not run twice.
func lost(root string, rec *record, trouble bool) int {
	folder, err := os.MkdirTemp("", "review-lost")
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(folder) }()
	pool := newAddressPool()
	zones := []string{"a", "b", "c", "d"}
	machines := slices.Concat(zones, zones) // two in each zone
	s, err := newStore(pool.next())
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	book := &ledger{}
	for _, zone := range zones {
		b, err := newBackend(pool.next(), backendSpec{
			ID: "i-" + zone, Service: "desk", Zone: zone, Slots: 4, Queue: 16, MaxConns: 44,
			Work: func() time.Duration { return time.Duration(80+rand.IntN(160)) * time.Millisecond },
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
			"name": "r-desk", "host": domain, "prefix": "/desk/", "kind": "non_idempotent", "timeoutMs": 8000, "targetLatencyMs": 600,
			"priority": 1, "attempts": 2, "service": "desk",
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 44, "warmupS": 3, "warmupPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000},
	})
	hosts, err := newHosts(pool, root, folder, filepath.Join(root, "target/bin/gateway"), s.address, machines)
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
	roundLength := calmBefore + evacuationFor + afterRound
	end := time.Now().Add(lostRounds * roundLength)
	var clients []*client
	var group sync.WaitGroup
	for _, zone := range zones {
		for range lostClients {
			c := &client{
				number: len(clients), zone: zone, hosts: hosts, deadline: lostDeadline, method: http.MethodPost, path: "/desk/",
				think: func() time.Duration { return time.Duration(rand.IntN(60)) * time.Millisecond },
			}
			clients = append(clients, c)
			group.Go(func() { c.loop(end) })
		}
	}
	rec.event("traffic begins: %d clients, %d hosts, trouble %v", len(clients), len(hosts), trouble)
	if trouble {
		for round := range lostRounds {
			time.Sleep(calmBefore)
			zone := zones[round%len(zones)]
			s.put("op/evacuate/"+zone, map[string]any{})
			evacuated := time.Now()
			rec.event("zone %s is evacuated (acknowledged)", zone)
			time.Sleep(beforeTerm)
			for _, h := range hosts {
				if h.zone == zone {
					h.term()
					rec.event("SIGTERM to %s", h.name)
					time.Sleep(betweenTerms)
				}
			}
			time.Sleep(time.Until(evacuated.Add(evacuationFor)))
			s.remove("op/evacuate/" + zone)
			rec.event("the evacuation of zone %s is taken back", zone)
			time.Sleep(afterRound)
		}
	}
	group.Wait()
	return judgeLost(rec, hosts, clients, book)
}

// judgeLost applies the rule LOST, around a SIGTERM of the machine that took the request.
func judgeLost(rec *record, hosts []*host, clients []*client, book *ledger) int {
	counts := make(map[string]int)
	var tries []try
	for _, c := range clients {
		tries = append(tries, c.all()...)
	}
	slices.SortFunc(tries, func(a, b try) int { return a.Ended.Compare(b.Ended) })
	violations, twice := 0, 0
	rec.add("")
	rec.add("What broke the rule, or ended without an answer:")
	for _, t := range tries {
		outcome := t.Outcome
		if t.Status != 0 {
			outcome = fmt.Sprint(t.Status)
		}
		counts[outcome]++
		runs := book.of(t.ID)
		if len(runs) > 1 {
			twice++
			rec.add("TWICE %s ran %d times: %v", t.ID, len(runs), runs)
		}
		if t.Status != 0 || t.Sent.IsZero() {
			continue
		}
		i := slices.IndexFunc(hosts, func(h *host) bool { return h.front == t.Front })
		if i < 0 {
			continue
		}
		verdict := lostVerdict(hosts[i], t, runs)
		rec.add("%s  request %s of client %d to %s, sent at %s, ended without an answer (%s): %s; runs at back ends: %s",
			stamp(t.Ended), t.ID, t.Client, hosts[i].name, stamp(t.Sent), t.Outcome, verdict, describe(runs))
		if verdict == "LOST" {
			violations++
			for _, line := range hosts[i].out.lines(t.ID) {
				rec.add("    log of %s: %s", hosts[i].name, line)
			}
		}
	}
	for _, h := range hosts {
		h.mu.Lock()
		for _, e := range h.ends {
			rec.add("process ended: %s", e)
		}
		h.mu.Unlock()
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
	rec.event("%d tries; outcomes %v; LOST %d; run twice %d", len(tries), counts, violations, twice)
	switch {
	case violations > 0 || twice > 0:
		return broken
	case counts["200"] < 1000:
		fmt.Println("too few requests were served for a verdict")
		return cannotRun
	}
	return held
}

// lostVerdict says whether a request whose connection ended without an answer counts.
func lostVerdict(h *host, t try, runs []run) string {
	term, ok := h.termBefore(t.Ended)
	switch {
	case !ok || t.Ended.Sub(term) > grace+time.Second:
		return "not around planned work"
	case t.Ended.Sub(t.Sent) >= min(t.Deadline, 8*time.Second)-50*time.Millisecond:
		return "its deadline was reached"
	case len(runs) == 0 && t.Ended.Sub(t.Sent) <= lossSlack:
		return "it crossed the close"
	}
	for _, r := range runs {
		atWork := r.End.IsZero() || r.End.After(term.Add(grace*5/6))
		if atWork && t.Sent.Sub(term) <= 3*time.Second {
			return "its back end was still at work in the last sixth of the grace time"
		}
	}
	return "LOST"
}

func describe(runs []run) string {
	if len(runs) == 0 {
		return "none"
	}
	text := ""
	for _, r := range runs {
		text += fmt.Sprintf("%s from %s to %s with %d; ", r.Backend, stamp(r.Began), stamp(r.End), r.Status)
	}
	return text
}
