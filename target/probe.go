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

const maxHealthBody = 4 << 10 // bytes

// Health is what a target reports about itself. It is only a hint.
type Health struct {
	state       string
	busy        int
	slots       int
	load        float64
	incarnation string
}

// State returns "warm", "cold" or "drain".
func (h Health) State() string { return h.state }

// Busy returns the number of requests that the target is running.
func (h Health) Busy() int { return h.busy }

// Slots returns the number of requests that the target runs concurrently.
func (h Health) Slots() int { return h.slots }

// Load returns the target's load, from 0 to 1.
func (h Health) Load() float64 { return h.load }

// Incarnation returns the ID of the target's process.
func (h Health) Incarnation() string { return h.incarnation }

// Probe requests the health of a target that Open has defined. It uses one of
// the target's connections and opens one if there is none, so that regular
// probes keep a connection open. It waits for a connection until ctx ends.
func (p *Pool) Probe(ctx context.Context, target magnoliashore.Target) (Health, error) {
	l := p.link(target)
	if l == nil {
		return Health{}, magnoliashore.Step(errors.New("target is not open"), "probe", target.Address())
	}
	defer l.endUse()
	resp, err := l.transport.RoundTrip(p.probeRequest(ctx, l))
	if err != nil {
		return Health{}, magnoliashore.Step(err, "probe", target.Address())
	}
	h, err := readHealth(resp)
	if closeErr := resp.Body.Close(); err == nil {
		err = closeErr
	}
	return h, magnoliashore.Step(err, "read health", target.Address())
}

// probeRequest returns the HTTP request of a probe. It has no write deadline.
func (p *Pool) probeRequest(ctx context.Context, l *link) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.attach(newUnlimited(p.Clock))
		}
	}}
	r := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: l.target.Address(), Path: pathHealth},
		Header: http.Header{},
	}
	return r.WithContext(httptrace.WithClientTrace(ctx, trace))
}

// readHealth decodes a health reply.
func readHealth(resp *http.Response) (Health, error) {
	if resp.StatusCode != http.StatusOK {
		return Health{}, errors.Newf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBody))
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
