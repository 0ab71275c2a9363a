package target

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

const healthLimit = 4 << 10 // bytes of a health reply

// Health is what a target says of itself. It is a hint.
type Health struct {
	state       string
	busy        int
	slots       int
	load        float64
	incarnation string
}

// State returns "warm", "cold" or "drain".
func (h Health) State() string { return h.state }

// Busy returns how many requests the target runs now.
func (h Health) Busy() int { return h.busy }

// Slots returns how many requests the target runs at once.
func (h Health) Slots() int { return h.slots }

// Load returns the target's load, 0 to 1.
func (h Health) Load() float64 { return h.load }

// Incarnation returns the target's process.
func (h Health) Incarnation() string { return h.incarnation }

// Probe asks the target, which Open has defined, for its health. It uses one
// of the target's connections and opens one if none stands, so that probing
// keeps a connection standing. It waits for a connection until ctx ends.
func (p *Pool) Probe(ctx context.Context, target magnoliashore.Target) (Health, error) {
	l := p.link(target)
	if l == nil {
		return Health{}, magnoliashore.Step(errors.New("target is not open"), "probe", target.Address())
	}
	defer l.leave()
	resp, err := l.transport.RoundTrip(p.question(ctx, l))
	if err != nil {
		return Health{}, magnoliashore.Step(err, "probe", target.Address())
	}
	h, err := health(resp)
	if failed := resp.Body.Close(); err == nil {
		err = failed
	}
	return h, magnoliashore.Step(err, "read health", target.Address())
}

// question returns the HTTP request of a probe, which has no gate.
func (p *Pool) question(ctx context.Context, l *link) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.attach(free(p.Clock))
		}
	}}
	r := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: l.target.Address(), Path: pathHealth},
		Header: http.Header{},
	}
	return r.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// health reads the body of a health reply.
func health(resp *http.Response) (Health, error) {
	if resp.StatusCode != http.StatusOK {
		return Health{}, errors.Newf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, healthLimit))
	if err != nil {
		return Health{}, err
	}
	var raw struct {
		State       string
		Busy, Slots int
		Load        float64
		Incarnation string
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return Health{}, err
	}
	if raw.State != "warm" && raw.State != stateCold && raw.State != "drain" {
		return Health{}, errors.Newf("unknown state %q", raw.State)
	}
	return Health{state: raw.State, busy: raw.Busy, slots: raw.Slots, load: raw.Load, incarnation: raw.Incarnation}, nil
}
