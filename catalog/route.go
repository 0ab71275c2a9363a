package catalog

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Share is one service of a route with the weight of its share of requests.
type Share struct {
	Service magnoliashore.ServiceName
	Weight  float64
}

// RouteSpec holds the fields to build a Route from.
type RouteSpec struct {
	Name       string
	Host       string // of the request, without a port
	Prefix     string // of the path, with a slash at both ends
	Repeatable bool   // the same request may run more than once
	Timeout    time.Duration
	Objective  time.Duration // an answer within it is worth most; zero if none is stated
	Priority   int           // zero is the most urgent
	Split      []Share       // the services that share the requests; empty for a query over shards
	Shards     []magnoliashore.ServiceName
	Attempts   int     // targets, of each shard, that one request may be sent to
	TopK       int     // records that an answer over shards holds
	Coverage   float64 // least share of the shards in an answer, 0 to 1
}

// Route says how the requests for one host and path prefix are served.
type Route struct {
	spec RouteSpec
}

// NewRoute returns the route that spec describes.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host of the requests.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the prefix of the paths.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Repeatable reports whether the same request may run more than once.
func (r *Route) Repeatable() bool { return r.spec.Repeatable || r.Scatters() }

// Timeout returns the longest time that a request is kept waiting.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the time within which an answer is worth most; zero if
// none is stated.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Priority returns the rank of the requests; zero is the most urgent.
func (r *Route) Priority() int { return r.spec.Priority }

// Split returns the services that share the requests.
func (r *Route) Split() []Share { return r.spec.Split }

// Shards returns the services that each hold one shard of the index.
func (r *Route) Shards() []magnoliashore.ServiceName { return r.spec.Shards }

// Scatters reports whether a request is a query over many shards.
func (r *Route) Scatters() bool { return len(r.spec.Shards) > 0 }

// Attempts returns how many targets, of each shard, a request may be sent to.
func (r *Route) Attempts() int { return max(r.spec.Attempts, 1) }

// TopK returns how many records an answer over shards holds.
func (r *Route) TopK() int { return r.spec.TopK }

// MinShards returns how many shards an answer needs at least.
func (r *Route) MinShards() int {
	total := len(r.spec.Shards)
	for n := 1; n <= total; n++ {
		if float64(n) >= r.spec.Coverage*float64(total) {
			return n
		}
	}
	return total
}
