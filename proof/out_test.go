package proof

import (
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// gallery is a steady load on the first group of Kovačič's shape.
var gallery = stream{group: "gallery", period: 10 * time.Millisecond, deadline: 500 * time.Millisecond}

// newWork returns how many requests began on the matching targets in a time.
func (c *cell) newWork(from, to time.Time, match func(standin.TargetConfig) bool) int {
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

// checkOverruns fails the test if a cold target got more than it bears after
// it had shown that it is cold.
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

func TestZoneOutGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hosts: 4}).start(t)
	c.warm("gallery")
	l := c.ask(c.client(), gallery)
	time.Sleep(500 * time.Millisecond)

	for range 2 { // out and in and out in quick succession
		c.setZone("a", "out")
		c.setZone("a", "in")
	}
	c.setZone("a", "out")
	out := time.Now()
	time.Sleep(stopBound + time.Second)
	c.setZone("a", "in")
	back := time.Now()
	c.await(configBound+2*time.Second, "work returns to the zone", func() bool {
		return c.newWork(back, time.Now(), inZone("a")) > 0
	})
	list := l.end()

	if got := c.newWork(out.Add(stopBound), back, inZone("a")); got != 0 {
		t.Errorf("new work in the zone: got %d requests, want 0", got)
	}
	if got := c.newWork(out.Add(stopBound), back, inZone("b")); got == 0 {
		t.Errorf("new work in another zone: got 0 requests, want some")
	}
	c.checkOverruns()
	checkAllRan(t, list)
}

// checkAllRan fails the test unless every query ran with all partitions.
func checkAllRan(t *testing.T, list []told) {
	t.Helper()
	for _, one := range list {
		if one.answer.Outcome() != magnoliashore.OutcomeRan || !one.answer.Coverage().Complete() {
			t.Errorf("answers: got %s, want all complete", summary(list))
			return
		}
	}
}

func TestZoneOutWhileTheReaderIsFrozen(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hosts: 4}).start(t)
	c.warm("gallery")
	l := c.ask(c.client(c.seats[1:]...), gallery)
	c.seats[0].freeze()
	c.setZone("b", "out")
	out := time.Now()
	time.Sleep(stopBound + time.Second)
	end := time.Now()
	c.seats[0].thaw()
	l.end()
	if got := c.newWork(out.Add(stopBound), end, inZone("b")); got != 0 {
		t.Errorf("new work in the zone: got %d requests, want 0", got)
	}
	c.checkOverruns()
}

func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hosts: 3}).start(t)
	c.warm("gallery")
	l := c.ask(c.client(), gallery)
	leaving := c.fleet.Targets[0].Config().ID
	if !strings.HasPrefix(leaving, "look") {
		t.Fatalf("first target: got %s, want one of the gallery", leaving)
	}
	c.platform.SetHost(leaving, standin.HostLeaving)
	left := time.Now()
	time.Sleep(stopBound + time.Second)
	list := l.end()
	match := func(config standin.TargetConfig) bool { return config.ID == leaving }
	if got := c.newWork(left.Add(stopBound), time.Now(), match); got != 0 {
		t.Errorf("new work at the leaving target: got %d requests, want 0", got)
	}
	checkAllRan(t, list)
}

func TestGracefulStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	c := (&cell{shape: standin.Kovacic(0.2), hosts: 4}).start(t)
	c.warm("gallery")
	c.warm("enquiry")
	once := stream{group: "enquiry", period: 20 * time.Millisecond, deadline: 500 * time.Millisecond, once: true}
	l := c.ask(c.client(), gallery, once)
	time.Sleep(500 * time.Millisecond)
	c.seats[0].leave()
	select {
	case <-c.seats[0].exited:
	case <-time.After(20 * time.Second):
		t.Fatal("graceful stop: got no exit within 20 s")
	}
	time.Sleep(500 * time.Millisecond)
	checkAllRan(t, l.end())
	c.checkOverruns()
}
