package proof

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// relay forwards TCP connections to one address. It can refuse or cut connections,
// and hold and release the bytes of each direction separately, for all dialling
// hosts or for one.
type relay struct {
	address  string // where the relay listens
	upstream string // where it forwards to

	mu         sync.Mutex
	cond       *sync.Cond
	rules      map[string]rule     // by dialling seat; "" holds the rule for all others
	seatByConn map[net.Conn]string // dialling seat of each open connection
	heldConns  int                 // connections with held bytes; each direction counts separately
}

// rule says how to treat a connection. Held bytes wait until the rule changes; the
// connection itself stays open.
type rule struct {
	refuse       bool // closes new connections and cuts open ones
	holdRequests bool // holds bytes sent to the address
	holdReplies  bool // holds bytes received from the address
}

func startRelay(t *testing.T, upstream string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("relay: got %v, want none", err)
	}
	r := &relay{
		address:    listener.Addr().String(),
		upstream:   upstream,
		rules:      make(map[string]rule),
		seatByConn: make(map[net.Conn]string),
	}
	r.cond = sync.NewCond(&r.mu)
	t.Cleanup(func() {
		_ = listener.Close()
		r.set("", rule{refuse: true})
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forward(conn)
		}
	}()
	return r
}

// set changes the rule for the connections from one seat, or with "" the rule for
// all seats without their own.
func (r *relay) set(from string, newRule rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[from] = newRule
	for conn, seat := range r.seatByConn {
		if r.ruleOf(seat).refuse {
			_ = conn.Close()
		}
	}
	r.cond.Broadcast()
}

func (r *relay) ruleOf(seat string) rule {
	if own, ok := r.rules[seat]; ok {
		return own
	}
	return r.rules[""]
}

// forward takes the dialling seat from the head of the first request, then copies
// in both directions.
func (r *relay) forward(downstream net.Conn) {
	defer func() { _ = downstream.Close() }()
	reader := bufio.NewReader(downstream)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	dialer := request.Header.Get("Seat")
	upstream, err := net.Dial("tcp", r.upstream)
	if err != nil {
		return
	}
	defer func() { _ = upstream.Close() }()
	r.mu.Lock()
	refused := r.ruleOf(dialer).refuse
	r.seatByConn[downstream] = dialer
	r.seatByConn[upstream] = dialer
	r.mu.Unlock()
	defer r.forget(downstream, upstream)
	if refused || request.Write(upstream) != nil {
		return
	}
	repliesDone := make(chan struct{})
	go func() {
		defer close(repliesDone)
		defer func() { _ = downstream.Close() }()
		r.copy(downstream, bufio.NewReader(upstream), dialer, func(now rule) bool { return now.holdReplies })
	}()
	r.copy(upstream, reader, dialer, func(now rule) bool { return now.holdRequests })
	_ = upstream.Close()
	<-repliesDone
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.seatByConn, conn)
	}
}

func (r *relay) copy(to net.Conn, from *bufio.Reader, seat string, isHeld func(rule) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.awaitRelease(seat, isHeld)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) awaitRelease(seat string, isHeld func(rule) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		current := r.ruleOf(seat)
		if current.refuse || !isHeld(current) {
			return
		}
		r.heldConns++
		r.cond.Wait()
		r.heldConns--
	}
}

// countHeld returns the number of connections with held bytes; each direction
// counts separately.
func (r *relay) countHeld() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldConns
}

// split refuses and cuts all connections between the two sides, in both directions.
func split(a, b []*seat) {
	eachPair(a, b, func(from, to *seat) { to.relay.set(string(from.host), rule{refuse: true}) })
}

// heal ends a split.
func heal(a, b []*seat) {
	eachPair(a, b, func(from, to *seat) { to.relay.set(string(from.host), rule{}) })
}

func eachPair(a, b []*seat, do func(from, to *seat)) {
	for _, x := range a {
		for _, y := range b {
			do(x, y)
			do(y, x)
		}
	}
}

// hostNames returns the host ids of the seats, for messages.
func hostNames(seats []*seat) string {
	list := make([]string, 0, len(seats))
	for _, s := range seats {
		list = append(list, string(s.host))
	}
	return strings.Join(list, " ")
}
