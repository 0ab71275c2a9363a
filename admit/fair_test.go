package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	ms         = time.Millisecond
	urgent     = magnoliashore.ClassUrgent
	normal     = magnoliashore.ClassNormal
	background = magnoliashore.ClassBackground
)

var start = time.Unix(1000, 0)

// newJob returns a job whose deadline is left after start.
func newJob(id uint64, class magnoliashore.Class, service magnoliashore.ServiceName, weight int, left time.Duration) magnoliashore.Job {
	return magnoliashore.Job{ID: id, Class: class, Service: service, Weight: weight, Deadline: start.Add(left)}
}

// randomJob returns a job with a random service and deadline, and with a random
// class below classes.
func randomJob(rng *rand.Rand, id uint64, classes int) magnoliashore.Job {
	names := []magnoliashore.ServiceName{"a", "b", "c"}
	weights := []int{1, 7, 1000}
	pick := rng.IntN(len(names))
	left := time.Duration(1+rng.IntN(100)) * time.Second
	return newJob(id, magnoliashore.Class(rng.IntN(classes)), names[pick], weights[pick], left)
}

// fillServiceTimes records took as the service time until both windows hold no
// other.
func fillServiceTimes(q magnoliashore.Queue, took time.Duration) {
	for range 2 * windowSamples {
		q.ObserveServiceTime(took)
	}
}

// check fails the test if got differs from want; name is printed.
func check[T comparable](t *testing.T, name string, got, want T) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}

// TestBeforeIsExact compares the predicted number of jobs served before an
// offered one with the actual number, on random queues.
func TestBeforeIsExact(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		f := NewFair(1000)
		id := uint64(0)
		for range 5 {
			for range rng.IntN(40) {
				id++
				f.Offer(start, randomJob(rng, id, 3), 1, 1)
			}
			for range rng.IntN(40) {
				f.Next(start)
			}
			f.Remove(id - uint64(rng.IntN(5)))
		}
		job := randomJob(rng, id+1, 3)
		r := f.request(start, job, 1, 1)
		want := f.before(r.flow, r.item)
		f.Offer(start, job, 1, 1)
		got := -1
		for next := (magnoliashore.Job{}); next.ID != job.ID && got <= want; got++ {
			next, _ = f.Next(start)
		}
		check(t, "served before", got, want)
	}
}

// TestWeightedShares serves a backlog alone for a while, and then keeps one job
// of a second class or service queued beside it. The second one must get its
// weighted share, and no credit for the time in which it was idle.
func TestWeightedShares(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		heavy, light magnoliashore.Job
		want         int // light jobs of 1000
	}{
		{newJob(0, urgent, "a", 9, time.Minute), newJob(9000, urgent, "b", 1, time.Minute), 100},
		{newJob(0, urgent, "a", 1, time.Minute), newJob(9000, normal, "b", 1, time.Minute), 200},
		{newJob(0, urgent, "a", 1, time.Minute), newJob(9000, background, "b", 1, time.Minute), 59},
		{newJob(0, normal, "a", 1, time.Minute), newJob(9000, background, "b", 1, time.Minute), 200},
		{newJob(0, background, "a", 1, time.Minute), newJob(9000, normal, "b", 1, time.Minute), 801},
	} {
		f := NewFair(10_000)
		for test.heavy.ID < 2000 {
			test.heavy.ID++
			f.Offer(start, test.heavy, 1, 1)
		}
		for range 500 {
			f.Next(start)
		}
		f.Offer(start, test.light, 1, 1)
		got := 0
		for range 1000 {
			job, _ := f.Next(start)
			if job.ID == test.light.ID {
				got++
				test.light.ID++
				f.Offer(start, test.light, 1, 1)
			}
		}
		check(t, "light jobs", got, test.want)
	}
}

// TestEmptyQueueResetsShares serves a background job until the queue is empty.
// The background class must then have no debt towards urgent jobs that arrive
// later.
func TestEmptyQueueResetsShares(t *testing.T) {
	t.Parallel()
	f := NewFair(100)
	f.Offer(start, newJob(1, background, "x", 1, time.Minute), 1, 1)
	f.Next(start)
	for id := range uint64(20) {
		f.Offer(start, newJob(id+2, urgent, "x", 1, time.Minute), 1, 1)
	}
	f.Offer(start, newJob(50, background, "x", 1, time.Minute), 1, 1)
	f.Next(start)
	next, _ := f.Next(start)
	check(t, "second job", next.ID, 50)
}

func TestQuotas(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		size, limit, busy int
		want              [3]int // accepted jobs of each class; background jobs are offered first
	}{
		{8, 1, 1, [3]int{2, 2, 4}},
		{8, 4, 1, [3]int{2, 2, 7}},
		{1, 1, 1, [3]int{0, 0, 1}},
		{2, 1, 1, [3]int{1, 0, 1}},
		{0, 1, 1, [3]int{}},
		{0, 2, 0, [3]int{0, 0, 2}},
		{4, 0, 0, [3]int{}},
		{4, 1, 3, [3]int{1, 1, 2}},
	} {
		f := NewFair(0)
		f.Resize(test.size)
		var got [3]int
		for id := range uint64(60) {
			class := background - magnoliashore.Class(id/20)
			if _, ok := f.Offer(start, newJob(id, class, "x", 1, time.Minute), test.limit, test.busy); ok {
				got[class]++
			}
		}
		check(t, "accepted jobs", got, test.want)
	}
}

func TestOffer(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name                string
		took                time.Duration // recorded service time
		queued, limit, busy int
		id                  uint64
		left                time.Duration
		reason              magnoliashore.Reason // empty if the job is accepted
		after               time.Duration
	}{
		{"no service time recorded", 0, 9, 1, 1, 100, 1, "", 0},
		{"deadline passed", 0, 0, 1, 0, 100, 0, "deadline", ms},
		{"fits", 10 * ms, 4, 1, 1, 100, 110 * ms, "", 0},
		{"late", 10 * ms, 4, 1, 1, 100, 100 * ms, "deadline", 5*ms + 1},
		{"two slots", 10 * ms, 4, 2, 2, 100, 60 * ms, "", 0},
		{"two slots, too late", 10 * ms, 4, 2, 2, 100, 59 * ms, "deadline", ms},
		{"never fits", 10 * ms, 4, 1, 1, 100, 9 * ms, "deadline", 50 * ms},
		{"too late, idle target", 10 * ms, 0, 1, 0, 100, 9 * ms, "", 0},
		{"idle, deadline passed", 10 * ms, 0, 1, 0, 100, -1, "deadline", ms},
		{"full", 10 * ms, 20, 1, 1, 100, time.Hour, "busy", 10 * ms},
		{"full and too late", 10 * ms, 20, 1, 1, 100, 50 * ms, "busy", 190*ms + 1},
		{"no limit", 0, 0, 0, 0, 100, time.Hour, "busy", time.Second},
		{"duplicate ID", 0, 1, 1, 0, 0, time.Hour, "fault", ms},
	} {
		f := NewFair(20)
		for id := range uint64(test.queued) {
			f.Offer(start, newJob(id, urgent, "x", 1, 1), 1, 1)
		}
		fillServiceTimes(f, test.took)
		got, ok := f.Offer(start, newJob(test.id, urgent, "x", 1, test.left), test.limit, test.busy)
		check(t, test.name, ok, test.reason == "")
		check(t, test.name, got, magnoliashore.Refusal{Reason: test.reason, RetryAfter: test.after})
	}
}

// TestRetryAfterIsSufficient drains random full or slow queues for the
// retry-after of a refusal. A job like the refused one must then be accepted.
func TestRetryAfterIsSufficient(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(3, 4))
	refused := 0
	for range 3000 {
		f := NewFair(1 + rng.IntN(60))
		fillServiceTimes(f, ms)
		limit := 1 + rng.IntN(4)
		classes := 1 + rng.IntN(3)
		for id := range uint64(rng.IntN(80)) {
			f.Offer(start, randomJob(rng, id+1, classes), limit, limit)
			if rng.IntN(4) == 0 {
				f.Next(start)
			}
		}
		job := randomJob(rng, 1000, 3)
		job.Deadline = start.Add(time.Duration(1+rng.IntN(20)) * ms)
		refusal, ok := f.Offer(start, job, limit, limit)
		if ok {
			continue
		}
		refused++
		busy := limit
		for range int(float64(refusal.RetryAfter)*float64(limit)/float64(ms) + 0.999) {
			if _, ok := f.Next(start); !ok {
				busy--
			}
		}
		job.Deadline = job.Deadline.Add(refusal.RetryAfter)
		again, ok := f.Offer(start.Add(refusal.RetryAfter), job, limit, busy)
		if !ok {
			t.Errorf("got refusal %v after %v, want the job accepted (time left %v limit %d len %d busy %d size %d)", again, refusal, job.Deadline.Sub(start)-refusal.RetryAfter, limit, f.Len(), busy, f.size)
		}
	}
	check(t, "at least 500 refused", refused >= 500, true)
}
