package suspect

import "time"

const (
	// Time for which a completed request is not suspected.
	recentLifetime = 10 * time.Second
	// Most completed requests that are remembered.
	maxRecent = 8192
)

// Recent remembers the requests that targets have completed a short time ago. A
// request that is asked for all the time is in flight at each target that ends, for
// whatever reason. It is not safe for concurrent use.
type Recent struct {
	completed map[Digest]time.Time
}

// Add records that a target completed a request.
func (r *Recent) Add(now time.Time, d Digest) {
	if r.completed == nil {
		r.completed = make(map[Digest]time.Time)
	}
	if _, ok := r.completed[d]; !ok && len(r.completed) >= maxRecent {
		r.completed = make(map[Digest]time.Time) // what is asked for all the time is back at once
	}
	r.completed[d] = now
}

// Has reports whether a target completed a request a short time ago.
func (r *Recent) Has(now time.Time, d Digest) bool {
	at, ok := r.completed[d]
	return ok && now.Sub(at) < recentLifetime
}
