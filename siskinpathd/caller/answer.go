package caller

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

var outcomeNames = map[idempotency.Outcome]string{
	idempotency.Answered:       "answered",
	idempotency.NotRun:         "not_run",
	idempotency.OutcomeUnknown: "unknown",
}

var outcomeCounters = map[idempotency.Outcome]*metrics.Counter{
	idempotency.Answered:       metrics.NewCounter(`requests_total{outcome="answered"}`),
	idempotency.NotRun:         metrics.NewCounter(`requests_total{outcome="not_run"}`),
	idempotency.OutcomeUnknown: metrics.NewCounter(`requests_total{outcome="unknown"}`),
}

// countUnanswered counts requests without an upstream's answer by outcome and
// reason. Reasons are constants of this program, so the number of counters is
// bounded.
func countUnanswered(a *call.Answer) {
	if a.Outcome == idempotency.Answered {
		return
	}
	name := `requests_given_up_total{outcome="` + outcomeNames[a.Outcome] + `",reason="` + a.Reason + `"}`
	metrics.GetOrCreateCounter(name).Inc()
}

// writeAnswer writes an answer to the HTTP response and counts it. It must be called
// exactly once for each request.
func writeAnswer(ctx *fasthttp.RequestCtx, hostID string, a *call.Answer) {
	outcomeCounters[a.Outcome].Inc()
	countUnanswered(a)
	h := &ctx.Response.Header
	for _, kv := range a.Header {
		h.Add(kv[0], kv[1])
	}
	ctx.SetStatusCode(a.Status)
	h.Set(headerOutcome, outcomeNames[a.Outcome])
	h.Set(headerHost, hostID)
	if a.Reason != "" {
		h.Set(headerReason, a.Reason)
	}
	if a.RetryAfter > 0 {
		h.Set(headerRetryAfterMs, strconv.FormatInt(int64(a.RetryAfter), 10))
		h.Set(headerRetryAfter, strconv.FormatInt(int64((a.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	if a.Recorded {
		h.Set(headerRecorded, "true")
	}
	if a.Outcome != idempotency.Answered {
		ctx.SetBodyString(outcomeNames[a.Outcome] + " " + a.Reason + "\n")
		return
	}
	ctx.SetBody(a.Body)
}
