// Package reach decides whether this host is cut off from the targets of an
// availability zone, as opposed to these targets being down: several of them fail
// here, this host cannot connect to random ones, and another host can, at the same
// time. It reads no clock and does no I/O: callers pass in the time and the outcome
// of tests.
package reach

import (
	"slices"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	minTestInterval = 500 * time.Millisecond // between two tests of a zone
	maxTestInterval = 2 * time.Second        // between tests that have the same outcome as before
	// Share of requests that go to a zone directly when it can be reached again, and
	// how long it lasts until it is doubled.
	firstShare = 1.0 / 8
	stepTime   = 250 * time.Millisecond
)

// Test is the outcome of a test: this host and others tried to connect to the same
// targets of a zone.
type Test struct {
	Zone   magnoliashore.ZoneName
	Tried  int // targets
	Own    int // targets that this host could connect to
	Others int // the most targets that one other host could connect to
}

// reachedByOthers reports whether another host could connect to most of the targets.
func (t Test) reachedByOthers() bool { return t.Tried > 0 && 3*t.Others >= 2*t.Tried }

// Change is what a test or the passing of time has changed.
type Change int

// The changes of a zone.
const (
	Unchanged Change = iota
	CutBegan         // the zone's targets cannot be reached from this host
	Returning        // they can be reached again; a share of the requests goes there
	Returned         // all requests go there again
)

// zone is the state of a zone that is not calm.
type zone struct {
	cut      bool
	share    float64 // of the requests that go there directly, unless it is cut
	stepAt   time.Time
	tested   bool // since the suspicion began
	reached  bool // the latest test connected to a target
	testAt   time.Time
	interval time.Duration // until the test after the next one
}

// Detector holds the state of all zones. The zero value knows no cut. It is not safe
// for concurrent use.
type Detector struct {
	zones map[magnoliashore.ZoneName]*zone
}

// Observe records whether several targets of a zone fail at this host.
func (d *Detector) Observe(now time.Time, name magnoliashore.ZoneName, failing bool) Change {
	z, ok := d.zones[name]
	switch {
	case !ok && failing:
		d.Suspect(now, name)
	case !ok || z.cut:
	case failing && z.share < 1 && z.tested:
		// The return is held up until a test has found out why.
		z.tested, z.testAt, z.interval = false, now, minTestInterval
	case !failing && z.share < 1 && !now.Before(z.stepAt):
		z.share, z.stepAt = 2*z.share, now.Add(stepTime)
		if z.share >= 1 {
			delete(d.zones, name)
			return Returned
		}
	case !failing && z.share >= 1 && z.tested:
		delete(d.zones, name)
	}
	return Unchanged
}

// Suspect has a zone tested, whether its targets fail or not.
func (d *Detector) Suspect(now time.Time, name magnoliashore.ZoneName) {
	if _, ok := d.zones[name]; !ok {
		d.add(name, &zone{share: 1, testAt: now, interval: minTestInterval})
	}
}

func (d *Detector) add(name magnoliashore.ZoneName, z *zone) {
	if d.zones == nil {
		d.zones = make(map[magnoliashore.ZoneName]*zone)
	}
	d.zones[name] = z
}

// DueTests returns the zones to test now, and plans their next tests.
func (d *Detector) DueTests(now time.Time) []magnoliashore.ZoneName {
	var due []magnoliashore.ZoneName
	for name, z := range d.zones {
		if now.Before(z.testAt) {
			continue
		}
		due = append(due, name)
		z.testAt = now.Add(z.interval)
		z.interval = min(2*z.interval, maxTestInterval)
	}
	slices.Sort(due)
	return due
}

// Record records the outcome of a test.
func (d *Detector) Record(now time.Time, t Test) Change {
	z, ok := d.zones[t.Zone]
	if !ok {
		return Unchanged
	}
	z.tested, z.reached = true, t.Own > 0
	switch {
	case z.cut && t.Tried > 0 && t.Own == t.Tried:
		*z = zone{share: firstShare, stepAt: now.Add(stepTime), tested: true, reached: true, testAt: now.Add(maxTestInterval), interval: minTestInterval}
		return Returning
	case !z.cut && t.Own == 0 && t.reachedByOthers():
		z.interval = minTestInterval
		if z.share < 1 {
			z.interval = maxTestInterval // the return was too early
		}
		z.cut, z.share, z.testAt = true, 0, now.Add(z.interval)
		return CutBegan
	case !z.reached && !z.cut:
		// The targets seem to be down, or no other host has answered.
		z.testAt, z.interval = now.Add(minTestInterval), minTestInterval
	}
	return Unchanged
}

// Cut reports whether this host is cut off from the targets of a zone.
func (d *Detector) Cut(name magnoliashore.ZoneName) bool {
	z, ok := d.zones[name]
	return ok && z.cut
}

// Direct reports whether a request may go to targets of a zone directly. random is a
// number from 0 to 1 that is drawn for the request.
func (d *Detector) Direct(name magnoliashore.ZoneName, random float64) bool {
	z, ok := d.zones[name]
	return !ok || !z.cut && random < z.share
}

// Reliable reports whether failures of a zone's targets say something about them: this
// host is not cut off from them, and no test is due to find out.
func (d *Detector) Reliable(name magnoliashore.ZoneName) bool {
	z, ok := d.zones[name]
	return !ok || z.tested && z.reached
}

// Calm reports whether no zone is suspected.
func (d *Detector) Calm() bool { return len(d.zones) == 0 }

// Retain drops the zones for which known returns false.
func (d *Detector) Retain(known func(name magnoliashore.ZoneName) bool) {
	for name := range d.zones {
		if !known(name) {
			delete(d.zones, name)
		}
	}
}
