package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestExpired(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		queue magnoliashore.Queue
		left  int // jobs with 10, 20, 30 and 40 ms; 5 ms least service time; 25 ms later
	}{
		{"fair", NewFair(10), 1},
		{"fifo", NewFIFO(10), 2},
	}
	for _, test := range tests {
		for id := range uint64(4) {
			job := testJob(id, magnoliashore.ClassUrgent, "x", 1)
			job.Deadline = start.Add(time.Duration(id+1) * 10 * time.Millisecond)
			test.queue.Offer(start, job, 1, 1)
		}
		test.queue.Ran(9 * time.Millisecond)
		test.queue.Ran(5 * time.Millisecond)
		gone := test.queue.Expired(start.Add(25 * time.Millisecond))
		if got, want := test.queue.Len(), test.left; got != want {
			t.Errorf("%s: got %d left, want %d", test.name, got, want)
		}
		if got, want := len(gone), 4-test.left; got != want {
			t.Errorf("%s: got %d expired, want %d", test.name, got, want)
		}
	}
}

// TestIdleTrialIsNotExpired keeps a job that was taken in spite of the learnt
// times until its deadline.
func TestIdleTrialIsNotExpired(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	learn(f, time.Second)
	job := testJob(1, magnoliashore.ClassUrgent, "x", 1)
	job.Deadline = start.Add(10 * time.Millisecond)
	if _, ok := f.Offer(start, job, 1, 0); !ok {
		t.Fatal("offer to an idle target: got a refusal, want the job taken")
	}
	if got, want := len(f.Expired(start.Add(9*time.Millisecond))), 0; got != want {
		t.Errorf("before the deadline: got %d expired, want %d", got, want)
	}
	if got, want := len(f.Expired(start.Add(10*time.Millisecond))), 1; got != want {
		t.Errorf("at the deadline: got %d expired, want %d", got, want)
	}
}

// TestEstimateRecovers feeds a target that was slow for a while and is fast
// again: the refusals end.
func TestEstimateRecovers(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	learn(f, time.Second)
	for id := range uint64(100) {
		job := testJob(id, magnoliashore.ClassUrgent, "x", 1)
		job.Deadline = start.Add(80 * time.Millisecond)
		f.Offer(start, job, 2, 0)
		if _, ok := f.Next(start); ok {
			f.Ran(5 * time.Millisecond)
		}
	}
	job := testJob(200, magnoliashore.ClassUrgent, "x", 1)
	job.Deadline = start.Add(80 * time.Millisecond)
	if refusal, ok := f.Offer(start, job, 2, 2); !ok {
		t.Errorf("got refusal %+v, want the job taken", refusal)
	}
}

func TestFIFO(t *testing.T) {
	t.Parallel()
	q := NewFIFO(3)
	learn(q, 10*time.Millisecond)
	rng := rand.New(rand.NewPCG(5, 6))
	for id := range uint64(4) {
		q.Offer(start, randomJob(rng, id), 2, 1)
	}
	refusal, ok := q.Offer(start, randomJob(rng, 9), 2, 1)
	if got, want := ok, false; got != want {
		t.Errorf("offer to a full queue: got %v, want %v", got, want)
	}
	want := magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, After: 5 * time.Millisecond}
	if got := refusal; got != want {
		t.Errorf("refusal: got %+v, want %+v", got, want)
	}
	if got, want := q.Remove(2), true; got != want {
		t.Errorf("remove: got %v, want %v", got, want)
	}
	if got, want := q.Remove(2), false; got != want {
		t.Errorf("remove again: got %v, want %v", got, want)
	}
	for _, want := range []uint64{0, 1, 3} {
		if got, _ := q.Next(start); got.ID != want {
			t.Errorf("next: got %d, want %d", got.ID, want)
		}
	}
}

// TestIdleServicesAreForgotten offers jobs of very many services in turn.
func TestIdleServicesAreForgotten(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	for id := range uint64(10_000) {
		name := magnoliashore.ServiceName(rune(id + 1))
		f.Offer(start, testJob(id, magnoliashore.ClassUrgent, name, 1), 1, 1)
		f.Next(start)
	}
	if got, most := len(f.classes[0].flows), 2*sweepLeast; got > most {
		t.Errorf("services held: got %d, want at most %d", got, most)
	}
}

func BenchmarkOfferNext(b *testing.B) {
	const waiting = 1000
	queues := map[string]magnoliashore.Queue{
		"fair": NewFair(10 * waiting),
		"fifo": NewFIFO(10 * waiting),
	}
	for name, q := range queues {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(7, 8))
			id := uint64(0)
			for q.Len() < waiting {
				id++
				q.Offer(start, randomJob(rng, id), 2, 2)
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Offer(start, randomJob(rng, id), 2, 2)
				q.Next(start)
			}
		})
	}
}
