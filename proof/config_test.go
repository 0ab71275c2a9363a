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

// Bounds of the users' pages.
const (
	configBound = 4 * time.Second // for a configuration to be in force everywhere
	stopBound   = 3 * time.Second // after which a zone or target that is out gets no new work
)

// versions watches the table version of every seat and fails the test when one
// goes back.
type versions struct {
	c       *cell
	mu      sync.Mutex
	highest map[magnoliashore.HostID]magnoliashore.Version
}

func (c *cell) versions() *versions {
	return &versions{c: c, highest: make(map[magnoliashore.HostID]magnoliashore.Version)}
}

// read returns the table version of a seat; false if it cannot be read.
func (v *versions) read(s *seat) (magnoliashore.Version, bool) {
	status, err := operator.FetchStatus(v.c.t.Context(), s.operator)
	if err != nil {
		return 0, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if status.Table() < v.highest[s.host] && status.Table() > 0 {
		v.c.t.Errorf("table version of %s: got %d after %d, want it never to fall",
			s.host, status.Table(), v.highest[s.host])
	}
	v.highest[s.host] = max(v.highest[s.host], status.Table())
	return status.Table(), true
}

// await waits until every given seat has the version, within the users' bound.
func (v *versions) await(want magnoliashore.Version, seats ...*seat) {
	v.c.t.Helper()
	v.c.await(configBound, "table version in force at "+names(seats), func() bool {
		for _, s := range seats {
			if got, ok := v.read(s); !ok || got != want {
				return false
			}
		}
		return true
	})
}

func TestConfigReachesEveryHost(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hosts: 4}).start(t)
	v := c.versions()

	c.setZone("a", "out")
	c.publishTable([]byte("row,name\nservice,broken\n"))
	v.await(c.setZone("a", "in"), c.seats...)

	c.seats[0].kill() // the reader
	v.await(c.setZone("a", "out"), c.seats[1:]...)

	c.seats[1].freeze() // the next reader
	newest := c.setZone("a", "in")
	v.await(newest, c.seats[2:]...)
	c.seats[1].thaw()
	v.await(newest, c.seats[1:]...)
}

func TestConfigNeverReverts(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hosts: 4}).start(t)
	v := c.versions()
	newest := c.setZone("a", "out")
	v.await(newest, c.seats...)

	for _, mode := range []standin.Mode{standin.ModeOld, standin.ModeDown, standin.ModeStale} {
		c.platform.SetMode(mode)
		s := c.seats[1]
		s.kill()
		c.run(s)
		v.await(newest, c.seats...)
	}
	c.platform.SetMode(standin.ModeUp)
	v.await(c.setZone("a", "in"), c.seats...)
}

func TestInvalidConfigLeavesTheLastInForce(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.05), hosts: 3}).start(t)
	v := c.versions()
	before := c.setZone("a", "out")
	v.await(before, c.seats...)
	c.publishTable([]byte(strings.Replace(string(c.table), "service,look01,gallery,urgent,100", "service,look01,gallery,urgent,0", 1)))
	c.await(configBound, "the invalid table is reported", func() bool {
		return strings.Contains(c.timeline(), "config-invalid")
	})
	v.await(before, c.seats...)
}
