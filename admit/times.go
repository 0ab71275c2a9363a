package admit

import "time"

const (
	// smoothing is the smoothing factor of the mean service time.
	smoothing = 1.0 / 16
	// windowSamples is the number of service times in a window of the minimum.
	windowSamples = 256
	// minRetryAfter and maxRetryAfter bound the retry-after of a refusal.
	minRetryAfter = time.Millisecond
	maxRetryAfter = time.Second
)

// serviceTimes holds the mean and the windowed minimum of a target's service
// times.
type serviceTimes struct {
	mean        float64       // exponential moving average in nanoseconds; zero before the first sample
	count       int           // samples in the current window
	current     time.Duration // minimum of the current window
	previous    time.Duration // minimum of the previous window
	hasPrevious bool          // the first window is complete
}

// add records a service time; a negative one counts as zero.
func (t *serviceTimes) add(took time.Duration) {
	took = max(took, 0)
	if t.count == 0 && !t.hasPrevious {
		t.mean = float64(took)
	}
	t.mean += smoothing * (float64(took) - t.mean)
	if t.count == 0 || took < t.current {
		t.current = took
	}
	t.count++
	if t.count == windowSamples {
		t.previous, t.hasPrevious, t.count = t.current, true, 0
	}
}

// shortest returns the shortest service time in the current and the previous
// window, or zero before the first sample.
func (t *serviceTimes) shortest() time.Duration {
	if t.count == 0 {
		return t.previous
	}
	if !t.hasPrevious {
		return t.current
	}
	return min(t.current, t.previous)
}

// average returns the mean service time.
func (t *serviceTimes) average() time.Duration { return time.Duration(t.mean) }

// drainTime returns the expected time in which a target runs the given number of
// jobs, limit of them concurrently. A limit below one counts as one.
func (t *serviceTimes) drainTime(jobs, limit int) time.Duration {
	return time.Duration(float64(jobs) * t.mean / float64(max(limit, 1)))
}

// expectedWait returns the expected time until a job starts that has ahead queued
// jobs before it, while busy jobs are running.
func (t *serviceTimes) expectedWait(ahead, limit, busy int) time.Duration {
	return t.drainTime(max(ahead+busy-limit+1, 0), limit)
}

// clampRetryAfter limits a retry-after to minRetryAfter and maxRetryAfter.
func clampRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minRetryAfter), maxRetryAfter)
}
