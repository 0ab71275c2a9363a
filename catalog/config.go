// Package catalog holds the operators' configuration (routes, services and
// limits on callers) and the targets that may get requests. All values are
// immutable once built.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// ServiceSpec holds the fields to build a Service from.
type ServiceSpec struct {
	Name        magnoliashore.ServiceName
	HealthPath  string
	Connections int           // connections that one target accepts from all hosts together; zero if not configured
	ColdPeriod  time.Duration // how long a target stays cold after its start
	ColdRate    float64       // requests per second that a cold target can take from all hosts together; zero if not configured
}

// Service describes one service and the limits of its targets.
type Service struct {
	spec ServiceSpec
}

// NewService returns the service described by spec.
func NewService(spec ServiceSpec) *Service { return &Service{spec: spec} }

// Name returns the name of the service.
func (s *Service) Name() magnoliashore.ServiceName { return s.spec.Name }

// HealthPath returns the path of the health check.
func (s *Service) HealthPath() string { return s.spec.HealthPath }

// Connections returns how many connections one target accepts from all hosts
// together; zero if not configured.
func (s *Service) Connections() int { return s.spec.Connections }

// ColdPeriod returns how long a target stays cold after its start.
func (s *Service) ColdPeriod() time.Duration { return s.spec.ColdPeriod }

// ColdRate returns how many requests per second a cold target can take from all
// hosts together; zero if not configured.
func (s *Service) ColdRate() float64 { return s.spec.ColdRate }

// Limits bounds the size of a caller's request and the time to receive it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// ConfigSpec holds the fields to build a Config from.
type ConfigSpec struct {
	Version  magnoliashore.Version
	Routes   []*Route
	Services []*Service
	Limits   Limits
}

// Config is one version of the operators' configuration.
type Config struct {
	version  magnoliashore.Version
	routes   map[string][]*Route // by lower-case host name, longest prefix first
	services map[magnoliashore.ServiceName]*Service
	limits   Limits
}

// NewConfig returns the configuration described by spec.
func NewConfig(spec ConfigSpec) *Config {
	c := &Config{
		version:  spec.Version,
		routes:   make(map[string][]*Route),
		services: make(map[magnoliashore.ServiceName]*Service, len(spec.Services)),
		limits:   spec.Limits,
	}
	for _, r := range spec.Routes {
		host := strings.ToLower(r.Host())
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix()), len(a.Prefix())) })
	}
	for _, s := range spec.Services {
		c.services[s.Name()] = s
	}
	return c
}

// Version returns the version of the configuration.
func (c *Config) Version() magnoliashore.Version { return c.version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service with the given name. If it is not configured, the
// result has no limits.
func (c *Config) Service(name magnoliashore.ServiceName) *Service {
	if s, ok := c.services[name]; ok {
		return s
	}
	return NewService(ServiceSpec{Name: name})
}

// Route returns the route of host with the longest matching prefix of path, or
// nil if there is none. The host may include a port.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routes[hostname(host)] {
		if strings.HasPrefix(path, r.Prefix()) {
			return r
		}
	}
	return nil
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
