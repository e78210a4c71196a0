package route

import (
	"math"

	"siskinpath/core/clock"
)

const (
	histogramBuckets           = 96   // covers 1 ms to about 47 s in steps of 12%
	histogramGrowth            = 1.12 // ratio of a bucket's upper bound to that of the bucket before
	histogramDecayThreshold    = 2000 // samples after which the weight of all is halved
	histogramMinSamples        = 20   // samples required before quantiles are reported
	histogramRecomputeInterval = 64   // samples between two computations of the quantiles
)

// latencyHistogram is the distribution of the service's latencies, with more weight
// on recent ones. Its quantiles are recomputed only every
// histogramRecomputeInterval samples.
type latencyHistogram struct {
	counts         [histogramBuckets]float64
	total          float64
	sinceRecompute int

	mean float64 // ms
	p10  float64 // ms
	p50  float64 // ms
	p90  float64 // ms
	p95  float64 // ms
}

// add records one latency.
func (l *latencyHistogram) add(d clock.Millis) {
	l.counts[bucketIndex(d)]++
	l.total++
	l.sinceRecompute++
	if l.sinceRecompute >= histogramRecomputeInterval || l.total == histogramMinSamples {
		l.recompute()
	}
}

// hasQuantiles reports whether there are enough samples for the quantiles.
func (l *latencyHistogram) hasQuantiles() bool { return l.p50 > 0 }

// recompute updates the mean and the quantiles, and halves all counts once there
// are histogramDecayThreshold samples, so that older ones lose weight.
func (l *latencyHistogram) recompute() {
	l.sinceRecompute = 0
	if l.total < histogramMinSamples {
		return
	}
	var sum float64
	for i, n := range l.counts {
		sum += n * bucketValue(i)
	}
	l.mean = sum / l.total
	l.p10 = l.quantile(0.10)
	l.p50 = l.quantile(0.50)
	l.p90 = l.quantile(0.90)
	l.p95 = l.quantile(0.95)
	if l.total < histogramDecayThreshold {
		return
	}
	for i := range l.counts {
		l.counts[i] /= 2
	}
	l.total /= 2
}

func (l *latencyHistogram) quantile(q float64) float64 {
	left := q * l.total
	for i, n := range l.counts {
		left -= n
		if left <= 0 {
			return bucketValue(i)
		}
	}
	return bucketValue(histogramBuckets - 1)
}

func bucketIndex(d clock.Millis) int {
	if d < 1 {
		return 0
	}
	i := int(math.Log(float64(d))/math.Log(histogramGrowth)) + 1
	return min(i, histogramBuckets-1)
}

// bucketValue returns the geometric middle of bucket i, in milliseconds.
func bucketValue(i int) float64 {
	if i == 0 {
		return 0.5
	}
	return math.Pow(histogramGrowth, float64(i)-0.5)
}
