package proof

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

func TestColdAfterTargetsRestart(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := coldCell(t, &cell{hosts: 4})
	from := time.Now()
	l := c.ask(c.client(), coldGallery, coldEnquiry)
	targets := c.loaded()
	for range 20 {
		targets[random.IntN(len(targets))].Restart()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	restartAll(targets)
	time.Sleep(coldLength)
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

func TestColdAfterTargetsChill(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := coldCell(t, &cell{hosts: 4})
	from := time.Now()
	l := c.ask(c.client(), coldGallery, coldEnquiry)
	targets := c.loaded()
	chills := make(map[magnoliashore.TargetID][]time.Time)
	for range 20 {
		target := targets[random.IntN(len(targets))]
		id := magnoliashore.TargetID(target.Config().ID)
		chills[id] = append(chills[id], time.Now())
		target.Chill()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	time.Sleep(coldLength)
	list := l.end()
	t.Log(summary(list))
	c.checkChilled(chills)
	c.checkColdMet(from)
}

// tellTime is how long before an overrun a chilled target must have sent the
// reply that tells it: a reply may be on its way while the next request is.
const tellTime = 100 * time.Millisecond // the margin of the leases

// checkChilled checks that no target was overrun that had told, tellTime
// before, that it is cold. A process that was cold from its start has told it
// with the cut of the connections of the one before. chills says when each
// target was chilled.
func (c *cell) checkChilled(chills map[magnoliashore.TargetID][]time.Time) {
	c.t.Helper()
	inTransit := 0
	for _, e := range c.ledger() {
		if e.Result() != standin.ResultOverrun || !e.ColdReported() {
			continue
		}
		if told, ok := c.toldAt(e, chills[e.Target()]); ok && e.Start().Sub(told) < tellTime {
			inTransit++
			continue
		}
		c.t.Errorf("target %s: got an overrun of its cold limit by %s, want none%s", e.Target(), e.Query(), c.trace(e))
	}
	c.t.Logf("overruns less than %v after a chilled target had told: %d", tellTime, inTransit)
}

// toldAt returns when the process of an entry sent the first reply after it was
// chilled; false if it was not chilled before the entry.
func (c *cell) toldAt(about standin.Entry, chills []time.Time) (time.Time, bool) {
	var chill, told time.Time
	for _, at := range chills {
		if at.Before(about.Start()) {
			chill = at
		}
	}
	lived := false // when it was chilled
	for _, e := range c.ledger() {
		if e.Incarnation() != about.Incarnation() {
			continue
		}
		lived = lived || e.Start().Before(chill)
		if e.Result() == standin.ResultDone && e.End().After(chill) && (told.IsZero() || e.End().Before(told)) {
			told = e.End()
		}
	}
	return told, lived && !told.IsZero()
}

func TestColdOwnerKilled(t *testing.T) {
	t.Parallel()
	c := coldCell(t, &cell{hosts: 4})
	target := c.targetsOf("look")[0]
	owner := c.awaitHolder(target, nil)
	from := time.Now()
	l := c.ask(c.client(c.others(owner)...), coldGallery, coldEnquiry)
	time.Sleep(coldLength)
	restartAll(c.loaded())
	time.Sleep(restartGap)
	owner.kill()
	killed := time.Now()
	c.await(serveBound, "the target serves again", func() bool {
		return c.newWork(killed, time.Now(), isTarget(target)) > 0
	})
	t.Logf("%s served again after %v", target.Config().ID, time.Since(killed).Round(time.Millisecond))
	for range 5 {
		restartAll(c.loaded())
		time.Sleep(coldLength / 4)
	}
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

func isTarget(target *standin.Target) func(standin.TargetConfig) bool {
	return func(config standin.TargetConfig) bool { return config.ID == target.Config().ID }
}

// shortLease makes leases short, so that a test sees many of them.
const shortLease = "lease:\n  heartbeat: 150ms\n  term: 600ms\n  margin: 100ms\n"

// TestColdOwnerFrozen freezes an owner with cold work queued for longer than
// the lease term and thaws it while its successor works on the cold targets.
func TestColdOwnerFrozen(t *testing.T) {
	t.Parallel()
	const rounds = 5
	c := coldCell(t, &cell{hosts: 4, settings: shortLease})
	target := c.targetsOf("look")[0]
	from := time.Now()
	end := c.askSide("all", c.seats...)
	for range rounds {
		owner := c.awaitHolder(target, nil)
		restartAll(c.loaded())
		time.Sleep(restartGap)
		owner.freeze()
		c.awaitHolder(target, owner)
		restartAll(c.loaded())
		time.Sleep(restartGap)
		owner.thaw()
		time.Sleep(coldLength / 2)
	}
	t.Log(end())
	c.checkCold(from)
}

// TestColdOwnerReplaced starts a new process at the seat of a frozen owner and
// then thaws the old one, which must stop.
func TestColdOwnerReplaced(t *testing.T) {
	t.Parallel()
	c := coldCell(t, &cell{hosts: 4})
	target := c.targetsOf("look")[0]
	owner := c.awaitHolder(target, nil)
	from := time.Now()
	l := c.ask(c.client(c.others(owner)...), coldGallery, coldEnquiry)
	restartAll(c.loaded())
	time.Sleep(restartGap)
	owner.freeze()
	old := c.replace(owner)
	c.awaitHolder(target, nil)
	c.awaitReady(c.seats...)

	end := c.askSide("old", &old)
	restartAll(c.loaded())
	time.Sleep(restartGap)
	old.thaw()
	thawed := time.Now()
	for range 10 {
		restartAll(c.loaded())
		time.Sleep(5 * restartGap)
	}
	select {
	case <-old.exited:
		t.Logf("the old process stopped after %v", time.Since(thawed).Round(time.Millisecond))
	case <-time.After(15 * time.Second):
		t.Error("old process: got no exit within 15 s, want it superseded")
	}
	t.Logf("asked of the old process: %v", end())
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

// TestColdInASplit cuts a cell of 5 into 2 and 3 and restarts targets. Only one
// side may work on cold targets, and never the minority once its leases ended.
func TestColdInASplit(t *testing.T) {
	t.Parallel()
	c := coldCell(t, &cell{hosts: 5, relayed: true})
	minority, majority := c.seats[:2], c.seats[2:]
	endMinor := c.askSide("minor", minority...)
	endMajor := c.askSide("major", majority...)
	from := time.Now()
	split(minority, majority)
	restartAll(c.loaded())
	c.await(5*time.Second, "the minority holds no lease", func() bool {
		return len(c.ownedBy(minority[0]))+len(c.ownedBy(minority[1])) == 0
	})
	t.Logf("the minority's leases ended after %v", time.Since(from).Round(time.Millisecond))
	alone := time.Now()
	restartAll(c.loaded())
	for _, target := range c.loaded() {
		c.await(serveBound, "the majority serves "+target.Config().ID, func() bool {
			return c.newWork(alone, time.Now(), isTarget(target)) > 0
		})
	}
	t.Logf("the majority served every target after %v", time.Since(alone).Round(time.Millisecond))
	restartAll(c.loaded())
	time.Sleep(coldLength)
	healed := time.Now()
	heal(minority, majority)
	restartAll(c.loaded())
	time.Sleep(2 * coldLength)
	restartAll(c.loaded())
	time.Sleep(coldLength)
	t.Logf("asked of the minority: %v, of the majority: %v", endMinor(), endMajor())

	c.checkOneSide(from.Add(rawDeadline+restartGap), alone, healed)
	c.checkCold(from)
}

// checkOneSide checks the cold work of a split: none of the minority while it
// was alone, and never of both sides at once on one target.
func (c *cell) checkOneSide(from, alone, healed time.Time) {
	c.t.Helper()
	minor, major := &side{name: "minor"}, &side{name: "major"}
	var ofMinor, ofMajor []standin.Entry
	for _, e := range c.ledger() {
		if !e.Begun() || !e.Cold() || e.Start().Before(from) || e.Start().After(healed) {
			continue
		}
		if minor.isOf(e) {
			ofMinor = append(ofMinor, e)
		}
		if major.isOf(e) {
			ofMajor = append(ofMajor, e)
		}
		if minor.isOf(e) && e.Start().After(alone) {
			c.t.Errorf("cold target %s: got %s of the minority, want none", e.Target(), e.Query())
		}
	}
	c.t.Logf("cold work in the split: %d of the minority, %d of the majority", len(ofMinor), len(ofMajor))
	for _, a := range ofMinor {
		for _, b := range ofMajor {
			if a.Target() == b.Target() && a.Start().Before(b.End()) && b.Start().Before(a.End()) {
				c.t.Errorf("cold target %s: got %s and %s at once, want one side", a.Target(), a.Query(), b.Query())
			}
		}
	}
}

// TestColdBytesHeldAcrossALease holds what an owner has written to its cold
// targets in the network, ends the owner, and delivers the bytes while the
// successor works on the targets.
func TestColdBytesHeldAcrossALease(t *testing.T) {
	t.Parallel()
	relays := make(map[string]*relay)
	c := &cell{hosts: 4}
	c.reach = func(id, address string) string {
		if relays[id] == nil {
			relays[id] = startRelay(t, address)
		}
		return relays[id].address
	}
	coldCell(t, c)
	target := c.targetsOf("look")[0]
	from := time.Now()
	owner := c.awaitHolder(target, nil)
	owned := c.ownedBy(owner)
	l := c.ask(c.client(c.others(owner)...), coldGallery, coldEnquiry)
	restartAll(c.loaded())
	time.Sleep(5 * restartGap) // the owner has new connections
	setAll(relays, owned, rule{holdTo: true})
	held := relays[target.Config().ID]
	c.await(2*time.Second, "bytes are held", func() bool { return held.heldNow() > 0 })
	owner.kill()
	killed := time.Now()
	c.await(serveBound, "the successor works on the target", func() bool {
		return c.newWork(killed, time.Now(), isTarget(target)) > 0
	})
	t.Logf("bytes of %d connections are delivered after %v", c.heldBy(relays), time.Since(killed).Round(time.Millisecond))
	released := time.Now()
	setAll(relays, owned, rule{})
	time.Sleep(coldLength)
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
	c.checkLate(list, killed, released)
}

// checkLate checks that requests of queries that were asked before the kill
// reached targets after the release, and that none of them began to run.
func (c *cell) checkLate(list []told, killed, released time.Time) {
	c.t.Helper()
	old := make(map[magnoliashore.QueryID]bool)
	for _, one := range list {
		old[one.answer.Query()] = one.asked.Before(killed)
	}
	late := 0
	for _, e := range c.ledger() {
		if !old[e.Query()] || e.Start().Before(released) {
			continue
		}
		late++
		if e.Begun() {
			c.t.Errorf("late request of %s at %s: got it run, want it refused", e.Query(), e.Target())
		}
	}
	c.t.Logf("late requests at targets: %d", late)
	if late == 0 {
		c.t.Error("late requests at targets: got 0, want at least 1")
	}
}

func setAll(relays map[string]*relay, targets []*standin.Target, now rule) {
	for _, target := range targets {
		relays[target.Config().ID].set("", now)
	}
}

// askSide loads some seats alone and returns how to end it, which returns the
// outcomes.
func (c *cell) askSide(name string, seats ...*seat) (end func() map[string]int) {
	s := &side{name: name, seats: seats, raw: newRaw(c.t), outcomes: make(map[string]int)}
	return s.start(c.t, []magnoliashore.GroupName{"gallery", "enquiry"})
}
