package sim

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	maxLatencyMicros = int64(60 * Second)
	histogramDigits  = 3
)

// Result holds the measurements of one run, or of several that differ only in
// their seed.
type Result struct {
	Latency   *hdrhistogram.Histogram // of answered and late requests, in microseconds; a late one counts as at least its deadline
	Seconds   float64                 // measured time
	Arrived   int
	Answered  int // answered before the deadline
	Refused   int // not executed
	Late      int // outcome unknown, or answered after the deadline
	Errors    int // answered with an error by an upstream
	Attempts  int
	Hedges    int
	Retries   int
	Probes    int
	Digests   int // digests sent between hosts
	Hops      int // requests forwarded between hosts
	Overshoot int // largest number of requests at one upstream in excess of its slots
	Intervals []Interval
}

// Interval counts the requests that arrived in one interval of a run, by outcome.
type Interval struct {
	From     Micros // from the end of the warm-up
	Arrived  int
	Answered int
	Refused  int
	Late     int
	Errors   int
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{Latency: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
}

// Merge adds the measurements of another run of the same scenario.
func (r *Result) Merge(other *Result) {
	r.Latency.Merge(other.Latency)
	r.Seconds += other.Seconds
	r.Arrived += other.Arrived
	r.Answered += other.Answered
	r.Refused += other.Refused
	r.Late += other.Late
	r.Errors += other.Errors
	r.Attempts += other.Attempts
	r.Hedges += other.Hedges
	r.Retries += other.Retries
	r.Probes += other.Probes
	r.Digests += other.Digests
	r.Hops += other.Hops
	r.Overshoot = max(r.Overshoot, other.Overshoot)
	r.mergeIntervals(other.Intervals)
}

func (r *Result) mergeIntervals(others []Interval) {
	for i, o := range others {
		if i == len(r.Intervals) {
			r.Intervals = append(r.Intervals, Interval{From: o.From})
		}
		in := &r.Intervals[i]
		in.Arrived += o.Arrived
		in.Answered += o.Answered
		in.Refused += o.Refused
		in.Late += o.Late
		in.Errors += o.Errors
	}
}

// Quantile returns the latency at quantile q, from 0 to 1, in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(100*q)) / float64(Millisecond)
}

// PerSecond returns a count as a rate per second of measured time.
func (r *Result) PerSecond(n int) float64 { return float64(n) / r.Seconds }

// Share returns a count as a share of the requests that arrived.
func (r *Result) Share(n int) float64 { return float64(n) / float64(max(1, r.Arrived)) }
