// Package metric collects measured values and prints them, one "name value" line
// per metric.
package metric

import (
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metric is a measured value. The name is in snake case and contains its unit
// where it has one.
type Metric struct {
	Name  string
	Value float64
}

// Write writes one line per metric.
func Write(w io.Writer, metrics []Metric) {
	for _, m := range metrics {
		_, _ = fmt.Fprintf(w, "%s %s\n", m.Name, strconv.FormatFloat(m.Value, 'f', -1, 64))
	}
}

// Range of a Histogram in microseconds, and its precision in significant digits.
const (
	lowestMicros      = 1
	highestMicros     = 120_000_000
	significantDigits = 3
)

// Histogram records durations. The zero value is empty and ready to use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Record adds a duration in microseconds. Durations outside the histogram's range
// are recorded as its lowest or highest value.
func (h *Histogram) Record(micros int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		h.h = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	_ = h.h.RecordValue(min(max(micros, lowestMicros), highestMicros))
}

// Count returns the number of recorded durations.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return 0
	}
	return h.h.TotalCount()
}

// PercentileMs returns the duration at percentile p, 0 to 100, in milliseconds; 0
// when the histogram is empty.
func (h *Histogram) PercentileMs(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return 0
	}
	return float64(h.h.ValueAtPercentile(p)) / 1000
}

// Metrics returns the metrics name_p50, name_p99 and name_p99_9 in milliseconds.
func (h *Histogram) Metrics(name string) []Metric {
	return []Metric{
		{name + "_p50", h.PercentileMs(50)},
		{name + "_p99", h.PercentileMs(99)},
		{name + "_p99_9", h.PercentileMs(99.9)},
	}
}
