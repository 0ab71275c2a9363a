package admit_test

import (
	"fmt"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/admit"
)

func Example() {
	now := time.Unix(1000, 0)
	queue := admit.NewFair(8)
	queue.ObserveServiceTime(20 * time.Millisecond)

	job := magnoliashore.Job{
		ID: 1, Class: magnoliashore.ClassUrgent, Service: "look1", Weight: 1,
		Arrived: now, Deadline: now.Add(70 * time.Millisecond),
	}
	_, ok := queue.Offer(now, job, 1, 1)
	fmt.Println(ok)

	job.ID = 2
	refusal, ok := queue.Offer(now, job, 1, 1)
	fmt.Println(ok, refusal.Reason, refusal.RetryAfter)

	next, _ := queue.Next(now)
	fmt.Println(next.ID)
	// Output:
	// true
	// false deadline 15.000001ms
	// 1
}
