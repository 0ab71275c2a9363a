package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

const adminTimeout = 5 * time.Second // limit of one admin call

// AdminClient calls the admin API of a Platform.
type AdminClient struct {
	// Address is the "ip:port" address of the admin API.
	Address string
}

// Publish stores a new value of key and returns its version.
func (c AdminClient) Publish(ctx context.Context, key string, data []byte) (magnoliashore.Version, error) {
	reply, err := c.post(ctx, "/publish/"+key, data)
	if err != nil {
		return 0, err
	}
	var wire wireVersion
	if err := json.Unmarshal(reply, &wire); err != nil {
		return 0, magnoliashore.Step(err, "publish", c.Address)
	}
	return magnoliashore.Version(wire.Version), nil
}

// SetMode sets which version the platform serves, if any.
func (c AdminClient) SetMode(ctx context.Context, mode Mode) error {
	_, err := c.post(ctx, "/mode/"+mode.String(), nil)
	return err
}

// SetHosts replaces the host list.
func (c AdminClient) SetHosts(ctx context.Context, live, leaving []string) error {
	body, err := json.Marshal(wireHosts{Live: nonNil(live), Leaving: nonNil(leaving)})
	if err != nil {
		return err
	}
	_, err = c.post(ctx, "/hosts", body)
	return err
}

// SetHost changes the state of one name in the host list.
func (c AdminClient) SetHost(ctx context.Context, name string, state HostState) error {
	_, err := c.post(ctx, "/hosts/"+name+"/"+state.String(), nil)
	return err
}

func (c AdminClient) post(ctx context.Context, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	endpoint := url.URL{Scheme: "http", Host: c.Address, Path: path}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint.String(), bytes.NewReader(body))
	if err != nil {
		return nil, magnoliashore.Step(err, "post "+path, c.Address)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, magnoliashore.Step(err, "post "+path, c.Address)
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(reply.Body, maxValueBytes))
	if err != nil {
		return nil, magnoliashore.Step(err, "post "+path, c.Address)
	}
	if reply.StatusCode != http.StatusOK {
		err := errors.Newf("status is %d: %s", reply.StatusCode, strings.TrimSpace(string(data)))
		return nil, magnoliashore.Step(err, "post "+path, c.Address)
	}
	return data, nil
}
