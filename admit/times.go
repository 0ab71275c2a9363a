package admit

import "time"

const (
	// smoothing is the weight of a new service time in the mean.
	smoothing = 1.0 / 16
	// windowSamples is how many service times a window of the least one spans.
	windowSamples = 256
	// shortestAfter and longestAfter bound the advice when to come back.
	shortestAfter = time.Millisecond
	longestAfter  = time.Second
)

// times holds what was learnt of the service times of one target.
type times struct {
	mean    float64 // nanoseconds; zero before the first sample
	count   int     // samples in the present window
	present time.Duration
	past    time.Duration
	known   bool // a window has been completed
}

// add takes in one service time; a negative one counts as zero.
func (t *times) add(took time.Duration) {
	took = max(took, 0)
	if t.count == 0 && !t.known {
		t.mean = float64(took)
	}
	t.mean += smoothing * (float64(took) - t.mean)
	if t.count == 0 || took < t.present {
		t.present = took
	}
	t.count++
	if t.count == windowSamples {
		t.past, t.known, t.count = t.present, true, 0
	}
}

// least returns the shortest service time of the last one to two windows, or
// zero before the first sample.
func (t *times) least() time.Duration {
	if t.count == 0 {
		return t.past
	}
	if !t.known {
		return t.present
	}
	return min(t.present, t.past)
}

// one returns the mean service time.
func (t *times) one() time.Duration { return time.Duration(t.mean) }

// drain returns how long a target that runs limit jobs at once, at least one,
// needs for the given number of jobs.
func (t *times) drain(jobs, limit int) time.Duration {
	return time.Duration(float64(jobs) * t.mean / float64(max(limit, 1)))
}

// wait returns the expected time until a job starts, with ahead queued jobs
// before it and busy running ones.
func (t *times) wait(ahead, limit, busy int) time.Duration {
	return t.drain(max(ahead+busy-limit+1, 0), limit)
}

// bound returns after within shortestAfter and longestAfter.
func bound(after time.Duration) time.Duration {
	return min(max(after, shortestAfter), longestAfter)
}
