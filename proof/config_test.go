package proof

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/standin"
)

// Bounds that the user documentation promises.
const (
	configBound = 4 * time.Second // longest time until a configuration is in force on every host
	stopBound   = 3 * time.Second // longest time in which a zone or target taken out still receives requests
)

// versions tracks the table version of every host and fails the test if one
// decreases.
type versions struct {
	c       *cell
	mu      sync.Mutex
	highest map[magnoliashore.HostID]magnoliashore.Version
}

func (c *cell) versions() *versions {
	return &versions{c: c, highest: make(map[magnoliashore.HostID]magnoliashore.Version)}
}

// read returns the table version of a seat's host, or false if the host does not
// answer.
func (v *versions) read(s *seat) (magnoliashore.Version, bool) {
	status, err := operator.FetchStatus(v.c.t.Context(), s.operatorAddr)
	if err != nil {
		return 0, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if status.Table() < v.highest[s.host] && status.Table() > 0 {
		v.c.t.Errorf("table version of %s: got %d after %d, want no decrease",
			s.host, status.Table(), v.highest[s.host])
	}
	v.highest[s.host] = max(v.highest[s.host], status.Table())
	return status.Table(), true
}

// await waits until every given seat has the version, for at most configBound.
func (v *versions) await(want magnoliashore.Version, seats ...*seat) {
	v.c.t.Helper()
	v.c.await(configBound, "table version in force at "+hostNames(seats), func() bool {
		for _, s := range seats {
			if got, ok := v.read(s); !ok || got != want {
				return false
			}
		}
		return true
	})
}

// TestConfigReachesEveryHost guards against hosts that miss a configuration: a
// valid table follows an invalid one, and the host that reads the configuration
// is killed, then its successor is frozen.
func TestConfigReachesEveryHost(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hostCount: 4}).start(t)
	v := c.versions()

	c.setZone("a", "out")
	c.publishTable([]byte("row,name\nservice,broken\n"))
	v.await(c.setZone("a", "in"), c.seats...)

	c.seats[0].kill() // reads the configuration for the cell
	v.await(c.setZone("a", "out"), c.seats[1:]...)

	c.seats[1].freeze() // reads it after the first host's death
	newest := c.setZone("a", "in")
	v.await(newest, c.seats[2:]...)
	c.seats[1].resume()
	v.await(newest, c.seats[1:]...)
}

// TestConfigNeverReverts guards against a restarted host that brings back an older
// table while the platform returns old data, is down or is stale.
func TestConfigNeverReverts(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hostCount: 4}).start(t)
	v := c.versions()
	newest := c.setZone("a", "out")
	v.await(newest, c.seats...)

	for _, mode := range []standin.Mode{standin.ModeOld, standin.ModeDown, standin.ModeStale} {
		c.platform.SetMode(mode)
		s := c.seats[1]
		s.kill()
		c.startProcess(s)
		v.await(newest, c.seats...)
	}
	c.platform.SetMode(standin.ModeUp)
	v.await(c.setZone("a", "in"), c.seats...)
}

// TestInvalidConfigLeavesTheLastInForce checks that the hosts report an invalid
// table and keep the last valid one.
func TestInvalidConfigLeavesTheLastInForce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hostCount: 3}).start(t)
	v := c.versions()
	before := c.setZone("a", "out")
	v.await(before, c.seats...)
	c.publishTable([]byte(strings.Replace(string(c.table), "service,look01,gallery,urgent,100", "service,look01,gallery,urgent,0", 1)))
	c.await(configBound, "invalid table reported", func() bool {
		return strings.Contains(c.timeline(), "config-invalid")
	})
	v.await(before, c.seats...)
}
