package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
	"github.com/magnoliashore/magnoliashore/retry"
)

// Settings configures one host.
type Settings struct {
	Host      magnoliashore.HostID
	Zone      magnoliashore.ZoneName
	Caller    string // ip:port for requests of callers
	Ready     string // ip:port for readiness checks
	Directory string // ip:port for callers that look up host addresses
	Peer      string // ip:port for other hosts, over TCP and UDP
	Metrics   string // ip:port for metrics; empty for none
	Seeds     []string
	// Descriptors is how many descriptors the process may have open; zero if unknown.
	Descriptors int
	Cores       float64       // CPU cores of the host, possibly fractional; zero if unknown
	Store       string        // ip:port of the store
	Grace       time.Duration // from SIGTERM to the end of the process
	Drain       time.Duration // how long a leaving target still accepts requests
	Heartbeat   time.Duration // time between two reports of a target to the store; zero if unknown
	Refresh     time.Duration // how long callers may cache addresses at most
	Retries     retry.Limit
	Cold        admit.ColdLimit
}

// Check returns an error that describes all invalid settings, or nil.
func (s Settings) Check() error {
	var err error
	if s.Host == "" {
		err = errors.Join(err, errors.New("the host has no name"))
	}
	addresses := []struct{ name, value string }{
		{"caller", s.Caller}, {"ready", s.Ready}, {"directory", s.Directory}, {"peer", s.Peer}, {"store", s.Store},
	}
	for _, a := range addresses {
		if _, e := netip.ParseAddrPort(a.value); e != nil {
			err = errors.Join(err, errors.Wrapf(e, "the %s address %q", a.name, a.value))
		}
	}
	if s.Grace <= 0 {
		err = errors.Join(err, errors.Newf("the grace time is %s; it must be above zero", s.Grace))
	}
	if s.Descriptors < 0 {
		err = errors.Join(err, errors.Newf("the limit on descriptors is %d; it must not be negative", s.Descriptors))
	}
	if s.Heartbeat < 0 {
		err = errors.Join(err, errors.Newf("the heartbeat of targets is %s; it must not be negative", s.Heartbeat))
	}
	if s.Retries.Ratio < 0 || s.Retries.Slack < 0 {
		err = errors.Join(err, errors.New("the retry limit must not be negative"))
	}
	return err
}
