package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	// How long a new connection waits for another one to become idle if the bound is
	// reached and all are in use. Then it is closed, so that its caller goes elsewhere.
	roomPatience = 200 * time.Millisecond
	// Least time between two log lines about the bound.
	boundLogInterval = time.Second
	// How long connections may stay idle whose limits are outdated. Callers expect new
	// limits 3 s after their change, of which this host may need 1.5 s to know them.
	renewTime = 1500 * time.Millisecond
)

// callerConns holds the open connections of callers and bounds their number. If a new
// one is over the bound, the one that has been idle for longest is closed.
type callerConns struct {
	timer   *timer.Service
	log     log.Interface
	metrics *Metrics

	mu         sync.Mutex
	bound      int
	open       int
	idle       *list.List    // of *callerConn; the one that has been idle for longest first
	generation int           // rises when the limits of connections change
	oldest     int           // generation before which no connection stays idle
	room       chan struct{} // closed when a connection becomes idle or is closed; nil if nobody waits
	logged     time.Time     // latest log line
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn

	conns      *callerConns
	generation int           // of the limits that its server applies
	element    *list.Element // in conns.idle; nil while a request is read or runs
	closed     bool          // it is closed, or was chosen to be
}

func newCallerConns(timers *timer.Service, logger log.Interface, metrics *Metrics) *callerConns {
	return &callerConns{timer: timers, log: logger, metrics: metrics, bound: callerBound(defaultDescriptors, 0), idle: list.New()}
}

// add takes over an accepted connection. It returns nil, and closes the connection, if
// the bound is reached and no connection becomes idle in time.
func (s *callerConns) add(c net.Conn) *callerConn {
	conn := &callerConn{Conn: c, conns: s}
	patience := s.timer.After(roomPatience)
	defer patience.Stop()
	for {
		victims, room := s.tryAdd(conn)
		for _, v := range victims {
			_ = v.Conn.Close()
		}
		if room == nil {
			return conn
		}
		select {
		case <-room:
		case <-patience.C:
			_ = c.Close()
			s.metrics.callersRejected.Inc()
			return nil
		}
	}
}

// tryAdd adds a connection if there is room for it. It returns idle connections to close,
// and a channel that is closed when there may be room; nil if the connection was added.
func (s *callerConns) tryAdd(conn *callerConn) ([]*callerConn, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var victims []*callerConn
	for s.open >= s.bound && s.idle.Len() > 0 {
		v, _ := s.idle.Front().Value.(*callerConn)
		s.drop(v)
		victims = append(victims, v)
	}
	s.metrics.callersEvicted.Add(len(victims))
	s.logBound(len(victims))
	if s.open >= s.bound {
		if s.room == nil {
			s.room = make(chan struct{})
		}
		return victims, s.room
	}
	s.open++
	conn.element = s.idle.PushBack(conn)
	return victims, nil
}

// logBound logs that the bound is reached, once in a while. The caller holds mu.
func (s *callerConns) logBound(evicted int) {
	if s.open+evicted < s.bound || s.timer.Now().Sub(s.logged) < boundLogInterval {
		return
	}
	s.logged = s.timer.Now()
	s.log.WithFields(log.Fields{"open": s.open, "idle": s.idle.Len(), "bound": s.bound, "evicted": evicted}).
		Warn("callers have as many connections as they may have; closing those that are idle")
}

// drop removes a connection. The caller holds mu.
func (s *callerConns) drop(c *callerConn) {
	if c.closed {
		return
	}
	c.closed = true
	s.open--
	if c.element != nil {
		s.idle.Remove(c.element)
		c.element = nil
	}
	s.announceRoom()
}

// announceRoom wakes the one that waits for room. The caller holds mu.
func (s *callerConns) announceRoom() {
	if s.room != nil {
		close(s.room)
		s.room = nil
	}
}

// stamp records that a connection gets the limits that are in force now, or later ones.
func (s *callerConns) stamp(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.generation = s.generation
}

// renew has the connections that were stamped so far closed after their next answer, and
// after renewTime those that are idle by then.
func (s *callerConns) renew() {
	s.mu.Lock()
	s.generation++
	current := s.generation
	s.mu.Unlock()
	s.timer.Call(renewTime, func() { s.closeBefore(current) })
}

// closeBefore closes the idle connections of generations before one. Those in use are
// closed when they become idle.
func (s *callerConns) closeBefore(generation int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = max(s.oldest, generation)
	for e := s.idle.Front(); e != nil; {
		c, _ := e.Value.(*callerConn)
		e = e.Next()
		if c.generation < s.oldest {
			s.drop(c)
			_ = c.Conn.Close()
		}
	}
}

// setBound sets the most connections.
func (s *callerConns) setBound(bound int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bound = bound
	s.announceRoom()
}

// mayStay reports whether a connection may be kept after its request: its limits are in
// force, and there is room.
func (s *callerConns) mayStay(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return c.generation == s.generation && float64(s.open) < crowdedShare*float64(s.bound)
}

// count returns how many connections are open.
func (s *callerConns) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// begin records that a connection is in use. It returns false if the connection was
// chosen to be closed: a request that arrives then must not be run, since it would get
// no answer.
func (c *callerConn) begin() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.element != nil {
		c.conns.idle.Remove(c.element)
		c.element = nil
	}
	return !c.closed
}

// errClosedRead is what a read of a closed connection returns. The HTTP server answers
// other errors with 400, and the connection may still be open.
var errClosedRead = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read reads from the connection, which is in use from the first byte of a request.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.begin() {
		return 0, errClosedRead
	}
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.conns.mu.Lock()
	c.conns.drop(c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that the caller can read the end of an answer
// before the connection is reset.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// observe follows the state of a connection at its HTTP server.
func (c *callerConn) observe(state http.ConnState) {
	s := c.conns
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		s.idled(c)
	case http.StateHijacked:
		s.drop(c)
	case http.StateNew, http.StateActive, http.StateClosed: // Read and Close record these
	}
}

// idled records that a connection is idle, and closes it if its limits are outdated for
// too long. The caller holds mu.
func (s *callerConns) idled(c *callerConn) {
	if c.closed || c.element != nil {
		return
	}
	if c.generation < s.oldest {
		s.drop(c)
		_ = c.Conn.Close()
		return
	}
	c.element = s.idle.PushBack(c)
	s.announceRoom()
}
