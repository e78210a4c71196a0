package sim

import "github.com/HdrHistogram/hdrhistogram-go"

const (
	maxLatencyMicros = int64(60 * Second)
	histogramDigits  = 3
)

// Result is what one run, or several with different seeds, gave.
type Result struct {
	Latency   *hdrhistogram.Histogram // of every request that was not refused, in microseconds; a late one counts with its deadline at least
	Seconds   float64                 // measured
	Arrived   int
	Answered  int // in time
	Refused   int // not run
	Late      int // unknown, or answered after the deadline
	Errors    int // answered by an upstream's error
	Attempts  int
	Hedges    int
	Retries   int
	Probes    int
	Digests   int // messages between hosts
	Hops      int // passes between hosts
	Overshoot int // most requests at one upstream beyond its slots
	Intervals []Interval
}

// Interval is a part of a run.
type Interval struct {
	From     Micros
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

// Merge adds another run with the same settings.
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

// Quantile returns a quantile of the latency in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	return float64(r.Latency.ValueAtQuantile(100*q)) / float64(Millisecond)
}

// PerSecond returns a count as a rate.
func (r *Result) PerSecond(n int) float64 { return float64(n) / r.Seconds }

// Share returns a count as a part of what arrived.
func (r *Result) Share(n int) float64 { return float64(n) / float64(max(1, r.Arrived)) }
