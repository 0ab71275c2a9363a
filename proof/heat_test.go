package proof

import (
	"strings"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
)

// heaters is how many queries heat asks at once, so that both replicas of a
// partition get work.
const heaters = 6

// heat asks queries, several at once, until every target of the group is warm.
func (c *cell) heat(group magnoliashore.GroupName) {
	c.t.Helper()
	asker := c.client()
	prefix := string(c.prefix(group))
	c.await(20*time.Second, "targets warm", func() bool {
		var open sync.WaitGroup
		for range heaters {
			open.Go(func() {
				_, _ = asker.Query(c.t.Context(), client.Request{Group: group, Body: []byte("{}"), Deadline: time.Second})
			})
		}
		open.Wait()
		for _, target := range c.fleet.Targets {
			if strings.HasPrefix(target.Config().Service, prefix) && target.IsCold() {
				return false
			}
		}
		return true
	})
}
