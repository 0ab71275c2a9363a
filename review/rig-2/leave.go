package main

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["leave"] = leave }

// leave has a part of the clients leave before their deadline: they end their side of
// the connection and read it to its end, as an orderly close does.
func leave(r *rig) {
	for i, zone := range []string{"a", "b", "c", "a"} {
		r.addBackend([]string{"i-1", "i-2", "i-3", "i-4"}[i], "enquiry", zone, 220*time.Millisecond, 4)
	}
	r.configure([]route{newRoute("fetch", "/fetch/", "idempotent", "enquiry"), newRoute("enquire", "/enquire/", "non_idempotent", "enquiry")}, "enquiry")
	r.addNodes("a", "b", "c")
	r.freePorts()
	r.startAll(3 * time.Second)
	var wg sync.WaitGroup
	for i := range 100 {
		time.Sleep(100 * time.Millisecond)
		n := r.nodes[i%len(r.nodes)]
		method, path, body := "GET", "/fetch/2f", ""
		if i%2 == 1 {
			method, path, body = "POST", "/enquire/2f", "one enquiry"
		}
		leaves := r.trouble && i%10 < 3 // three in ten
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.visit(n, method, path, body, leaves)
		}()
	}
	wg.Wait()
}

func (r *rig) visit(n *node, method, path, body string, leaves bool) {
	id := r.id()
	c, err := dial(n.front())
	check(err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(9 * time.Second))
	_, err = io.WriteString(c, request(method, path, id, 8*time.Second, body))
	check(err)
	if leaves {
		time.Sleep(100 * time.Millisecond)
		r.note("client of %s leaves", id)
		check(c.(*net.TCPConn).CloseWrite())
	}
	a := answer{id: id}
	a.read(bufio.NewReader(c))
	r.note("%s %s, left %t: %s", method, path, leaves, a)
	if a.err != nil || a.status/100 != 2 {
		return
	}
	for _, b := range r.backs {
		if a.stamp() == stamp(b.id, id) && string(a.body) == string(records(b.service, path)) {
			return
		}
	}
	r.breaks("MIXED: request %s got %d without a backend's signature or body", id, a.status)
}
