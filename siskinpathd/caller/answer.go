package caller

import (
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/once"
	"siskinpath/siskinpathd/call"
)

var outcomeNames = map[once.Outcome]string{
	once.Answered:       "answered",
	once.NotRun:         "not_run",
	once.OutcomeUnknown: "unknown",
}

var outcomeCounters = map[once.Outcome]*metrics.Counter{
	once.Answered:       metrics.NewCounter(`requests_total{outcome="answered"}`),
	once.NotRun:         metrics.NewCounter(`requests_total{outcome="not_run"}`),
	once.OutcomeUnknown: metrics.NewCounter(`requests_total{outcome="unknown"}`),
}

// countReason counts why a request was given up. Reasons are constants of this
// program, so the number of counters is bounded.
func countReason(a *call.Answer) {
	if a.Outcome == once.Answered {
		return
	}
	name := `requests_given_up_total{outcome="` + outcomeNames[a.Outcome] + `",reason="` + a.Reason + `"}`
	metrics.GetOrCreateCounter(name).Inc()
}

// writeAnswer sends an answer out. It is called exactly once for each request.
func writeAnswer(ctx *fasthttp.RequestCtx, hostID string, a *call.Answer) {
	outcomeCounters[a.Outcome].Inc()
	countReason(a)
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
	if a.Outcome != once.Answered {
		ctx.SetBodyString(outcomeNames[a.Outcome] + " " + a.Reason + "\n")
		return
	}
	ctx.SetBody(a.Body)
}
