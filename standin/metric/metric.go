// Package metric prints what was measured, one "name value" line per figure.
package metric

import (
	"fmt"
	"io"
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Metric is one measured number. The name is in snake case and ends in its unit
// where it has one.
type Metric struct {
	Name  string
	Value float64
}

// Write writes one line per figure.
func Write(w io.Writer, figures []Metric) {
	for _, f := range figures {
		_, _ = fmt.Fprintf(w, "%s %s\n", f.Name, strconv.FormatFloat(f.Value, 'f', -1, 64))
	}
}

// Range and precision of a Histogram, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 120_000_000
	digits        = 3
)

// Histogram records spans of time. The zero value is empty and ready.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Record adds a span in microseconds. Below one it counts as one.
func (h *Histogram) Record(micros int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		h.h = hdrhistogram.New(lowestMicros, highestMicros, digits)
	}
	_ = h.h.RecordValue(min(max(micros, lowestMicros), highestMicros))
}

// Count returns the number of spans recorded.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return 0
	}
	return h.h.TotalCount()
}

// PercentileMs returns the span at percentile p, 0 to 100, in milliseconds.
func (h *Histogram) PercentileMs(p float64) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.h == nil {
		return 0
	}
	return float64(h.h.ValueAtPercentile(p)) / 1000
}

// Metrics returns name_p50, name_p99 and name_p99_9 in milliseconds.
func (h *Histogram) Metrics(name string) []Metric {
	return []Metric{
		{name + "_p50", h.PercentileMs(50)},
		{name + "_p99", h.PercentileMs(99)},
		{name + "_p99_9", h.PercentileMs(99.9)},
	}
}
