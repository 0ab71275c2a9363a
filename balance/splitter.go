package balance

import (
	"sync"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// Splitter distributes the requests of each route over its services by smooth
// weighted round-robin, so that any run of requests follows the weights. It is
// safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]map[magnoliashore.ServiceName]float64 // by route, then by service
}

// Next returns the service that gets the next request on a route.
func (d *Splitter) Next(r *catalog.Route) magnoliashore.ServiceName {
	split := r.Split()
	if len(split) == 1 {
		return split[0].Service
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.credit == nil {
		d.credit = make(map[string]map[magnoliashore.ServiceName]float64)
	}
	credit := d.credit[r.Name()]
	if credit == nil {
		credit = make(map[magnoliashore.ServiceName]float64)
		d.credit[r.Name()] = credit
	}
	var total float64
	var best magnoliashore.ServiceName
	for _, s := range split {
		if s.Weight <= 0 {
			continue
		}
		total += s.Weight
		credit[s.Service] += s.Weight
		if best == "" || credit[s.Service] > credit[best] {
			best = s.Service
		}
	}
	credit[best] -= total
	return best
}
