package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// galleryLoad is a steady load on the first group of the Kovačič shape.
var galleryLoad = stream{group: "gallery", period: 10 * time.Millisecond, deadline: 500 * time.Millisecond}

// requestsBegun returns how many requests began on the matching targets between
// from and to.
func (c *cell) requestsBegun(from, to time.Time, match func(standin.TargetConfig) bool) int {
	n := 0
	for _, target := range c.fleet.Targets {
		if !match(target.Config()) {
			continue
		}
		for _, e := range target.Ledger() {
			if e.Begun() && e.Start().After(from) && e.Start().Before(to) {
				n++
			}
		}
	}
	return n
}

// checkOverruns fails the test if a target received more requests than its cold
// limit after it had reported that it is cold.
func (c *cell) checkOverruns() {
	c.t.Helper()
	for _, e := range c.ledger() {
		if e.Result() == standin.ResultOverrun && e.ColdReported() {
			c.t.Errorf("target %s: got an overrun of its cold limit by %s, want none%s", e.Target(), e.Query(), c.trace(e))
		}
	}
}

func inZone(zone string) func(standin.TargetConfig) bool {
	return func(config standin.TargetConfig) bool { return config.Zone == zone }
}

// TestZoneOutGetsNoNewWork checks that an availability zone that was taken out
// receives no requests after stopBound, and receives some once it is back.
func TestZoneOutGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hostCount: 4}).start(t)
	c.warm("gallery")
	l := c.startLoad(c.newClient(), galleryLoad)
	time.Sleep(500 * time.Millisecond)

	for range 2 { // several changes in quick succession
		c.setZone("a", "out")
		c.setZone("a", "in")
	}
	c.setZone("a", "out")
	takenOut := time.Now()
	time.Sleep(stopBound + time.Second)
	c.setZone("a", "in")
	restored := time.Now()
	c.await(configBound+2*time.Second, "zone receives requests again", func() bool {
		return c.requestsBegun(restored, time.Now(), inZone("a")) > 0
	})
	list := l.end()

	if got := c.requestsBegun(takenOut.Add(stopBound), restored, inZone("a")); got != 0 {
		t.Errorf("requests begun in the zone: got %d, want 0", got)
	}
	if got := c.requestsBegun(takenOut.Add(stopBound), restored, inZone("b")); got == 0 {
		t.Errorf("requests begun in another zone: got 0, want some")
	}
	c.checkOverruns()
	checkAllRan(t, list)
}

// checkAllRan fails the test unless every query ran with complete coverage.
func checkAllRan(t *testing.T, list []loadResult) {
	t.Helper()
	for _, result := range list {
		if result.answer.Outcome() != magnoliashore.OutcomeRan || !result.answer.Coverage().Complete() {
			t.Errorf("answers: got %s, want all complete", summary(list))
			logIncomplete(t, list)
			return
		}
	}
}

// TestZoneOutWhileTheReaderIsFrozen checks that an availability zone taken out
// receives no requests after stopBound while the host that reads the configuration
// is frozen.
func TestZoneOutWhileTheReaderIsFrozen(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hostCount: 4}).start(t)
	c.warm("gallery")
	l := c.startLoad(c.newClient(c.seats[1:]...), galleryLoad)
	c.seats[0].freeze()
	c.setZone("b", "out")
	takenOut := time.Now()
	time.Sleep(stopBound + time.Second)
	end := time.Now()
	c.seats[0].resume()
	l.end()
	if got := c.requestsBegun(takenOut.Add(stopBound), end, inZone("b")); got != 0 {
		t.Errorf("requests begun in the zone: got %d, want 0", got)
	}
	c.checkOverruns()
}

// TestLeavingTargetGetsNoNewWork checks that a target that the platform marks as
// leaving receives no requests after stopBound, and that no query suffers.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hostCount: 3}).start(t)
	c.warm("gallery")
	l := c.startLoad(c.newClient(), galleryLoad)
	leaving := c.fleet.Targets[0].Config().ID
	if !strings.HasPrefix(leaving, "look") {
		t.Fatalf("first target: got %s, want one of the gallery group", leaving)
	}
	c.platform.SetHost(leaving, standin.HostLeaving)
	markedLeaving := time.Now()
	time.Sleep(stopBound + time.Second)
	list := l.end()
	match := func(config standin.TargetConfig) bool { return config.ID == leaving }
	if got := c.requestsBegun(markedLeaving.Add(stopBound), time.Now(), match); got != 0 {
		t.Errorf("requests begun at the leaving target: got %d, want 0", got)
	}
	checkAllRan(t, list)
}

// TestGracefulStopCutsNoRequest stops a host gracefully under load. Every query
// must still run with complete coverage.
func TestGracefulStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hostCount: 4}).start(t)
	c.warm("gallery")
	c.warm("enquiry")
	once := stream{group: "enquiry", period: 20 * time.Millisecond, deadline: 500 * time.Millisecond, atMostOnce: true}
	l := c.startLoad(c.newClient(), galleryLoad, once)
	time.Sleep(500 * time.Millisecond)
	c.seats[0].stopGracefully()
	select {
	case <-c.seats[0].exited:
	case <-time.After(20 * time.Second):
		t.Fatal("graceful stop: got no exit within 20 s")
	}
	time.Sleep(500 * time.Millisecond)
	checkAllRan(t, l.end())
	c.checkOverruns()
}

// logIncomplete logs some answers that are not complete, with their errors.
func logIncomplete(t *testing.T, list []loadResult) {
	t.Helper()
	const most = 12
	logged := 0
	for _, r := range list {
		if r.answer.Outcome() == magnoliashore.OutcomeRan && r.answer.Coverage().Complete() || logged == most {
			continue
		}
		logged++
		t.Logf("query %s, at most once %t, sent at %s, took %s: %v/%s %s; error %v", r.answer.Query(), r.atMostOnce,
			r.sentAt.Format("15:04:05.000"), r.took, r.answer.Outcome(), r.answer.Reason(), r.answer.Detail(), r.err)
	}
}
