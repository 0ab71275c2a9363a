package hedge

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// windowSamples is the number of samples in the younger histogram at which
	// the older one is emptied.
	windowSamples = 200
	// refreshSamples is the number of samples between two computations of the
	// quantile.
	refreshSamples = 16
	// medianFactor limits the delay to a multiple of the median: among few
	// samples, one or two stragglers suffice to raise a high quantile to theirs.
	medianFactor = 2
	// maxLatency is the upper bound on recorded latencies; longer ones count as it.
	maxLatency = time.Minute
	// significantDigits is the decimal precision of recorded latencies.
	significantDigits = 2
)

// window computes a quantile, limited by the median, of the recent latencies of
// one service: the last windowSamples to 2 x windowSamples, or more if at least
// that many are required. Both histograms record every sample; each time the
// younger one is full, the older one is emptied and the two are swapped.
type window struct {
	quantile       float64 // 0 to 1
	minSamples     int     // least number of samples for a value
	samplesPerSwap int     // samples between two swaps
	older          *hdrhistogram.Histogram
	younger        *hdrhistogram.Histogram
	sinceSwap      int  // samples since the last swap
	sinceRefresh   int  // samples since value was computed
	ready          bool // whether value has been computed
	value          time.Duration
}

func newWindow(quantile float64, minSamples int) *window {
	return &window{
		quantile:       quantile,
		minSamples:     minSamples,
		samplesPerSwap: max(windowSamples, minSamples),
		older:          newHistogram(),
		younger:        newHistogram(),
	}
}

// newHistogram returns an empty histogram with a resolution of 1 µs.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

// add records one latency, which must not be negative.
func (w *window) add(latency time.Duration) {
	value := max(min(latency, maxLatency).Microseconds(), 1)
	record(w.older, value)
	record(w.younger, value)
	w.sinceSwap++
	w.sinceRefresh++
	if w.sinceSwap >= w.samplesPerSwap {
		w.swapHistograms()
	}
	w.refresh()
}

// swapHistograms empties the older histogram and swaps the two.
func (w *window) swapHistograms() {
	w.older.Reset()
	w.older, w.younger = w.younger, w.older
	w.sinceSwap = 0
}

// refresh recomputes value if enough samples were added.
func (w *window) refresh() {
	if !w.ready && w.older.TotalCount() < int64(w.minSamples) {
		return
	}
	if w.ready && w.sinceRefresh < refreshSamples {
		return
	}
	const percent, half = 100, 50
	tail := w.older.ValueAtQuantile(w.quantile * percent)
	bound := medianFactor * w.older.ValueAtQuantile(half)
	w.value = time.Duration(min(tail, bound)) * time.Microsecond
	w.ready = true
	w.sinceRefresh = 0
}

// record adds value to h. RecordValue fails only for values out of range, which
// the caller excludes.
func record(h *hdrhistogram.Histogram, value int64) {
	_ = h.RecordValue(value)
}
