package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

var start = time.Unix(1000, 0)

// testJob returns a job that has a minute left.
func testJob(id uint64, class magnoliashore.Class, service magnoliashore.ServiceName, weight int) magnoliashore.Job {
	return magnoliashore.Job{
		ID: id, Class: class, Service: service, Weight: weight,
		Arrived: start, Deadline: start.Add(time.Minute),
	}
}

// randomJob returns a job of a random class, service and deadline.
func randomJob(rng *rand.Rand, id uint64) magnoliashore.Job {
	names := []magnoliashore.ServiceName{"a", "b", "c"}
	weights := []int{1, 7, 1000}
	pick := rng.IntN(len(names))
	job := testJob(id, magnoliashore.Class(rng.IntN(3)), names[pick], weights[pick])
	job.Deadline = start.Add(time.Duration(1+rng.IntN(100)) * time.Second)
	return job
}

// learn makes every service time known to be took.
func learn(q magnoliashore.Queue, took time.Duration) {
	for range 300 {
		q.Ran(took)
	}
}

// TestBeforeIsExact compares the number of jobs that are expected to be served
// before an offered one with how many are, over random queues.
func TestBeforeIsExact(t *testing.T) {
	t.Parallel()
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 300 {
		f := NewFair(1000)
		id := uint64(0)
		for range 5 {
			for range rng.IntN(40) {
				id++
				f.Offer(start, randomJob(rng, id), 1, 1)
			}
			for range rng.IntN(30) {
				f.Next(start)
			}
			f.Remove(id - uint64(rng.IntN(5)))
		}
		job := randomJob(rng, id+1)
		fl := f.class(job).flow(job)
		want := f.before(fl, f.store.take(start, job))
		if refusal, ok := f.Offer(start, job, 1, 1); !ok {
			t.Fatalf("round %d: refused: %+v", round, refusal)
		}
		got := 0
		for next, _ := f.Next(start); next.ID != job.ID; next, _ = f.Next(start) {
			got++
		}
		if got != want {
			t.Fatalf("round %d: got %d served before, want %d", round, got, want)
		}
	}
}

func TestShares(t *testing.T) {
	t.Parallel()
	f := NewFair(100_000)
	id := uint64(0)
	for range 4000 {
		for _, class := range magnoliashore.Classes() {
			for name, weight := range map[magnoliashore.ServiceName]int{"x": 3, "y": 1} {
				id++
				f.Offer(start, testJob(id, class, name, weight), 1, 1)
			}
		}
	}
	classes := make(map[magnoliashore.Class]int)
	services := make(map[magnoliashore.ServiceName]int)
	for range 2100 {
		job, _ := f.Next(start)
		classes[job.Class]++
		services[job.Service]++
	}
	for class, want := range map[magnoliashore.Class]int{0: 1600, 1: 400, 2: 100} {
		if got := classes[class]; got != want {
			t.Errorf("%v: got %d, want %d", class, got, want)
		}
	}
	if got, want := services["x"], 1575; got != want {
		t.Errorf("service x: got %d, want %d", got, want)
	}
}

// TestIdleServiceEarnsNoCredit offers one job at a time of a light service
// beside a backlog of a heavy one.
func TestIdleServiceEarnsNoCredit(t *testing.T) {
	t.Parallel()
	f := NewFair(10_000)
	for id := range uint64(2000) {
		f.Offer(start, testJob(id, magnoliashore.ClassUrgent, "heavy", 9), 1, 1)
	}
	light := 0
	next := testJob(9000, magnoliashore.ClassUrgent, "light", 1)
	for range 500 {
		f.Next(start)
	}
	f.Offer(start, next, 1, 1)
	for range 1000 {
		job, _ := f.Next(start)
		if job.Service == "light" {
			light++
			next.ID++
			f.Offer(start, next, 1, 1)
		}
	}
	if got, want := light, 100; got != want {
		t.Errorf("jobs of the light service: got %d, want %d", got, want)
	}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	for id, left := range []time.Duration{50, 10, 90, 10, 30} {
		job := testJob(uint64(id), magnoliashore.ClassNormal, "x", 1)
		job.Deadline = start.Add(left * time.Millisecond)
		f.Offer(start, job, 1, 1)
	}
	f.Remove(4)
	for _, want := range []uint64{1, 3, 0, 2} {
		if got, _ := f.Next(start); got.ID != want {
			t.Errorf("next: got %d, want %d", got.ID, want)
		}
	}
	if _, got := f.Next(start); got {
		t.Error("next of an empty queue: got a job, want none")
	}
}

func TestRoom(t *testing.T) {
	t.Parallel()
	tests := []struct {
		size, limit, busy          int
		background, normal, urgent int // jobs taken, offered in this order
	}{
		{8, 1, 1, 4, 2, 2},
		{8, 4, 1, 7, 2, 2},
		{1, 1, 1, 1, 0, 0},
		{2, 1, 1, 1, 0, 1},
		{0, 1, 1, 0, 0, 0},
		{0, 2, 0, 2, 0, 0},
		{4, 0, 0, 0, 0, 0},
		{4, 1, 3, 2, 1, 1},
	}
	for _, test := range tests {
		f := NewFair(test.size)
		id := uint64(0)
		wants := []int{test.urgent, test.normal, test.background}
		for _, class := range []magnoliashore.Class{2, 1, 0} {
			got := 0
			for range 20 {
				id++
				if _, ok := f.Offer(start, testJob(id, class, "x", 1), test.limit, test.busy); ok {
					got++
				}
			}
			if want := wants[class]; got != want {
				t.Errorf("%+v class %v: got %d, want %d", test, class, got, want)
			}
		}
	}
}

func TestOfferRefusesWhatDoesNotFit(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name               string
		queued, limit      int
		busy               int
		left               time.Duration
		reason             magnoliashore.Reason
		after              time.Duration
		ok                 bool
		learnt, anotherJob bool
	}{
		{name: "nothing learnt", queued: 9, limit: 1, busy: 1, left: 1, ok: true},
		{name: "deadline passed", limit: 1, left: 0, reason: "deadline", after: time.Millisecond},
		{name: "fits", learnt: true, queued: 4, limit: 1, busy: 1, left: 60 * time.Millisecond, ok: true},
		{name: "late", learnt: true, queued: 4, limit: 1, busy: 1, left: 55 * time.Millisecond, reason: "deadline", after: 5 * time.Millisecond},
		{name: "two slots", learnt: true, queued: 4, limit: 2, busy: 2, left: 35 * time.Millisecond, ok: true},
		{name: "two slots late", learnt: true, queued: 4, limit: 2, busy: 2, left: 34 * time.Millisecond, reason: "deadline", after: time.Millisecond},
		{name: "never fits", learnt: true, queued: 4, limit: 1, busy: 1, left: 9 * time.Millisecond, reason: "deadline", after: 50 * time.Millisecond},
		{name: "idle target is tried", learnt: true, limit: 1, left: 9 * time.Millisecond, ok: true},
		{name: "idle but passed", learnt: true, limit: 1, left: -1, reason: "deadline", after: time.Millisecond},
		{name: "full", learnt: true, queued: 20, limit: 1, busy: 1, left: time.Hour, reason: "busy", after: 10 * time.Millisecond},
		{name: "no limit", limit: 0, left: time.Hour, reason: "busy", after: time.Second},
		{name: "number twice", queued: 1, limit: 1, left: time.Hour, reason: "fault", after: time.Millisecond, anotherJob: true},
	}
	for _, test := range tests {
		f := NewFair(20)
		for id := range uint64(test.queued) {
			job := testJob(id+1, magnoliashore.ClassUrgent, "x", 1)
			job.Deadline = start
			job.Deadline = job.Deadline.Add(time.Nanosecond)
			f.Offer(start, job, 1, 1)
		}
		if test.learnt {
			learn(f, 10*time.Millisecond)
		}
		job := testJob(100, magnoliashore.ClassUrgent, "x", 1)
		if test.anotherJob {
			job.ID = 1
		}
		job.Deadline = start.Add(test.left)
		refusal, ok := f.Offer(start, job, test.limit, test.busy)
		if got, want := ok, test.ok; got != want {
			t.Errorf("%s: got %v, want %v", test.name, got, want)
		}
		want := magnoliashore.Refusal{Reason: test.reason, After: test.after}
		if got := refusal; got != want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, want)
		}
	}
}

// TestAfterIsTrue lets random full or slow queues drain for the time that a
// refusal names, and offers a job like the refused one again.
func TestAfterIsTrue(t *testing.T) {
	t.Parallel()
	const took = time.Millisecond
	rng := rand.New(rand.NewPCG(3, 4))
	refused := 0
	for round := range 2000 {
		f := NewFair(1 + rng.IntN(60))
		learn(f, took)
		limit := 1 + rng.IntN(4)
		for id := range uint64(rng.IntN(80)) {
			f.Offer(start, randomJob(rng, id+1), limit, limit)
		}
		job := randomJob(rng, 1000)
		job.Deadline = start.Add(took + time.Duration(rng.IntN(20))*took)
		refusal, ok := f.Offer(start, job, limit, limit)
		if ok {
			continue
		}
		refused++
		drained := int(float64(refusal.After)*float64(limit)/float64(took) + 0.999)
		busy := limit
		for range drained {
			if _, ok := f.Next(start); !ok {
				busy--
			}
		}
		now := start.Add(refusal.After)
		job.Deadline = job.Deadline.Add(refusal.After)
		if _, got := f.Offer(now, job, limit, busy); !got {
			t.Errorf("round %d: refused again after %v", round, refusal)
		}
	}
	if got, want := refused, 500; got < want {
		t.Errorf("refused: got %d, want at least %d", got, want)
	}
}
