package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// ids drains the queue and returns the IDs of its jobs in order, one digit each.
func ids(q magnoliashore.Queue) string {
	var text []byte
	for job, ok := q.Next(start); ok; job, ok = q.Next(start) {
		text = append(text, '0'+byte(job.ID))
	}
	return string(text)
}

func TestOrder(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		queue magnoliashore.Queue
		want  string
	}{{NewFair(10), "1302"}, {NewFIFO(10), "0123"}} {
		for id, left := range []time.Duration{50, 10, 90, 10, 30} {
			test.queue.Offer(start, newJob(uint64(id), 7, "x", 1, left*ms), 1, 1)
		}
		check(t, "remove", test.queue.Remove(4), true)
		check(t, "remove again", test.queue.Remove(4), false)
		check(t, "length", test.queue.Len(), 4)
		check(t, "order", ids(test.queue), test.want)
	}
}

// TestExpired calls Expired 25 ms after start, on jobs with deadlines 10, 20, 30
// and 40 ms after start and a shortest service time of 5 ms.
func TestExpired(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		queue magnoliashore.Queue
		want  string
	}{{NewFair(10), "4"}, {NewFIFO(10), "34"}} {
		for id := range uint64(4) {
			test.queue.Offer(start, newJob(id+1, urgent, "x", 1, time.Duration(id+1)*10*ms), 1, 1)
		}
		test.queue.ObserveServiceTime(9 * ms)
		test.queue.ObserveServiceTime(5 * ms)
		expired := test.queue.Expired(start.Add(25 * ms))
		check(t, "expired", len(expired), 4-test.queue.Len())
		check(t, "left", ids(test.queue), test.want)
	}
}

func TestShortestServiceTime(t *testing.T) {
	t.Parallel()
	var got serviceTimes
	got.add(ms)
	check(t, "first", got.shortest(), ms)
	for range 2*windowSamples - 2 {
		got.add(5 * ms)
		check(t, "within two windows", got.shortest(), ms)
	}
	got.add(5 * ms)
	check(t, "after two windows", got.shortest(), 5*ms)
}

// TestJobOnIdleTargetExpiresAtDeadline offers a job to an idle target that is
// accepted although the estimate says that it is too late. Expired must not
// remove it before its deadline.
func TestJobOnIdleTargetExpiresAtDeadline(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	fillServiceTimes(f, time.Second)
	f.Offer(start, newJob(1, urgent, "x", 1, 10*ms), 1, 0)
	check(t, "before the deadline", len(f.Expired(start.Add(9*ms))), 0)
	check(t, "at the deadline", len(f.Expired(start.Add(10*ms))), 1)
}

// TestEstimateRecovers offers jobs to a target that was slow and is fast again.
// The refusals must end.
func TestEstimateRecovers(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	fillServiceTimes(f, time.Second)
	for id := range uint64(100) {
		f.Offer(start, newJob(id, urgent, "x", 1, 80*ms), 2, 0)
		if _, ok := f.Next(start); ok {
			f.ObserveServiceTime(5 * ms)
		}
	}
	_, got := f.Offer(start, newJob(200, urgent, "x", 1, 80*ms), 2, 2)
	check(t, "offer to a busy target", got, true)
}

func TestFIFORefusesOnlyWhenFull(t *testing.T) {
	t.Parallel()
	q := NewFIFO(0)
	q.Resize(3)
	fillServiceTimes(q, 10*ms)
	for id := range uint64(4) {
		q.Offer(start, newJob(id, urgent, "x", 1, 1), 2, 1)
	}
	full := magnoliashore.Refusal{Reason: magnoliashore.ReasonBusy, RetryAfter: 5 * ms}
	for id, want := range map[uint64]magnoliashore.Refusal{9: full, 1: {Reason: magnoliashore.ReasonFault, RetryAfter: ms}} {
		got, ok := q.Offer(start, newJob(id, urgent, "x", 1, time.Minute), 2, 1)
		check(t, "taken", ok, false)
		check(t, "refusal", got, want)
	}
}

// TestIdleServicesAreRemoved offers jobs of 10,000 services one after the other.
// Without the removal of idle services, the map of flows would grow with them.
func TestIdleServicesAreRemoved(t *testing.T) {
	t.Parallel()
	f := NewFair(10)
	for id := range uint64(10_000) {
		f.Offer(start, newJob(id, urgent, magnoliashore.ServiceName(rune(id+1)), 1, ms), 1, 1)
		f.Next(start)
	}
	check(t, "at most 2*minSweepFlows services held", len(f.classes[0].flows) <= 2*minSweepFlows, true)
}

func BenchmarkOfferNext(b *testing.B) {
	const waiting = 1000
	queues := map[string]magnoliashore.Queue{"fair": NewFair(10 * waiting), "fifo": NewFIFO(10 * waiting)}
	for name, q := range queues {
		b.Run(name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(7, 8))
			id := uint64(0)
			for q.Len() < waiting {
				id++
				q.Offer(start, randomJob(rng, id, 3), 2, 2)
			}
			b.ReportAllocs()
			for b.Loop() {
				id++
				q.Offer(start, randomJob(rng, id, 3), 2, 2)
				q.Next(start)
			}
		})
	}
}
