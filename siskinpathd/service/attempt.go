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

// ProbeTimeout is the time limit for an upstream's answer to a probe.
const ProbeTimeout = 500 * clock.Millisecond

// idempotentForwardDivisor divides the time left of an idempotent request that is
// forwarded. The other host gets that part, and the rest remains for a retry
// elsewhere.
const idempotentForwardDivisor = 2

var (
	attemptsStarted = metrics.NewCounter("attempts_started_total")
	attemptsBarred  = metrics.NewCounter("attempts_barred_before_first_byte_total")
	probesSent      = metrics.NewCounter("probes_sent_total")
	probesBarred    = metrics.NewCounter("probes_over_budget_total")
	forwardsStarted = metrics.NewCounter("forwards_started_total")
)

// send starts an attempt. attemptEnded is called when it ends.
func (r *Runner) send(a *route.Action) {
	p := r.pending[a.Request]
	if p == nil {
		return
	}
	attemptsStarted.Inc()
	ctx, cancel := context.WithCancel(context.Background())
	r.attempts[a.Attempt] = attempt{upstream: a.Upstream, cancel: cancel}
	go r.runAttempt(ctx, p, a.Attempt, a.Upstream)
}

func (r *Runner) runAttempt(ctx context.Context, p *pendingCall, id route.AttemptID, name string) {
	checked, allowed := false, false
	rep, result, _ := r.Upstreams.Send(ctx, r.Service, name, &upstream.Attempt{
		Call:         p.call,
		RequestID:    r.HostID + "-" + r.Service + "-" + strconv.FormatUint(uint64(id), 16),
		Clock:        r.Clock,
		MaxBodyBytes: r.MaxBodyBytes,
		MaySend: func() bool {
			checked = true
			allowed = r.maySend(p, name)
			return allowed
		},
	})
	result.Attempt = id
	result.BlockedLocally = checked && !allowed
	didNotRun := result.Status == route.NotSent || result.Status == route.Refused
	if allowed && didNotRun && p.call.OnNotRun != nil {
		p.call.OnNotRun()
	}
	r.attemptEnded(p, rep, result)
}

// maySend is the final check before the first byte of an attempt. Call.MaySend comes
// last, because it records a request with a key as sent.
func (r *Runner) maySend(p *pendingCall, name string) bool {
	ok := r.Clock.Now() < p.call.Deadline && r.MayUse(r.Service, name)
	if ok && p.call.MaySend != nil {
		ok = p.call.MaySend()
	}
	if !ok {
		attemptsBarred.Inc()
	}
	return ok
}

func (r *Runner) attemptEnded(p *pendingCall, rep *upstream.Reply, result route.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rep != nil {
		p.replies = append(p.replies, reply{attempt: result.Attempt, reply: rep})
	}
	r.attempts[result.Attempt].cancel()
	delete(r.attempts, result.Attempt)
	r.perform(r.Shard.AttemptEnded(r.Clock.Now(), result))
}

// forward starts forwarding a call to another host. forwardEnded is called when that
// ends.
func (r *Runner) forward(a *route.Action) {
	p := r.pending[a.Request]
	if p == nil {
		return
	}
	forwardsStarted.Inc()
	go r.runForward(p, a.Request, a.Host)
}

func (r *Runner) runForward(p *pendingCall, id route.RequestID, host string) {
	left := p.call.Deadline - r.Clock.Now()
	allowed := left > 0 && (p.call.MaySend == nil || p.call.MaySend())
	if !allowed {
		r.forwardEnded(route.ForwardResult{Request: id, Host: host, NotRun: true})
		return
	}
	if p.call.Idempotent {
		left /= idempotentForwardDivisor
	}
	ctx, cancel := context.WithTimeout(context.Background(), left.Duration())
	defer cancel()
	next := *p.call
	next.Hops++
	next.Mode = idempotency.ModeCaller
	answer, notSent := r.Hosts.Forward(ctx, host, &next)
	result := route.ForwardResult{Request: id, Host: host, Digest: answer.Digest, RetryAfter: answer.RetryAfter}
	result.NotRun = notSent || answer.Outcome == idempotency.NotRun
	result.OutcomeUnknown = !result.NotRun && answer.Outcome == idempotency.OutcomeUnknown && p.call.Idempotent
	switch {
	case result.OutcomeUnknown:
	case !result.NotRun:
		r.mu.Lock()
		r.complete(id, answer)
		r.mu.Unlock()
	case p.call.OnNotRun != nil:
		p.call.OnNotRun()
	}
	r.forwardEnded(result)
}

func (r *Runner) forwardEnded(result route.ForwardResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.Shard.ForwardEnded(r.Clock.Now(), result))
}

// probe sends a probe to an upstream if the probe budget allows it.
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
