package catalog

import (
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// WeightedService is a service of a route and its weight in the split of requests.
type WeightedService struct {
	Service magnoliashore.ServiceName
	Weight  float64
}

// RouteSpec holds the fields to build a Route from.
type RouteSpec struct {
	Name        string
	Host        string // host of the requests, without a port
	Prefix      string // prefix of the paths, with a slash at both ends
	Repeatable  bool   // whether the same request may run more than once
	Timeout     time.Duration
	Objective   time.Duration               // latency objective, within which an answer is worth most; zero for none
	Priority    int                         // lower is more urgent, from zero
	Split       []WeightedService           // services that share the requests; empty for a query over shards
	Shards      []magnoliashore.ServiceName // services that each hold one shard
	MaxAttempts int                         // most targets of each shard that one request may be sent to
	TopK        int                         // number of records in an answer over shards
	Coverage    float64                     // least fraction of the shards in an answer, 0 to 1
}

// Route defines how requests for one host and path prefix are served.
type Route struct {
	spec RouteSpec
}

// NewRoute returns the route described by spec.
func NewRoute(spec RouteSpec) *Route { return &Route{spec: spec} }

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.spec.Name }

// Host returns the host of the requests.
func (r *Route) Host() string { return r.spec.Host }

// Prefix returns the path prefix of the requests.
func (r *Route) Prefix() string { return r.spec.Prefix }

// Repeatable reports whether the same request may run more than once, as a
// query over shards always may.
func (r *Route) Repeatable() bool { return r.spec.Repeatable || r.Scatters() }

// Timeout returns the longest time that a caller waits for the answer.
func (r *Route) Timeout() time.Duration { return r.spec.Timeout }

// Objective returns the latency objective, within which an answer is worth
// most; zero for none.
func (r *Route) Objective() time.Duration { return r.spec.Objective }

// Priority returns the priority of the requests; lower is more urgent, from zero.
func (r *Route) Priority() int { return r.spec.Priority }

// Split returns the services that share the requests.
func (r *Route) Split() []WeightedService { return r.spec.Split }

// Shards returns the services that each hold one shard of the index.
func (r *Route) Shards() []magnoliashore.ServiceName { return r.spec.Shards }

// Scatters reports whether a request is a query over many shards.
func (r *Route) Scatters() bool { return len(r.spec.Shards) > 0 }

// MaxAttempts returns the most targets of each shard that a request may be sent to.
func (r *Route) MaxAttempts() int { return ClampAttempts(r.spec.MaxAttempts) }

// mostAttempts is more attempts than a request has time for. Room for the outcomes of all is
// made when it starts.
const mostAttempts = 64

// ClampAttempts returns a number of attempts that is possible.
func ClampAttempts(n int) int { return min(max(n, 1), mostAttempts) }

// TopK returns the number of records in an answer over shards.
func (r *Route) TopK() int { return r.spec.TopK }

// MinShards returns the least number of shards in an answer.
func (r *Route) MinShards() int {
	total := len(r.spec.Shards)
	for n := 1; n <= total; n++ {
		if float64(n) >= r.spec.Coverage*float64(total) {
			return n
		}
	}
	return total
}
