package load

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Limits of calls to the admin interface of the targets.
const (
	fleetTimeout = 10 * time.Second
	maxLedger    = 1 << 30 // bytes of the whole ledger
	maxEntry     = 1 << 16 // bytes of one ledger entry
)

// remoteSite is a system that already runs in other processes.
type remoteSite struct {
	experiment Experiment
	policy     policy
	clock      *timer.Service
	direct     *directClient
}

func newRemoteSite(e Experiment, p policy, clock *timer.Service) *remoteSite {
	return &remoteSite{experiment: e, policy: p, clock: clock}
}

// start checks that every entry host with a configured operator address
// responds.
func (s *remoteSite) start(ctx context.Context) error {
	for _, address := range s.experiment.remote.operators {
		if _, err := operator.FetchStatus(ctx, address); err != nil {
			return err
		}
	}
	if !s.policy.direct {
		return nil
	}
	layout, err := s.layout(ctx)
	if err != nil {
		return err
	}
	s.direct = newDirectClient(s.clock, layout, shapeServices(s.experiment.shape))
	return nil
}

func (s *remoteSite) stop() error {
	if s.direct != nil {
		s.direct.close()
	}
	return nil
}

func (s *remoteSite) client() queryClient {
	if s.direct != nil {
		return s.direct
	}
	zones := s.experiment.shape.Zones()
	list := make(zoneClients, 0, len(zones))
	for _, zone := range zones {
		list = append(list, &client.Client{
			Seeds: s.experiment.remote.entries, Zone: magnoliashore.ZoneName(zone), Clock: s.clock,
		})
	}
	return list
}

func (s *remoteSite) layout(ctx context.Context) (magnoliashore.Layout, error) {
	value, err := s.read(ctx, configservice.LayoutKey(s.experiment.shape.Cell()))
	if err != nil {
		return magnoliashore.Layout{}, err
	}
	return configservice.DecodeLayout(value.Version(), value.Data())
}

func (s *remoteSite) operatorTable(ctx context.Context) ([]byte, error) {
	value, err := s.read(ctx, configservice.TableKey(s.experiment.shape.Cell()))
	return value.Data(), err
}

func (s *remoteSite) read(ctx context.Context, key string) (magnoliashore.Value, error) {
	reader := &configservice.Client{Address: s.experiment.remote.platform, HTTP: &http.Client{Timeout: fleetTimeout}}
	value, err := reader.Read(ctx, key)
	return value, magnoliashore.Step(err, "read "+key, s.experiment.remote.platform)
}

func (s *remoteSite) admin() standin.AdminClient {
	return standin.AdminClient{Address: s.experiment.remote.admin}
}

func (s *remoteSite) publish(ctx context.Context, key string, data []byte) error {
	_, err := s.admin().Publish(ctx, key, data)
	return err
}

func (s *remoteSite) setPlatformMode(ctx context.Context, mode standin.Mode) error {
	return s.admin().SetMode(ctx, mode)
}

func (s *remoteSite) stopHost(host string) error {
	return errors.Newf("entry host %s runs in another process and cannot be stopped", host)
}

func (s *remoteSite) changeTarget(ctx context.Context, target string, change action, snapshots []uint64) error {
	path := "/target/" + target + "/" + string(change)
	if change == actionSnapshot {
		numbers := make([]string, 0, len(snapshots))
		for _, n := range snapshots {
			numbers = append(numbers, strconv.FormatUint(n, 10))
		}
		path = "/target/" + target + "/snapshots/" + strings.Join(numbers, ",")
	}
	return s.call(ctx, http.MethodPost, path, func(io.Reader) error { return nil })
}

func (s *remoteSite) ledger(ctx context.Context) ([]record, error) {
	var list []record
	err := s.call(ctx, http.MethodGet, "/ledger", func(body io.Reader) error {
		lines := bufio.NewScanner(body)
		lines.Buffer(make([]byte, 0, maxEntry), maxEntry)
		for lines.Scan() {
			var wire wireRecord
			if err := json.Unmarshal(lines.Bytes(), &wire); err != nil {
				return err
			}
			list = append(list, wire.record())
		}
		return lines.Err()
	})
	return list, err
}

func (s *remoteSite) events(ctx context.Context) ([]magnoliashore.Event, error) {
	var list []magnoliashore.Event
	for _, address := range s.experiment.remote.operators {
		events, err := operator.FetchEvents(ctx, address)
		if err != nil {
			return nil, err
		}
		list = append(list, events...)
	}
	return list, nil
}

// call sends a request to the admin interface of the targets and passes the
// body of the response to handle.
func (s *remoteSite) call(ctx context.Context, method, path string, handle func(body io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	address := s.experiment.remote.fleet
	target := url.URL{Scheme: "http", Host: address, Path: path}
	request, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return magnoliashore.Step(err, "call "+path, address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return magnoliashore.Step(err, "call "+path, address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return magnoliashore.Step(errors.Newf("unexpected HTTP status %d", response.StatusCode), "call "+path, address)
	}
	return magnoliashore.Step(handle(io.LimitReader(response.Body, maxLedger)), "call "+path, address)
}
