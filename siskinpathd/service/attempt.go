package service

import (
	"context"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/upstream"
)

// ProbeTimeout is how long an upstream has to answer a probe.
const ProbeTimeout = 500 * clock.Millisecond

// idempotentForwardDivisor is the part of the time left, as a divisor, that another host
// gets for an idempotent request before it is tried elsewhere.
const idempotentForwardDivisor = 2

var (
	attemptsStarted = metrics.NewCounter("attempts_started_total")
	attemptsBarred  = metrics.NewCounter("attempts_barred_before_first_byte_total")
	probesSent      = metrics.NewCounter("probes_sent_total")
	probesBarred    = metrics.NewCounter("probes_over_budget_total")
	forwardsStarted = metrics.NewCounter("forwards_started_total")
)

// send starts an attempt; its end comes back through attemptEnded.
func (r *Runner) send(a *route.Action) {
	w := r.pending[a.Request]
	if w == nil {
		return
	}
	attemptsStarted.Inc()
	ctx, cancel := context.WithCancel(context.Background())
	r.attempts[a.Attempt] = attempt{upstream: a.Upstream, cancel: cancel}
	go r.runAttempt(ctx, w, a.Attempt, a.Upstream)
}

func (r *Runner) runAttempt(ctx context.Context, w *pendingCall, id route.AttemptID, name string) {
	checked, allowed := false, false
	rep, result, _ := r.Upstreams.Send(ctx, r.Service, name, &upstream.Attempt{
		Call:         w.call,
		RequestID:    r.HostID + "-" + r.Service + "-" + strconv.FormatUint(uint64(id), 16),
		Clock:        r.Clock,
		MaxBodyBytes: r.MaxBodyBytes,
		MaySend: func() bool {
			checked = true
			allowed = r.maySend(w, name)
			return allowed
		},
	})
	result.Attempt = id
	result.BlockedLocally = checked && !allowed
	didNotRun := result.Status == route.NotSent || result.Status == route.Refused
	if allowed && didNotRun && w.call.OnNotRun != nil {
		w.call.OnNotRun()
	}
	r.attemptEnded(w, rep, result)
}

// maySend is the last check before the first byte of an attempt. The guard of a
// request that must happen once comes last, since it records the sending.
func (r *Runner) maySend(w *pendingCall, name string) bool {
	ok := r.Clock.Now() < w.call.Deadline && r.MayUse(r.Service, name)
	if ok && w.call.MaySend != nil {
		ok = w.call.MaySend()
	}
	if !ok {
		attemptsBarred.Inc()
	}
	return ok
}

func (r *Runner) attemptEnded(w *pendingCall, rep *upstream.Reply, result route.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep != nil {
		w.replies = append(w.replies, reply{attempt: result.Attempt, reply: rep})
	}
	r.attempts[result.Attempt].cancel()
	delete(r.attempts, result.Attempt)
	r.perform(r.Shard.AttemptEnded(r.Clock.Now(), result))
}

// forward passes a call to another host.
func (r *Runner) forward(a *route.Action) {
	w := r.pending[a.Request]
	if w == nil {
		return
	}
	forwardsStarted.Inc()
	go r.runForward(w, a.Request, a.Host)
}

func (r *Runner) runForward(w *pendingCall, id route.RequestID, host string) {
	left := w.call.Deadline - r.Clock.Now()
	allowed := left > 0 && (w.call.MaySend == nil || w.call.MaySend())
	if !allowed {
		r.forwardEnded(route.ForwardResult{Request: id, Host: host, NotRun: true})
		return
	}
	if w.call.Idempotent {
		left /= idempotentForwardDivisor
	}
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	next := *w.call
	next.Hops++
	next.Mode = idempotency.ModeCaller
	answer, notSent := r.Hosts.Forward(ctx, host, &next)
	result := route.ForwardResult{Request: id, Host: host, Digest: answer.Digest, RetryAfter: answer.RetryAfter}
	result.NotRun = notSent || answer.Outcome == idempotency.NotRun
	result.OutcomeUnknown = !result.NotRun && answer.Outcome == idempotency.OutcomeUnknown && w.call.Idempotent
	switch {
	case result.OutcomeUnknown:
	case !result.NotRun:
		r.mu.Lock()
		r.complete(id, answer)
		r.mu.Unlock()
	case w.call.OnNotRun != nil:
		w.call.OnNotRun()
	}
	r.forwardEnded(result)
}

func (r *Runner) forwardEnded(result route.ForwardResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.Shard.ForwardEnded(r.Clock.Now(), result))
}

// probe asks an upstream for its state, within the measuring budget.
func (r *Runner) probe(name string) {
	if !r.MayProbe(r.Service, name) {
		probesBarred.Inc()
		return
	}
	probesSent.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), ProbeTimeout.Duration())
		defer cancel()
		result := r.Upstreams.Probe(ctx, r.Service, name)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.perform(r.Shard.ProbeEnded(r.Clock.Now(), result))
	}()
}
