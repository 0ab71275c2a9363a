package origin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// strays is how many answers to former requests an exchange passes over on
// its connection before it gives the connection up.
const strays = 2

var (
	errStray = errors.New("the target answered another request")
	errLarge = errors.New("the answer of the target is too large")
)

// Do makes one attempt. When ctx ends, the connection is closed, which
// cancels the request at the target.
func (p *Pool) Do(ctx context.Context, req Request, send Attempt) Result {
	began := p.Timer.Now()
	l := p.line(send.Target)
	c, err := l.take(ctx, began, req.Priority, send.MaxConnections, send.MaxWaiting)
	if err != nil {
		return Result{Err: err, Took: p.Timer.Now().Sub(began)}
	}
	started := p.Timer.Now()
	send.Timeout -= started.Sub(began)
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	result := p.run(c, req, send)
	interrupted := !stop()
	if ctx.Err() != nil && result.Status == 0 {
		result.Err = errors.CombineErrors(errCanceled, context.Cause(ctx))
	}
	result.Took = p.Timer.Now().Sub(started)
	switch {
	case interrupted || result.Status == 0:
		_ = c.Close()
		l.release()
	case result.Tail != nil:
		result.Tail.keep(ctx, func(whole bool) {
			if !whole {
				_ = c.Close()
				l.release()
				return
			}
			p.settle(l, c)
		})
	default:
		p.settle(l, c)
	}
	return result
}

// settle gives a connection back after an answer. A target that has answered
// early may still read the rest of the request.
func (p *Pool) settle(l *line, c *conn) {
	if c.writing == nil {
		p.finish(l, c)
		return
	}
	_ = c.SetWriteDeadline(p.Timer.Now().Add(lateBody))
	go func() {
		if err := <-c.writing; err != nil {
			c.closing = true
		}
		c.writing = nil
		p.finish(l, c)
	}()
}

// finish gives a connection back after a complete answer.
func (p *Pool) finish(l *line, c *conn) {
	if c.closing || c.reader.Buffered() > 0 {
		_ = c.Close()
		l.release()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idled = p.Timer.Now()
	l.put(c)
}

// lateBody is how long a target that has answered early may take to read the
// rest of the request.
const lateBody = 5 * time.Second

// run writes the request and reads its answer. A target may answer before it
// has read the whole body, so both go on at the same time if the body is long.
func (p *Pool) run(c *conn, req Request, send Attempt) Result {
	if req.Stream != nil && req.Stream.begun.Swap(true) {
		return Result{Err: errSpent}
	}
	opened := !c.used
	c.used = true
	head := p.head(req, send)
	if len(req.Body) <= shortBody && req.Stream == nil {
		_, err := c.Write(append(head, req.Body...))
		if err != nil {
			// The target may have refused on the way; its answer counts.
			result := p.read(c, req)
			result.Sent, result.NewConnection, c.closing = true, opened, true
			return result
		}
		result := p.read(c, req)
		result.Sent, result.NewConnection = true, opened
		return result
	}
	written := make(chan error, 1)
	go func() { written <- writeBody(c, head, req) }()
	c.writing = written
	result := p.read(c, req)
	result.Sent, result.NewConnection = true, opened
	return result
}

// shortBody is the longest body that is written before the answer is read; it
// fits the send buffer of a connection.
const shortBody = 8 << 10 // bytes

// head returns the request line and the header fields.
func (p *Pool) head(req Request, send Attempt) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	header := req.Header.Clone()
	p.Dialect.Order(header, magnoliashore.TargetTerms{Patience: send.Timeout, Target: send.Target.ID()})
	switch {
	case req.Stream != nil && req.Stream.length < 0:
		header.Set("Transfer-Encoding", "chunked")
	case req.Stream != nil:
		header.Set("Content-Length", strconv.FormatInt(int64(len(req.Body))+req.Stream.length, 10))
	case len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch:
		header.Set("Content-Length", strconv.Itoa(len(req.Body)))
	}
	// A bytes.Buffer takes all writes.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads answers until the one to this request.
func (p *Pool) read(c *conn, req Request) Result {
	for range strays + 1 {
		result := p.answer(c, req)
		if result.Err != nil {
			return result
		}
		if !p.stray(c, req, result) {
			c.proof = result.Reply.Proof
			return result
		}
		if result.Tail != nil {
			break // passing over the rest may take long
		}
	}
	return Result{Err: errStray}
}

// stray reports whether an answer belongs to a former request on the
// connection: it repeats that one's signature or names another request.
func (p *Pool) stray(c *conn, req Request, result Result) bool {
	if result.Reply.Echo != "" && result.Reply.Echo != req.ID {
		return true
	}
	return result.Reply.Proof != "" && result.Reply.Proof == c.proof
}

// answer reads one complete answer, or the first bytes of a long one if the
// rest may follow.
func (p *Pool) answer(c *conn, req Request) Result {
	resp, err := p.final(c, req)
	if err != nil {
		return Result{Err: errors.Wrap(err, "reading the answer of the target")}
	}
	follows := req.AllowTail && p.MaxBuffered > 0 && resp.StatusCode < http.StatusMultipleChoices
	limit := p.MaxBody
	if follows {
		limit = p.MaxBuffered
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return Result{Err: errors.Wrap(err, "reading the body of the target's answer")}
	}
	if resp.Close {
		c.closing = true
	}
	c.keep = keepAlive(resp.Header)
	result := Result{
		Status: resp.StatusCode, Header: resp.Header, Body: body,
		Reply: p.Dialect.Reply(resp.StatusCode, resp.Header),
	}
	switch {
	case int64(len(body)) <= limit:
		_ = resp.Body.Close()
	case follows:
		result.Tail = &Tail{body: resp.Body, conn: c, length: max(resp.ContentLength-int64(len(body)), -1)}
	default:
		_ = c.Close() // the rest of the body is not read
		return Result{Err: errLarge}
	}
	return result
}

// final returns the answer after any interim ones.
func (p *Pool) final(c *conn, req Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("the target switched protocols without being asked")
		}
	}
}

// keepAlive returns how long the target keeps an idle connection; zero if it
// does not say.
func keepAlive(h http.Header) time.Duration {
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
