package entry

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

var (
	extraAttempts = metrics.NewCounter("repeats_total")
	probesSent    = metrics.NewCounter("probes_total")
	probesFailed  = metrics.NewCounter("probes_failed_total")
	loadAge       = metrics.NewHistogram("load_age_seconds")
	queueWait     = metrics.NewHistogram("wait_seconds")
	coldUpstreams = metrics.NewGauge("cold_upstreams", nil)
	coldSends     = metrics.NewCounter("cold_sends_total")
	coldWithheld  = metrics.NewCounter("cold_withheld_total")

	storeEra atomic.Int64 // of the platform's store, as far as this host knows
)

func init() {
	metrics.NewGauge("store_era", func() float64 { return float64(storeEra.Load()) })
}

// reasonUpstream is the reason label of a response from an upstream.
const reasonUpstream = "upstream"

// countResponse counts a final response.
func countResponse(r *request, resp *Response, took clock.Millis) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	reason := resp.Reason
	if reason == "" {
		reason = reasonUpstream
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`requests_total{route=%q,status="%d",reason=%q}`, name, resp.Status, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`request_seconds{route=%q}`, name)).Update(seconds(took))
}

// countSend counts an attempt. It records how long the request waited in the queue,
// and how old the load report was on which the choice of the upstream was based.
func countSend(detail place.SendDetail) {
	if detail.Attempt > 1 {
		extraAttempts.Inc()
	} else {
		queueWait.Update(seconds(detail.Waited))
	}
	if detail.Cold {
		coldSends.Inc()
	}
	if detail.Reported {
		loadAge.Update(seconds(detail.Age))
	}
}

// countCold counts the placer's cold upstreams and the requests that they took nothing of.
// d.mu must be held.
func (d *Dispatcher) countCold() {
	cold, held := d.placer.ColdUpstreams(), d.placer.ColdWithheld()
	coldUpstreams.Add(float64(cold - d.cold))
	coldWithheld.Add(held - d.held)
	d.cold, d.held = cold, held
}

// countAttempt counts the end of an attempt.
func countAttempt(service string, status route.Status) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`attempts_total{service=%q,status=%q}`, service, statusNames[status])).Inc()
}

// inFlightOf returns the gauge of the requests that this host has sent to upstreams of an
// availability zone and that have not ended.
func inFlightOf(zone string) *metrics.Gauge {
	return metrics.GetOrCreateGauge(fmt.Sprintf(`upstream_requests_in_flight{availability_zone=%q}`, zone), nil)
}

func seconds(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
