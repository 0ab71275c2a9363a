package proof

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// relay passes TCP connections on to one address and can cut, hold and
// release what flows, each way for itself, for all dialling hosts or one.
type relay struct {
	address string
	to      string

	mu    sync.Mutex
	cond  *sync.Cond
	rules map[string]rule // by the seat that dials; "" is the rule for all
	open  map[net.Conn]string
	held  int // connections whose bytes wait now, each way for itself
}

// rule says what happens to the bytes of a connection. Held bytes wait until
// the rule changes; the connection itself stands.
type rule struct {
	refuse  bool // new connections are closed and standing ones cut
	holdTo  bool // bytes towards the address wait
	holdOff bool // bytes back from the address wait
}

func startRelay(t *testing.T, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("relay: got %v, want none", err)
	}
	r := &relay{
		address: listener.Addr().String(),
		to:      to,
		rules:   make(map[string]rule),
		open:    make(map[net.Conn]string),
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
			go r.pass(conn)
		}
	}()
	return r
}

// set changes the rule for the connections of one seat, or of all with "".
func (r *relay) set(from string, to rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules[from] = to
	for conn, seat := range r.open {
		if r.ruleOf(seat).refuse {
			_ = conn.Close()
		}
	}
	r.cond.Broadcast()
}

func (r *relay) ruleOf(seat string) rule {
	if one, ok := r.rules[seat]; ok {
		return one
	}
	return r.rules[""]
}

// pass reads the request head to learn which seat dials, then copies both ways.
func (r *relay) pass(in net.Conn) {
	defer func() { _ = in.Close() }()
	reader := bufio.NewReader(in)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	seat := request.Header.Get("Seat")
	out, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	r.mu.Lock()
	refused := r.ruleOf(seat).refuse
	r.open[in] = seat
	r.open[out] = seat
	r.mu.Unlock()
	defer r.forget(in, out)
	if refused || request.Write(out) != nil {
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		defer func() { _ = in.Close() }()
		r.copy(in, bufio.NewReader(out), seat, func(now rule) bool { return now.holdOff })
	}()
	r.copy(out, reader, seat, func(now rule) bool { return now.holdTo })
	_ = out.Close()
	<-back
}

func (r *relay) forget(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range conns {
		delete(r.open, conn)
	}
}

func (r *relay) copy(to net.Conn, from *bufio.Reader, seat string, held func(rule) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			r.awaitRelease(seat, held)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) awaitRelease(seat string, held func(rule) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		now := r.ruleOf(seat)
		if now.refuse || !held(now) {
			return
		}
		r.held++
		r.cond.Wait()
		r.held--
	}
}

// heldNow returns how many connections have bytes that wait, each way for
// itself.
func (r *relay) heldNow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// split cuts every connection between the two sides, both ways.
func split(a, b []*seat) {
	each(a, b, func(from, to *seat) { to.relay.set(string(from.host), rule{refuse: true}) })
}

// heal ends a split.
func heal(a, b []*seat) {
	each(a, b, func(from, to *seat) { to.relay.set(string(from.host), rule{}) })
}

func each(a, b []*seat, do func(from, to *seat)) {
	for _, x := range a {
		for _, y := range b {
			do(x, y)
			do(y, x)
		}
	}
}

// names returns the hosts of the seats, for messages.
func names(seats []*seat) string {
	list := make([]string, 0, len(seats))
	for _, s := range seats {
		list = append(list, string(s.host))
	}
	return strings.Join(list, " ")
}
