package balance

import (
	"sync"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
)

// Splitter deals the requests of routes to the services that share them, so
// that each service has its weight's share of any run of requests.
type Splitter struct {
	mu     sync.Mutex
	credit map[string]map[magnoliashore.ServiceName]float64 // by route
}

// Next returns the service of the next request on a route.
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
