package configservice_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/configservice"
)

func TestReaderRole(t *testing.T) {
	t.Parallel()
	start := time.Unix(1000, 0)
	tests := []struct {
		name  string
		rank  int
		reads []time.Duration // after start
		at    time.Duration
		want  configservice.Role
	}{
		{"rank 0 at start", 0, nil, 0, configservice.Watch},
		{"rank 0 despite reads by others", 0, []time.Duration{time.Second}, time.Second, configservice.Watch},
		{"rank 1 at start", 1, nil, 0, configservice.Idle},
		{"rank 1 before Quiet", 1, nil, 1999 * time.Millisecond, configservice.Idle},
		{"rank 1 after Quiet", 1, nil, 2 * time.Second, configservice.Watch},
		{"rank 3 before 3 times Quiet", 3, nil, 5999 * time.Millisecond, configservice.Idle},
		{"rank 3 after 3 times Quiet", 3, nil, 6 * time.Second, configservice.Watch},
		{"rank 1 after a recorded read", 1, []time.Duration{time.Second}, 2 * time.Second, configservice.Idle},
		{"rank 1 returns to idle", 1, []time.Duration{9 * time.Second}, 10 * time.Second, configservice.Idle},
		{"a read recorded out of order is ignored", 1, []time.Duration{5 * time.Second, time.Second}, 6 * time.Second, configservice.Idle},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := configservice.NewReader(configservice.ReaderConfig{Rank: test.rank, Quiet: 2 * time.Second})
			r.Role(start)
			for _, after := range test.reads {
				r.RecordRead(start.Add(after))
			}
			if got := r.Role(start.Add(test.at)); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestReaderNext(t *testing.T) {
	t.Parallel()
	const poll = 10 * time.Second
	now := time.Unix(1000, 0)
	r := configservice.NewReader(configservice.ReaderConfig{
		Rank: 1, Poll: poll, Quiet: time.Second, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	var sum time.Duration
	const draws = 1000
	for range draws {
		wait := r.Next(now).Sub(now)
		if wait < poll/2 || wait >= poll*3/2 {
			t.Fatalf("got %v, want from %v to %v", wait, poll/2, poll*3/2)
		}
		sum += wait
	}
	if got := sum / draws; got < 9*time.Second || got > 11*time.Second {
		t.Errorf("got a mean of %v, want about %v", got, poll)
	}
}
