package filter

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/siskinpathd/call"
)

var (
	runs               = metrics.NewCounter("once_runs_total")
	recordedAnswers    = metrics.NewCounter("once_recorded_answers_total")
	forwardedToDecider = metrics.NewCounter("once_passed_to_deciding_host_total")
	unknownOutcomes    = metrics.NewCounter("once_unknown_total")
)

// Claimer claims keys in the platform's table service.
type Claimer interface {
	// Claim writes the claim of rec and waits for the decision on it.
	Claim(rec idempotency.RecordID) idempotency.Decision
	// TakeOver records that the host that held the claim of rec gave it up, claims
	// the key again and waits for the decision.
	TakeOver(rec idempotency.RecordID) idempotency.Decision
}

// Hosts finds and calls the host that decides on a key.
type Hosts interface {
	// LookupHost returns the id and status of the host that runs as incarnation.
	LookupHost(incarnation uint64) (hostID string, status idempotency.HostStatus)
	// Decide forwards a request to the host that decides on its key. notSent is
	// true when the request certainly did not reach that host.
	Decide(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool)
}

// Idempotency makes requests that carry an idempotency key run at most once.
type Idempotency struct {
	Clock    clock.Clock
	Registry *LockedKeyRegistry
	Claimer  Claimer
	Hosts    Hosts
}

// Apply implements Filter.
func (f *Idempotency) Apply(c *call.Call, next Next) call.Answer {
	if c.Key == "" {
		return next(c)
	}
	// The outcome is recorded for a retry, so the request continues even if its
	// caller disconnects.
	c.CallerGone = nil
	d, ended := f.Registry.begin(c, f.Hosts.LookupHost)
	return f.execute(d, ended, c, next)
}

// execute carries out the registry's decision on c.
func (f *Idempotency) execute(d idempotency.Decision, ended <-chan idempotency.Reply, c *call.Call, next Next) call.Answer {
	switch d.Verdict {
	case idempotency.Run:
		return f.run(d.Record, c, next)
	case idempotency.Wait:
		return f.wait(ended, c)
	case idempotency.Answer:
		recordedAnswers.Inc()
		return call.Answer{Reply: withStatus(d.Reply), Recorded: true, Definitive: true}
	case idempotency.Forward:
		a, _ := f.forward(d, c)
		return a
	case idempotency.Claim:
		return f.afterClaim(f.Claimer.Claim(d.Record), c, next)
	case idempotency.Refuse:
		a := call.NotRun(d.Reply.Reason, d.Reply.RetryAfter)
		a.GivenUp = d.GivenUp
		a.Definitive = d.GivenUp || f.decidesAlone(c.Key)
		return a
	case idempotency.Invalid:
		return call.BadRequest(d.Reply.Reason)
	default:
		unknownOutcomes.Inc()
		return call.Answer{Reply: withStatus(d.Reply)}
	}
}

// withStatus adds the HTTP status to a recorded reply that has none because no
// upstream answered.
func withStatus(r idempotency.Reply) idempotency.Reply {
	switch r.Outcome {
	case idempotency.NotRun:
		return call.NotRun(r.Reason, r.RetryAfter).Reply
	case idempotency.OutcomeUnknown:
		unknown := call.Unknown(r.Reason).Reply
		unknown.RetryAfter = r.RetryAfter
		return unknown
	default:
		return r
	}
}

func (f *Idempotency) run(rec idempotency.RecordID, c *call.Call, next Next) call.Answer {
	runs.Inc()
	c.MaySend = func() bool { return f.Registry.maySend(rec) }
	c.OnNotRun = func() { f.Registry.notSent(rec) }
	a := next(c)
	a.Definitive = true
	return f.finish(rec, a)
}

// finish records a as the reply of rec and passes it to the requests that wait for
// it. It returns the recorded reply, which can differ from a: the record knows, for
// example, that the request was already sent.
func (f *Idempotency) finish(rec idempotency.RecordID, a call.Answer) call.Answer {
	reply := f.Registry.end(rec, a.Reply)
	if reply.Outcome != a.Outcome {
		a.Reply = withStatus(reply)
	}
	return a
}

// afterClaim carries out the decision on a claim.
func (f *Idempotency) afterClaim(d idempotency.Decision, c *call.Call, next Next) call.Answer {
	switch d.Verdict {
	case idempotency.Run:
		return f.run(d.Record, c, next)
	case idempotency.Forward:
		a, givenUp := f.forward(d, c)
		if givenUp {
			return f.afterClaim(f.Claimer.TakeOver(d.Record), c, next)
		}
		return f.finish(d.Record, a)
	default:
		return f.finish(d.Record, f.execute(d, nil, c, next))
	}
}

// decidesAlone reports whether a key can only have run on this host.
func (f *Idempotency) decidesAlone(key string) bool {
	incarnation, _, ok := idempotency.ParsePrefix(key)
	return ok && incarnation == f.Registry.Registry.Incarnation
}

// wait answers a request whose key is already running with the reply of the running
// request.
func (f *Idempotency) wait(ended <-chan idempotency.Reply, c *call.Call) call.Answer {
	timer := time.NewTimer((c.Deadline - f.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case r := <-ended:
		return call.Answer{Reply: withStatus(r), Recorded: true, Definitive: f.decidesAlone(c.Key)}
	case <-timer.C:
		return call.Unknown(idempotency.ReasonStillRunning)
	}
}

// forward forwards a request to the host that decides on its key and reports
// whether that host gave up its claim. If the host can't be reached, the outcome is
// unknown, because the request may have run there in an earlier try.
func (f *Idempotency) forward(d idempotency.Decision, c *call.Call) (a call.Answer, givenUp bool) {
	if c.Hops >= maxDecideHops {
		return call.Unknown(call.ReasonTooManyHops), false
	}
	forwardedToDecider.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), (c.Deadline - f.Clock.Now()).Duration())
	defer cancel()
	forwarded := *c
	forwarded.Hops++
	forwarded.Mode = idempotency.ModeDecide
	if d.Claimed {
		forwarded.Mode = idempotency.ModeClaimed
		forwarded.ClaimRow = d.ClaimRow
	}
	a, notSent := f.Hosts.Decide(ctx, d.Host, &forwarded)
	if notSent && a.Outcome == idempotency.NotRun {
		return a, false // no time was left to forward the request
	}
	if notSent {
		return call.Unknown(idempotency.ReasonHostUnreachable), false
	}
	givenUp = d.Claimed && a.GivenUp
	a.GivenUp = false
	return a, givenUp
}

// maxDecideHops limits the hops of a request to the host that decides on its key.
const maxDecideHops = 3
