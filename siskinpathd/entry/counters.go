package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

var (
	repeatsSent   = metrics.NewCounter("repeats_total")
	probesSent    = metrics.NewCounter("probes_total")
	probesFailed  = metrics.NewCounter("probes_failed_total")
	loadAge       = metrics.NewHistogram("load_age_seconds")
	waitedForRoom = metrics.NewHistogram("wait_seconds")
)

// reasonUpstream stands for an answer that an upstream gave.
const reasonUpstream = "upstream"

// countAnswer counts a final answer.
func countAnswer(r *request, a *Response, took clock.Millis) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	reason := a.Reason
	if reason == "" {
		reason = reasonUpstream
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`requests_total{route=%q,status="%d",reason=%q}`, name, a.Status, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`request_seconds{route=%q}`, name)).Update(seconds(took))
}

// countSend counts an attempt and how old the knowledge behind it was.
func countSend(b place.SendDetail) {
	if b.Attempt > 1 {
		repeatsSent.Inc()
	} else {
		waitedForRoom.Update(seconds(b.Waited))
	}
	if b.Reported {
		loadAge.Update(seconds(b.Age))
	}
}

// countAttempt counts the end of an attempt.
func countAttempt(service string, status route.Status) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`attempts_total{service=%q,status=%q}`, service, statusNames[status])).Inc()
}

func seconds(m clock.Millis) float64 { return float64(m) / float64(clock.Second) }
