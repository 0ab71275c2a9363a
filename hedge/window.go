package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSamples is how many samples a histogram takes before the older of
	// the two is emptied.
	windowSamples = 200
	// refreshSamples is how many samples pass between two computations of the
	// quantile.
	refreshSamples = 16
	// medianFactor bounds the delay by a multiple of the median. With few
	// samples a straggler or two put the quantile itself among the stragglers.
	medianFactor = 2
	// longest is the longest latency that the histograms tell apart.
	longest = time.Minute
	// digits is the number of significant decimal digits of a latency.
	digits = 2
)

// window keeps a quantile, bounded by the median, over the last windowSamples to 2 x windowSamples
// latencies of one service. Both histograms take every sample; each time the
// younger one is full, the older one is emptied and the two swap.
type window struct {
	quantile float64 // 0 to 1
	least    int     // samples before ready
	swap     int     // samples between two swaps
	older    *hdrhistogram.Histogram
	younger  *hdrhistogram.Histogram
	count    int // samples since the last swap
	since    int // samples since value was computed
	ready    bool
	value    time.Duration
}

func newWindow(quantile float64, least int) *window {
	return &window{
		quantile: quantile,
		least:    least,
		swap:     max(windowSamples, least),
		older:    newHistogram(),
		younger:  newHistogram(),
	}
}

// newHistogram returns an empty histogram of whole microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longest.Microseconds(), digits)
}

// add takes in one latency, which is not negative.
func (w *window) add(latency time.Duration) {
	value := max(min(latency, longest).Microseconds(), 1)
	record(w.older, value)
	record(w.younger, value)
	w.count++
	w.since++
	if w.count >= w.swap {
		w.turn()
	}
	w.refresh()
}

// turn empties the older histogram and swaps the two.
func (w *window) turn() {
	w.older.Reset()
	w.older, w.younger = w.younger, w.older
	w.count = 0
}

// refresh computes the quantile if that is due.
func (w *window) refresh() {
	if !w.ready && w.older.TotalCount() < int64(w.least) {
		return
	}
	if w.ready && w.since < refreshSamples {
		return
	}
	const percent, half = 100, 50
	tail := w.older.ValueAtQuantile(w.quantile * percent)
	bound := medianFactor * w.older.ValueAtQuantile(half)
	w.value = time.Duration(min(tail, bound)) * time.Microsecond
	w.ready = true
	w.since = 0
}

// record adds value, which the caller keeps inside the histogram's range, the
// only cause of an error.
func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value)
}
