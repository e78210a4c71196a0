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

// Claimer settles claims in the platform's table service.
type Claimer interface {
	// Claim writes the claim of rec and waits until it is decided.
	Claim(rec idempotency.RecordID) idempotency.Decision
	// TakeOver says that the claimant gave up, and settles the claim anew.
	TakeOver(rec idempotency.RecordID) idempotency.Decision
}

// Hosts reaches the host that decides about a key.
type Hosts interface {
	// LookupHost tells which host runs as an incarnation.
	LookupHost(incarnation uint64) (hostID string, p idempotency.HostStatus)
	// Decide passes a request to the host that decides about its key.
	Decide(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool)
}

// Idempotency lets a request that carries an idempotency key run at most once.
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
	// The outcome is recorded for a retry, so the run goes on without its caller.
	c.CallerGone = nil
	d, ended := f.Registry.begin(c, f.Hosts.LookupHost)
	return f.execute(d, ended, c, next)
}

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

// withStatus gives a recorded outcome that no upstream answered its status.
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

// finish records the end of rec, which may differ from a where the record knows
// more, and tells those that wait for it.
func (f *Idempotency) finish(rec idempotency.RecordID, a call.Answer) call.Answer {
	reply := f.Registry.end(rec, a.Reply)
	if reply.Outcome != a.Outcome {
		a.Reply = withStatus(reply)
	}
	return a
}

// afterClaim carries out what became of a claim.
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

// decidesAlone tells whether a key can have run nowhere but on this host.
func (f *Idempotency) decidesAlone(key string) bool {
	incarnation, _, ok := idempotency.ParsePrefix(key)
	return ok && incarnation == f.Registry.Registry.Incarnation
}

// wait gives a second request for a running key the end of the first.
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

// forward asks the host that decides, and tells whether that host gave its claim up.
// When it can't be asked, the request may have run there at an earlier try, so
// the outcome is unknown.
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
		return a, false // no time was left to ask
	}
	if notSent {
		return call.Unknown(idempotency.ReasonHostUnreachable), false
	}
	givenUp = d.Claimed && a.GivenUp
	a.GivenUp = false
	return a, givenUp
}

// maxDecideHops bounds the way of a request to the host that decides.
const maxDecideHops = 3
