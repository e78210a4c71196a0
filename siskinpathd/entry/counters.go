package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
)

// counters count what callers get.
type counters struct{}

// answered counts a final answer.
func (counters) answered(r *request, a *Answer, took clock.Millis) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	reason := a.Reason
	if reason == "" {
		reason = "upstream"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`requests_total{route=%q,status="%d",reason=%q}`, name, a.Status, reason)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`request_seconds{route=%q}`, name)).Update(float64(took) / float64(clock.Second))
}
