package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
)

// ForwardPath is the URL path at which hosts take whole requests from each other. It
// ends with the version of the messages.
const ForwardPath = "/forward/1"

const (
	// headerRefused is sent with an answer if the host has not taken the request on.
	headerRefused = "Forward-Refused"
	// headerOwnRefusal is sent with a refusal that is the host's own: the request has not
	// run. Hosts of earlier versions lack it, and pass the refusals of targets on as well.
	headerOwnRefusal = "Forward-Own-Refusal"
	// headerLeaving names a target that says in the answer that it leaves.
	headerLeaving = "Forward-Leaving"
	// Bytes of a forwarded request: a body that is held, and its header.
	maxForwardSize = 2 << 20
	// Bytes of the head of an answer.
	maxForwardHead = 64 << 10
	// How long a connection is kept that no request uses.
	forwardIdleTimeout = 5 * time.Second
	maxIdleForwards    = 16 // connections kept to one host
)

// ForwardedRequest is a whole request of a caller that another host runs.
type ForwardedRequest struct {
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	Timeout time.Duration // time left of the caller's; zero if it sets none
	Elapsed time.Duration // since the request was received
}

type wireForward struct {
	_       struct{} `cbor:",toarray"`
	Method  string
	URI     string
	Host    string
	Header  map[string][]string
	Body    []byte
	Timeout int64 // microseconds, like the other durations
	Elapsed int64
}

// ErrRefused means that the other host has not taken a request on.
var ErrRefused = errors.New("the host has refused the request")

// ErrNotSent means that nothing of a request has reached the other host.
var ErrNotSent = errors.New("the request was not sent to the host")

// Forwarder passes whole requests to other hosts. It uses HTTP, unlike Link: answers
// may have any length, so each needs a flow control of its own.
type Forwarder struct {
	client *http.Client
}

// NewForwarder returns a forwarder.
func NewForwarder() *Forwarder {
	return &Forwarder{client: &http.Client{
		Transport: &http.Transport{
			DialContext: tcp.Dialer(dialTimeout, userTimeout).DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxForwardHead,
			IdleConnTimeout: forwardIdleTimeout, MaxIdleConnsPerHost: maxIdleForwards,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Forward passes a request to the host at an ip:port and returns its answer, whose
// body the caller must close. When ctx ends, so does the request at that host. The
// error is marked ErrNotSent or ErrRefused if the request certainly has not run.
//
// The request is a POST, whatever the method of the caller, so that the HTTP client
// does not send it again when a connection breaks.
func (f *Forwarder) Forward(ctx context.Context, peer string, r ForwardedRequest) (*http.Response, error) {
	data, err := cbor.Marshal(wireForward{
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body,
		Timeout: r.Timeout.Microseconds(), Elapsed: r.Elapsed.Microseconds(),
	})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encoding a request for another host"), ErrNotSent)
	}
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer+ForwardPath, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Mark(magnoliashore.Step(err, "build a request for another host", peer), ErrNotSent)
	}
	req.GetBody = nil
	resp, err := f.client.Do(req)
	if err != nil && !connected {
		return nil, errors.Mark(magnoliashore.Step(err, "connect to another host", peer), ErrNotSent)
	}
	if err != nil {
		return nil, magnoliashore.Step(err, "pass a request to another host", peer)
	}
	if reason := resp.Header.Get(headerRefused); reason != "" {
		_ = resp.Body.Close()
		return nil, errors.Mark(errors.Newf("%s refused a request: %s", peer, reason), ErrRefused)
	}
	return resp, nil
}

// IsOwnRefusal reports whether an answer of another host is its own refusal of the
// request, which has certainly not run.
func IsOwnRefusal(resp *http.Response) bool {
	return magnoliashore.IsRefusal(resp.StatusCode) && resp.Header.Get(headerOwnRefusal) != ""
}

// IsHostField reports whether a header field of an answer is for other hosts only. Targets
// must not set it.
func IsHostField(name string) bool {
	return name == headerRefused || name == headerOwnRefusal || name == headerLeaving
}

// SetLeaving records in an answer to another host that the target which gave it leaves.
func SetLeaving(h http.Header, id magnoliashore.TargetID) { h.Set(headerLeaving, string(id)) }

// TakeLeaving returns the target that leaves according to an answer of another host, or
// an empty ID, and removes it from the header.
func TakeLeaving(h http.Header) magnoliashore.TargetID {
	id := h.Get(headerLeaving)
	h.Del(headerLeaving)
	return magnoliashore.TargetID(id)
}

// refusalMarker marks the refusals that a host writes as its own.
type refusalMarker struct {
	http.ResponseWriter
}

// WriteHeader writes the head of an answer.
func (m refusalMarker) WriteHeader(status int) {
	if magnoliashore.IsRefusal(status) {
		m.Header().Set(headerOwnRefusal, "1")
	}
	m.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the writer below, for http.ResponseController.
func (m refusalMarker) Unwrap() http.ResponseWriter { return m.ResponseWriter }

// CloseIdle closes the connections that no request uses, which may be silent.
func (f *Forwarder) CloseIdle() { f.client.CloseIdleConnections() }

// ForwardServer takes whole requests from other hosts.
type ForwardServer struct {
	// Handle answers a request, and refuses it only if it has not run. It returns an error,
	// and writes nothing, if it does not take the request on. The request has no deadline in
	// its context.
	Handle func(w http.ResponseWriter, r *http.Request, timeout, elapsed time.Duration) error
	Log    log.Interface
}

var _ http.Handler = (*ForwardServer)(nil)

// ServeHTTP takes one request.
func (s *ForwardServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, timeout, elapsed, err := decodeForward(r)
	if err == nil {
		err = s.Handle(refusalMarker{w}, request, timeout, elapsed)
	}
	if err != nil {
		s.Log.WithError(err).WithField("peer", r.RemoteAddr).Info("request of another host refused")
		w.Header().Set(headerRefused, err.Error())
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// decodeForward returns the request of a caller that another host has passed on.
func decodeForward(r *http.Request) (*http.Request, time.Duration, time.Duration, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxForwardSize+1))
	if err == nil && len(data) > maxForwardSize {
		err = errors.Newf("it has more than %d bytes", maxForwardSize)
	}
	if err != nil {
		return nil, 0, 0, errors.Wrap(err, "reading a request of another host")
	}
	var w wireForward
	if err := cbor.Unmarshal(data, &w); err != nil {
		return nil, 0, 0, errors.Wrap(err, "decoding a request of another host")
	}
	target, err := url.ParseRequestURI(w.URI)
	if err != nil {
		return nil, 0, 0, errors.Wrap(err, "parsing the URI of a request of another host")
	}
	request := (&http.Request{
		Method: w.Method, URL: target, RequestURI: w.URI, Host: w.Host, Header: http.Header(w.Header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: io.NopCloser(bytes.NewReader(w.Body)), ContentLength: int64(len(w.Body)), RemoteAddr: r.RemoteAddr,
	}).WithContext(r.Context())
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	return request, max(fromMicros(w.Timeout), 0), max(fromMicros(w.Elapsed), 0), nil
}
