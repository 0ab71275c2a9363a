package origin

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/tcp"
)

// maxMismatched is the number of answers to earlier requests that are skipped
// on a connection before it is closed.
const maxMismatched = 2

// maxHeadBytes bounds the heads of an answer: the final one and all interim ones.
const maxHeadBytes = 64 << 10

var (
	errMismatch = errors.New("the target's answer belongs to another request")
	// ErrTooLong means that the head or the body of an answer is too long.
	ErrTooLong = errors.New("the target's answer is too long")
)

// Do makes one attempt to send the request. When ctx ends, it closes the
// connection, which cancels the request at the target.
func (p *Pool) Do(ctx context.Context, req Request, attempt Attempt) Result {
	start := p.Timer.Now()
	l, c, err := p.connection(ctx, start, req, attempt)
	if err != nil {
		return Result{Target: attempt.Target, Err: err, Took: p.Timer.Now().Sub(start)}
	}
	connected := p.Timer.Now()
	if attempt.OnSend != nil {
		attempt.OnSend()
	}
	attempt.Timeout -= connected.Sub(start)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result := p.roundTrip(c, req, attempt)
	l.endUse(c)
	interrupted := !stop()
	if ctx.Err() != nil && result.Status == 0 {
		result.Err = errors.CombineErrors(errCanceled, context.Cause(ctx))
	}
	result.Target, result.Took = attempt.Target, p.Timer.Now().Sub(connected)
	switch {
	case interrupted || result.Status == 0:
		if result.Tail != nil {
			result.Tail.release()
		}
		l.discard(c)
	case result.Tail != nil:
		result.Tail.bind(ctx, func(complete bool) {
			result.Tail.release()
			if !complete {
				l.discard(c)
				return
			}
			p.reuseAfterWrite(l, c)
		})
	default:
		p.reuseAfterWrite(l, c)
	}
	return result
}

// connection returns a connection over which the request may be sent, and its list.
func (p *Pool) connection(ctx context.Context, now time.Time, req Request, attempt Attempt) (*connList, *conn, error) {
	l, err := p.connsTo(attempt.Target)
	if err != nil {
		return nil, nil, err
	}
	c, err := l.acquire(ctx, now, acquireParams{
		priority: req.Priority, maxOpen: attempt.MaxConnections, maxWaiting: attempt.MaxWaiting, withdraw: attempt.Withdraw,
	})
	if err != nil {
		return nil, nil, err
	}
	if err := l.use(c, p.Timer.Now(), attempt.Withdraw); err != nil {
		l.put(c)
		return nil, nil, err
	}
	return l, c, nil
}

// reuseAfterWrite returns a connection for reuse once the request body is fully
// written: a target that answers early may still be reading the body. The end of
// a write that is almost done is awaited, so that the next request finds the
// connection.
func (p *Pool) reuseAfterWrite(l *connList, c *conn) {
	if c.writeDone == nil {
		p.reuseOrClose(l, c)
		return
	}
	settle := p.Timer.After(writeSettleTime)
	defer settle.Stop()
	select {
	case err := <-c.writeDone:
		p.reuseWritten(l, c, err)
		return
	case <-settle.C:
	}
	_ = c.SetWriteDeadline(p.Timer.Now().Add(lateWriteTimeout))
	go func() { p.reuseWritten(l, c, <-c.writeDone) }()
}

// reuseWritten returns a connection for reuse after its request body was written
// with the given result.
func (p *Pool) reuseWritten(l *connList, c *conn, err error) {
	if err != nil {
		c.noReuse = true
	}
	c.writeDone = nil
	p.reuseOrClose(l, c)
}

// reuseOrClose returns a connection for reuse after a complete answer, or closes
// it if it cannot carry another request.
func (p *Pool) reuseOrClose(l *connList, c *conn) {
	if c.noReuse || c.reader.Buffered() > 0 {
		l.discard(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSince = p.Timer.Now()
	l.put(c)
}

// lateWriteTimeout is how long a target that has answered early may take to read
// the rest of the request.
const lateWriteTimeout = 5 * time.Second

// writeSettleTime is how long a complete answer waits for the end of the write of
// its request, which the target has usually read whole by then.
const writeSettleTime = 10 * time.Millisecond

// roundTrip writes the request and reads its answer. A long body is written
// while the answer is read, since a target may answer before it has read all of
// the body.
func (p *Pool) roundTrip(c *conn, req Request, attempt Attempt) Result {
	if req.Stream != nil && req.Stream.started.Swap(true) {
		return Result{Err: errStreamUsed}
	}
	newConnection := !c.used
	c.used = true
	head := p.head(req, attempt)
	if len(req.Body) <= maxInlineBody && req.Stream == nil {
		_, err := c.Write(append(head, req.Body...))
		if err != nil {
			// The target may have refused the request before reading all of
			// it, so its answer is still read.
			result := p.readMatching(c, req, attempt.Target)
			result.Sent, result.NewConnection, c.noReuse = true, newConnection, true
			return result
		}
		result := p.readMatching(c, req, attempt.Target)
		result.Sent, result.NewConnection = true, newConnection
		return result
	}
	written := make(chan error, 1)
	go func() { written <- writeBody(c, head, req) }()
	c.writeDone = written
	result := p.readMatching(c, req, attempt.Target)
	result.Sent, result.NewConnection = true, newConnection
	return result
}

// maxInlineBody is the largest body that is written before the answer is read.
// It fits in a connection's send buffer.
const maxInlineBody = 8 << 10 // bytes

// head returns the request line and the header fields.
func (p *Pool) head(req Request, attempt Attempt) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	header := req.Header.Clone()
	p.Dialect.Order(header, magnoliashore.TargetParams{Timeout: attempt.Timeout, Target: attempt.Target.ID()})
	switch {
	case req.Stream != nil && req.Stream.length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case req.Stream != nil:
		header.Set("Content-Length", strconv.FormatInt(int64(len(req.Body))+req.Stream.length, 10))
	case len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		header.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	// Writing to a bytes.Buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// readMatching reads the answer to this request and skips a few that belong to
// earlier requests.
func (p *Pool) readMatching(c *conn, req Request, target *catalog.Target) Result {
	for range maxMismatched + 1 {
		result := p.readAnswer(c, req, target)
		if result.Err != nil {
			return result
		}
		if !p.mismatched(c, req, result) {
			c.lastSignature = result.Reply.Signature
			result.Reply.NotRun = result.Reply.NotRun || misdirected(result.Reply, target)
			return result
		}
		if result.Tail != nil {
			result.Tail.release()
			break // skipping the rest of a long answer may take too long
		}
	}
	return Result{Err: errMismatch}
}

// misdirected reports whether another target says that the request was not meant for it,
// so that the request has not run.
func misdirected(reply magnoliashore.TargetReply, target *catalog.Target) bool {
	return reply.Misdirected && reply.Instance != "" && byOther(reply, target)
}

// byOther reports whether another process than the target has given an answer: it names
// itself, or the request was not meant for it.
func byOther(reply magnoliashore.TargetReply, target *catalog.Target) bool {
	if reply.Instance == "" {
		return reply.Misdirected
	}
	return reply.Instance != string(target.ID())
}

// mismatched reports whether an answer belongs to an earlier request on the
// connection: it names another request or repeats the previous signature.
func (p *Pool) mismatched(c *conn, req Request, result Result) bool {
	if result.Reply.RequestID != "" && result.Reply.RequestID != req.ID {
		return true
	}
	return result.Reply.Signature != "" && result.Reply.Signature == c.lastSignature
}

// readAnswer reads one complete answer. If the request allows a Tail, it reads
// only the first bytes of a long one.
func (p *Pool) readAnswer(c *conn, req Request, target *catalog.Target) Result {
	resp, reply, err := p.readFinal(c, req, target)
	if err != nil {
		return Result{Err: errors.Wrap(err, "reading the target's answer")}
	}
	tailAllowed := req.AllowTail && p.MaxBuffered > 0 && resp.StatusCode < http.StatusMultipleChoices
	limit := p.MaxBody
	if tailAllowed {
		limit = p.MaxBuffered
	}
	body, more, held, err := p.readBody(resp.Body, limit+1)
	if err != nil || !more || !tailAllowed {
		p.held.used.Add(-held)
	}
	if err != nil {
		return Result{Err: errors.Wrap(err, "reading the body of the target's answer")}
	}
	if resp.Close {
		c.noReuse = true
	}
	c.idleTimeout = keepAliveTimeout(resp.Header)
	result := Result{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Reply: reply,
	}
	switch {
	case !more:
		_ = resp.Body.Close()
	case tailAllowed:
		result.Tail = &Tail{
			body: resp.Body, conn: c, timer: p.Timer, length: max(resp.ContentLength-int64(len(body)), -1),
		}
		result.Tail.release = sync.OnceFunc(func() {
			p.held.used.Add(-held)
			result.Tail.end()
		})
	default:
		_ = c.Close() // the rest of the body is not read
		return Result{Err: ErrTooLong}
	}
	return result
}

// readFinal reads the final response and skips interim (1xx) ones. It reports a target
// that leaves by any of their heads, and fails with ErrTooLong if these are too long
// together.
func (p *Pool) readFinal(c *conn, req Request, target *catalog.Target) (*http.Response, magnoliashore.TargetReply, error) {
	c.bound.Allow(maxHeadBytes)
	defer c.bound.AllowAll() // the body has a bound of its own
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if errors.Is(err, tcp.ErrTooLong) {
			return nil, magnoliashore.TargetReply{}, errors.Mark(err, ErrTooLong)
		}
		if err != nil {
			return nil, magnoliashore.TargetReply{}, err
		}
		reply := p.Dialect.Reply(resp.StatusCode, resp.Header)
		if reply.Leaving && p.OnLeaving != nil && !byOther(reply, target) {
			p.OnLeaving(target)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, reply, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, magnoliashore.TargetReply{}, errors.New("the target switched protocols unexpectedly")
		}
	}
}

// keepAliveTimeout returns the timeout of the Keep-Alive header; zero if there is
// none.
func keepAliveTimeout(h http.Header) time.Duration {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
