package proof

import (
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/standin"
)

// TestColdAfterTargetsRestart guards against overruns of targets that lose their
// warmth by a restart: targets restart at random under load, then all at once.
func TestColdAfterTargetsRestart(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := startColdCell(t, &cell{hostCount: 4})
	from := time.Now()
	l := c.startLoad(c.newClient(), coldGallery, coldEnquiry)
	targets := c.loadedTargets()
	for range 20 {
		targets[random.IntN(len(targets))].Restart()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	restartAll(targets)
	time.Sleep(faultLoadLength)
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

// TestColdAfterTargetsChill guards against overruns of targets that turn cold
// without a restart, which the owner sees only in their next reply.
func TestColdAfterTargetsChill(t *testing.T) {
	t.Parallel()
	random := newRandom(t)
	c := startColdCell(t, &cell{hostCount: 4})
	from := time.Now()
	l := c.startLoad(c.newClient(), coldGallery, coldEnquiry)
	targets := c.loadedTargets()
	chills := make(map[magnoliashore.TargetID][]time.Time)
	for range 20 {
		target := targets[random.IntN(len(targets))]
		id := magnoliashore.TargetID(target.Config().ID)
		chills[id] = append(chills[id], time.Now())
		target.Chill()
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	time.Sleep(faultLoadLength)
	list := l.end()
	t.Log(summary(list))
	c.checkChilled(chills)
	c.checkColdRequests(from)
}

// reportMargin is the time allowed for a reply that reports a chilled target as
// cold to take effect, since the next request may already be in transit. It
// equals the margin of the leases.
const reportMargin = 100 * time.Millisecond

// checkChilled checks that no target was overrun later than reportMargin after it
// reported that it is cold. A process that was cold from its start needs no such
// reply: the broken connections of its predecessor report it. chills lists the
// times at which each target was chilled.
func (c *cell) checkChilled(chills map[magnoliashore.TargetID][]time.Time) {
	c.t.Helper()
	inTransit := 0
	for _, e := range c.ledger() {
		if e.Result() != standin.ResultOverrun || !e.ColdReported() {
			continue
		}
		if reported, ok := c.coldReportedAt(e, chills[e.Target()]); ok && e.Start().Sub(reported) < reportMargin {
			inTransit++
			continue
		}
		c.t.Errorf("target %s: got an overrun of its cold limit by %s, want none%s", e.Target(), e.Query(), c.trace(e))
	}
	c.t.Logf("overruns less than %v after a chilled target reported that it is cold: %d", reportMargin, inTransit)
}

// coldReportedAt returns when the process of an entry sent its first reply after
// the last chill before the entry. It returns false if the process did not run
// before that chill or sent no reply after it.
func (c *cell) coldReportedAt(entry standin.Entry, chills []time.Time) (time.Time, bool) {
	var chill, reported time.Time
	for _, at := range chills {
		if at.Before(entry.Start()) {
			chill = at
		}
	}
	ranBeforeChill := false
	for _, e := range c.ledger() {
		if e.Incarnation() != entry.Incarnation() {
			continue
		}
		ranBeforeChill = ranBeforeChill || e.Start().Before(chill)
		if e.Result() == standin.ResultDone && e.End().After(chill) && (reported.IsZero() || e.End().Before(reported)) {
			reported = e.End()
		}
	}
	return reported, ranBeforeChill && !reported.IsZero()
}

// TestColdOwnerKilled kills the owner of cold targets under load. The targets must
// serve again within recoveryBound, and the new owner must not overrun them.
func TestColdOwnerKilled(t *testing.T) {
	t.Parallel()
	c := startColdCell(t, &cell{hostCount: 4})
	target := c.targetsOf("look")[0]
	owner := c.awaitLeaseHolder(target, nil)
	from := time.Now()
	l := c.startLoad(c.newClient(c.seatsExcept(owner)...), coldGallery, coldEnquiry)
	time.Sleep(faultLoadLength)
	restartAll(c.loadedTargets())
	time.Sleep(restartPause)
	owner.kill()
	killed := time.Now()
	c.await(recoveryBound, "target serves again", func() bool {
		return c.requestsBegun(killed, time.Now(), isTarget(target)) > 0
	})
	t.Logf("%s served again after %v", target.Config().ID, time.Since(killed).Round(time.Millisecond))
	for range 5 {
		restartAll(c.loadedTargets())
		time.Sleep(faultLoadLength / 4)
	}
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

func isTarget(target *standin.Target) func(standin.TargetConfig) bool {
	return func(config standin.TargetConfig) bool { return config.ID == target.Config().ID }
}

// shortLease shortens the leases, so that a test covers many of them.
const shortLease = "lease:\n  heartbeat: 150ms\n  term: 600ms\n  margin: 100ms\n"

// TestColdOwnerFrozen guards against an owner that continues cold work after its
// lease expired: it is frozen for longer than the lease term with cold work
// queued, and resumed while its successor sends to the cold targets.
func TestColdOwnerFrozen(t *testing.T) {
	t.Parallel()
	const rounds = 5
	c := startColdCell(t, &cell{hostCount: 4, settings: shortLease})
	target := c.targetsOf("look")[0]
	from := time.Now()
	end := c.startSideLoad("all", c.seats...)
	for range rounds {
		owner := c.awaitLeaseHolder(target, nil)
		restartAll(c.loadedTargets())
		time.Sleep(restartPause)
		owner.freeze()
		c.awaitLeaseHolder(target, owner)
		restartAll(c.loadedTargets())
		time.Sleep(restartPause)
		owner.resume()
		time.Sleep(faultLoadLength / 2)
	}
	t.Log(end())
	c.checkCold(from)
}

// TestColdOwnerReplaced guards against two processes that work for one seat: a new
// process starts at the seat of a frozen owner, then the old one resumes. The old
// one must stop.
func TestColdOwnerReplaced(t *testing.T) {
	t.Parallel()
	c := startColdCell(t, &cell{hostCount: 4})
	target := c.targetsOf("look")[0]
	owner := c.awaitLeaseHolder(target, nil)
	from := time.Now()
	l := c.startLoad(c.newClient(c.seatsExcept(owner)...), coldGallery, coldEnquiry)
	restartAll(c.loadedTargets())
	time.Sleep(restartPause)
	owner.freeze()
	oldProcess := c.replace(owner)
	c.awaitLeaseHolder(target, nil)
	c.awaitReady(c.seats...)

	end := c.startSideLoad("old", &oldProcess)
	restartAll(c.loadedTargets())
	time.Sleep(restartPause)
	oldProcess.resume()
	resumed := time.Now()
	for range 10 {
		restartAll(c.loadedTargets())
		time.Sleep(5 * restartPause)
	}
	select {
	case <-oldProcess.exited:
		t.Logf("the old process stopped after %v", time.Since(resumed).Round(time.Millisecond))
	case <-time.After(15 * time.Second):
		t.Error("old process: got no exit within 15 s, want it to stop as superseded")
	}
	t.Logf("outcomes of queries to the old process: %v", end())
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
}

// TestColdInASplit guards against cold work from both sides of a network split. It
// splits a cell of 5 hosts into 2 and 3 and restarts targets. Only one side may
// send to a cold target at a time, and the minority not at all once its leases
// have expired.
func TestColdInASplit(t *testing.T) {
	t.Parallel()
	c := startColdCell(t, &cell{hostCount: 5, relayed: true})
	minority, majority := c.seats[:2], c.seats[2:]
	endMinor := c.startSideLoad("minor", minority...)
	endMajor := c.startSideLoad("major", majority...)
	from := time.Now()
	split(minority, majority)
	restartAll(c.loadedTargets())
	c.await(5*time.Second, "minority holds no lease", func() bool {
		return len(c.leasedTargets(minority[0]))+len(c.leasedTargets(minority[1])) == 0
	})
	t.Logf("the minority's leases expired after %v", time.Since(from).Round(time.Millisecond))
	leasesExpired := time.Now()
	restartAll(c.loadedTargets())
	for _, target := range c.loadedTargets() {
		c.await(recoveryBound, "majority serves "+target.Config().ID, func() bool {
			return c.requestsBegun(leasesExpired, time.Now(), isTarget(target)) > 0
		})
	}
	t.Logf("the majority served every target after %v", time.Since(leasesExpired).Round(time.Millisecond))
	restartAll(c.loadedTargets())
	time.Sleep(faultLoadLength)
	healed := time.Now()
	heal(minority, majority)
	restartAll(c.loadedTargets())
	time.Sleep(2 * faultLoadLength)
	restartAll(c.loadedTargets())
	time.Sleep(faultLoadLength)
	t.Logf("outcomes of queries to the minority: %v, to the majority: %v", endMinor(), endMajor())

	c.checkOneSide(from.Add(rawDeadline+restartPause), leasesExpired, healed)
	c.checkCold(from)
}

// checkOneSide checks the cold work during a split, from its start until it is
// healed: none from the minority after its leases expired, and never from both
// sides at once on one target.
func (c *cell) checkOneSide(from, leasesExpired, healed time.Time) {
	c.t.Helper()
	minor, major := &sideLoad{name: "minor"}, &sideLoad{name: "major"}
	var minorEntries, majorEntries []standin.Entry
	for _, e := range c.ledger() {
		if !e.Begun() || !e.Cold() || e.Start().Before(from) || e.Start().After(healed) {
			continue
		}
		if minor.matches(e) {
			minorEntries = append(minorEntries, e)
		}
		if major.matches(e) {
			majorEntries = append(majorEntries, e)
		}
		if minor.matches(e) && e.Start().After(leasesExpired) {
			c.t.Errorf("cold target %s: got %s from the minority, want none", e.Target(), e.Query())
		}
	}
	c.t.Logf("cold requests during the split: %d from the minority, %d from the majority", len(minorEntries), len(majorEntries))
	for _, a := range minorEntries {
		for _, b := range majorEntries {
			if a.Target() == b.Target() && a.Start().Before(b.End()) && b.Start().Before(a.End()) {
				c.t.Errorf("cold target %s: got %s and %s at once, want one side", a.Target(), a.Query(), b.Query())
			}
		}
	}
}

// TestColdBytesHeldAcrossALease guards against requests of a former owner that
// arrive late. The network holds the bytes that the owner has written to its cold
// targets, the owner is killed, and the bytes are delivered while the successor
// sends to the same targets.
func TestColdBytesHeldAcrossALease(t *testing.T) {
	t.Parallel()
	relays := make(map[string]*relay)
	c := &cell{hostCount: 4}
	c.targetAddress = func(id, address string) string {
		if relays[id] == nil {
			relays[id] = startRelay(t, address)
		}
		return relays[id].address
	}
	startColdCell(t, c)
	target := c.targetsOf("look")[0]
	from := time.Now()
	owner := c.awaitLeaseHolder(target, nil)
	owned := c.leasedTargets(owner)
	l := c.startLoad(c.newClient(c.seatsExcept(owner)...), coldGallery, coldEnquiry)
	restartAll(c.loadedTargets())
	time.Sleep(5 * restartPause) // lets the owner open new connections
	setAll(relays, owned, rule{holdRequests: true})
	held := relays[target.Config().ID]
	c.await(2*time.Second, "bytes held", func() bool { return held.countHeld() > 0 })
	owner.kill()
	killed := time.Now()
	c.await(recoveryBound, "successor sends to the target", func() bool {
		return c.requestsBegun(killed, time.Now(), isTarget(target)) > 0
	})
	t.Logf("held bytes of %d connections are delivered after %v", c.countHeld(relays), time.Since(killed).Round(time.Millisecond))
	released := time.Now()
	setAll(relays, owned, rule{})
	time.Sleep(faultLoadLength)
	list := l.end()
	t.Log(summary(list))
	c.checkCold(from)
	c.checkLate(list, killed, released)
}

// checkLate checks that requests of queries sent before the kill reached targets
// after the release, and that none of them ran.
func (c *cell) checkLate(list []loadResult, killed, released time.Time) {
	c.t.Helper()
	sentBeforeKill := make(map[magnoliashore.QueryID]bool)
	for _, result := range list {
		sentBeforeKill[result.answer.Query()] = result.sentAt.Before(killed)
	}
	late := 0
	for _, e := range c.ledger() {
		if !sentBeforeKill[e.Query()] || e.Start().Before(released) {
			continue
		}
		late++
		if e.Begun() {
			c.t.Errorf("late request of query %s at target %s: got it run, want it refused", e.Query(), e.Target())
		}
	}
	c.t.Logf("late requests at targets: %d", late)
	if late == 0 {
		c.t.Error("late requests at targets: got 0, want at least 1")
	}
}

func setAll(relays map[string]*relay, targets []*standin.Target, newRule rule) {
	for _, target := range targets {
		relays[target.Config().ID].set("", newRule)
	}
}

// startSideLoad starts a load on the given seats only. The returned function stops
// it and returns the number of queries by outcome.
func (c *cell) startSideLoad(name string, seats ...*seat) (end func() map[string]int) {
	s := &sideLoad{name: name, seats: seats, raw: newRawClient(c.t), outcomes: make(map[string]int)}
	return s.start(c.t, []magnoliashore.GroupName{"gallery", "enquiry"})
}
