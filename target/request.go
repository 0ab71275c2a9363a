package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// The headers of the target protocol, in canonical form.
const (
	headerRequest     = "Request"
	headerQuery       = "Query"
	headerPartition   = "Partition"
	headerSnapshot    = "Snapshot"
	headerRemaining   = "Remaining"
	headerDeadline    = "Deadline"
	headerOnce        = "Once"
	headerIncarnation = "Incarnation"
	headerState       = "State"
	headerRefused     = "Refused"
	headerWait        = "Wait"
)

const (
	pathRun    = "/run"
	pathHealth = "/health"
)

// request returns the HTTP request of sub. It has no GetBody, so that the
// transport cannot send it again.
func (p *Pool) request(ctx context.Context, sub magnoliashore.Sub, l *link, a *attempt) *http.Request {
	header := http.Header{
		headerRequest:   {strconv.FormatUint(sub.ID(), 10)},
		headerQuery:     {string(sub.Query())},
		headerPartition: {string(sub.Partition())},
		headerSnapshot:  {strconv.FormatUint(uint64(sub.Snapshot()), 10)},
	}
	if sub.Once() {
		header[headerOnce] = []string{"1"}
	}
	p.setTimeHeaders(header, sub)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if !ok {
			return
		}
		if a.setConn(c) {
			p.setTimeHeaders(header, sub)
		}
		c.attach(a)
	}}
	r := &http.Request{
		Method:        http.MethodPost,
		URL:           &url.URL{Scheme: "http", Host: l.target.Address(), Path: pathRun},
		Header:        header,
		Body:          body(sub.Body()),
		ContentLength: int64(len(sub.Body())),
	}
	return r.WithContext(httptrace.WithClientTrace(ctx, trace))
}

func body(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(data))
}

// setTimeHeaders sets the headers that depend on the current time. It is
// called when the request is built, and again when the request first obtains a
// connection, since it may have waited for one.
func (p *Pool) setTimeHeaders(header http.Header, sub magnoliashore.Sub) {
	if sub.Deadline().IsZero() {
		return
	}
	now := p.Clock.Now()
	remaining := max(sub.Deadline().Sub(now), 0)
	header[headerRemaining] = []string{strconv.FormatInt(int64(remaining/time.Millisecond), 10)}
	wall := now.Add(remaining - p.MaxClockSkew).UnixMilli()
	header[headerDeadline] = []string{strconv.FormatInt(wall, 10)}
}
