package route

import (
	"math"

	"siskinpath/core/clock"
)

const (
	histogramBuckets  = 96   // covers 1 ms to about 70 s in steps of 12%
	histogramGrowth   = 1.12 // ratio of one bucket's upper bound to the one before
	histogramKept     = 2000 // samples after which older ones weigh half
	histogramTrusted  = 20   // samples below which no quantile is told
	histogramRecomput = 64   // samples between two recomputations of the quantiles
)

// latencies is the service's own distribution of latencies, recent ones
// weighing more. Its quantiles are recomputed now and then only.
type latencies struct {
	counts [histogramBuckets]float64
	total  float64
	since  int

	mean float64 // ms
	p10  float64 // ms
	p50  float64 // ms
	p90  float64 // ms
	p95  float64 // ms
}

// add counts one latency.
func (l *latencies) add(d clock.Millis) {
	l.counts[bucketOf(d)]++
	l.total++
	l.since++
	if l.since >= histogramRecomput || l.total == histogramTrusted {
		l.recompute()
	}
}

// trusted tells whether the quantiles mean anything yet.
func (l *latencies) trusted() bool { return l.p50 > 0 }

func (l *latencies) recompute() {
	l.since = 0
	if l.total < histogramTrusted {
		return
	}
	var sum float64
	for i, n := range l.counts {
		sum += n * valueOf(i)
	}
	l.mean = sum / l.total
	l.p10 = l.quantile(0.10)
	l.p50 = l.quantile(0.50)
	l.p90 = l.quantile(0.90)
	l.p95 = l.quantile(0.95)
	if l.total < histogramKept {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

func (l *latencies) quantile(q float64) float64 {
	left := q * l.total
	for i, n := range l.counts {
		left -= n
		if left <= 0 {
			return valueOf(i)
		}
	}
	return valueOf(histogramBuckets - 1)
}

func bucketOf(d clock.Millis) int {
	if d < 1 {
		return 0
	}
	i := int(math.Log(float64(d))/math.Log(histogramGrowth)) + 1
	return min(i, histogramBuckets-1)
}

func valueOf(i int) float64 {
	if i == 0 {
		return 0.5
	}
	return math.Pow(histogramGrowth, float64(i)-0.5)
}
