package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const domain = "pupu76.example"

// try is one client attempt.
type try struct {
	ID       string
	Client   int
	Front    string
	Sent     time.Time // when the last byte of the request was sent; zero if it was not
	Ended    time.Time
	Deadline time.Duration
	Kept     bool   // the connection had carried another request before
	Status   int    // 0: no complete answer
	Outcome  string // "answered", or how the connection ended
}

// client sends requests one after another over a kept connection, as the users' pages
// describe a client.
type client struct {
	number   int
	zone     string
	hosts    []*host
	deadline time.Duration
	think    func() time.Duration
	method   string
	path     string

	addrs  []string
	fresh  time.Time // until when addrs count
	failed map[string]time.Time
	conn   net.Conn
	reader *bufio.Reader
	front  string
	used   bool // the connection has carried a request

	mu    sync.Mutex
	tries []try
}

// failedFor is how long a client leaves an address that has failed it.
const failedFor = 3 * time.Second

func (c *client) lookUp() {
	if time.Now().Before(c.fresh) {
		return
	}
	order := slices.Clone(c.hosts)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b *host) int { return boolInt(b.zone == c.zone) - boolInt(a.zone == c.zone) })
	for _, h := range order[:min(3, len(order))] {
		addrs, ttl, err := h.resolve(c.zone)
		if err != nil {
			continue
		}
		c.addrs, c.fresh = addrs, time.Now().Add(ttl)
		if c.conn != nil && !slices.Contains(addrs, c.front) {
			c.drop()
		}
		return
	}
	c.fresh = time.Now().Add(time.Second)
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.reader = nil, nil
}

// connect opens a connection to one of the addresses, other than those that failed.
func (c *client) connect() bool {
	var usable []string
	for _, a := range c.addrs {
		if time.Since(c.failed[a]) > failedFor {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addrs
	}
	if len(usable) == 0 {
		return false
	}
	c.front = usable[rand.IntN(len(usable))]
	conn, err := dialTCP("tcp4", c.front, time.Second)
	if err != nil {
		c.failed[c.front] = time.Now()
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// attempt sends one request and waits for its answer.
func (c *client) attempt(left time.Duration) (try, float64) {
	t := try{ID: fmt.Sprintf("%016x", rand.Uint64()), Client: c.number, Deadline: left}
	if c.conn == nil && !c.connect() {
		t.Ended, t.Outcome = time.Now(), "no connection"
		return t, 0
	}
	t.Front, t.Kept = c.front, c.used
	c.used = true
	body := ""
	if c.method == http.MethodPost {
		body = "order of " + t.ID
	}
	request := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		c.method, c.path, t.ID[:6], domain, names.Request, t.ID, names.Deadline, left.Milliseconds(), len(body), body)
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(left))
	if _, err := io.WriteString(c.conn, request); err != nil {
		t.Ended, t.Outcome = time.Now(), "write: "+err.Error()
		c.drop()
		return t, 0
	}
	t.Sent = time.Now()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: c.method})
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	t.Ended = time.Now()
	if err != nil {
		t.Outcome = "read: " + err.Error()
		c.failed[c.front] = t.Ended
		c.drop()
		return t, 0
	}
	t.Status, t.Outcome = resp.StatusCode, "answered"
	if resp.Close {
		c.drop()
	}
	after, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return t, after
}

// loop sends requests until end. After a promise that a request has not run, it tries
// once more, over a new connection.
func (c *client) loop(end time.Time) {
	c.failed = make(map[string]time.Time)
	for time.Now().Before(end) {
		began := time.Now()
		c.lookUp()
		for range 2 {
			left := c.deadline - time.Since(began)
			t, after := c.attempt(left)
			c.mu.Lock()
			c.tries = append(c.tries, t)
			c.mu.Unlock()
			if t.Status != http.StatusServiceUnavailable && t.Status != http.StatusTooManyRequests {
				break
			}
			wait := time.Duration(after * float64(time.Second))
			if wait > left/3 {
				break
			}
			time.Sleep(wait)
			c.drop()
		}
		time.Sleep(c.think())
	}
	c.drop()
}

// persist sends requests that may be repeated until end. After a failure of any kind it
// tries again, over a new connection, a few times within its deadline.
func (c *client) persist(end time.Time) {
	c.failed = make(map[string]time.Time)
	for time.Now().Before(end) {
		began := time.Now()
		for range maxTries {
			c.lookUp()
			left := c.deadline - time.Since(began)
			if left <= 0 {
				break
			}
			t, after := c.attempt(left)
			c.mu.Lock()
			c.tries = append(c.tries, t)
			c.mu.Unlock()
			if t.Status == http.StatusOK {
				break
			}
			c.drop()
			time.Sleep(max(time.Duration(after*float64(time.Second)), retryPause))
		}
		time.Sleep(c.think())
	}
	c.drop()
}

const (
	maxTries   = 8
	retryPause = time.Second
)

func (c *client) all() []try {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tries)
}
