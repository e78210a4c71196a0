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
	onceRuns    = metrics.NewCounter("once_runs_total")
	onceAnswers = metrics.NewCounter("once_recorded_answers_total")
	oncePasses  = metrics.NewCounter("once_passed_to_deciding_host_total")
	onceUnknown = metrics.NewCounter("once_unknown_total")
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
func (o *Idempotency) Apply(c *call.Call, next Next) call.Answer {
	if c.Key == "" {
		return next(c)
	}
	// The outcome is recorded for a retry, so the run goes on without its caller.
	c.CallerGone = nil
	d, ended := o.Registry.begin(c, o.Hosts.LookupHost)
	return o.carryOut(d, ended, c, next)
}

func (o *Idempotency) carryOut(d idempotency.Decision, ended <-chan idempotency.Reply, c *call.Call, next Next) call.Answer {
	switch d.Verdict {
	case idempotency.Run:
		return o.run(d.Record, c, next)
	case idempotency.Wait:
		return o.wait(ended, c)
	case idempotency.Answer:
		onceAnswers.Inc()
		return call.Answer{Reply: withStatus(d.Reply), Recorded: true, Definitive: true}
	case idempotency.Forward:
		a, _ := o.ask(d, c)
		return a
	case idempotency.Claim:
		return o.claimed(o.Claimer.Claim(d.Record), c, next)
	case idempotency.Refuse:
		a := call.NotRun(d.Reply.Reason, d.Reply.RetryAfter)
		a.GivenUp = d.GivenUp
		a.Definitive = d.GivenUp || o.decides(c.Key)
		return a
	case idempotency.Invalid:
		return call.BadRequest(d.Reply.Reason)
	default:
		onceUnknown.Inc()
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

func (o *Idempotency) run(rec idempotency.RecordID, c *call.Call, next Next) call.Answer {
	onceRuns.Inc()
	c.MaySend = func() bool { return o.Registry.maySend(rec) }
	c.OnNotRun = func() { o.Registry.notSent(rec) }
	a := next(c)
	a.Definitive = true
	return o.end(rec, a)
}

// end records the end of rec, which may differ from a where the record knows
// more, and tells those that wait for it.
func (o *Idempotency) end(rec idempotency.RecordID, a call.Answer) call.Answer {
	reply := o.Registry.end(rec, a.Reply)
	if reply.Outcome != a.Outcome {
		a.Reply = withStatus(reply)
	}
	return a
}

// claimed carries out what became of a claim.
func (o *Idempotency) claimed(d idempotency.Decision, c *call.Call, next Next) call.Answer {
	switch d.Verdict {
	case idempotency.Run:
		return o.run(d.Record, c, next)
	case idempotency.Forward:
		a, givenUp := o.ask(d, c)
		if givenUp {
			return o.claimed(o.Claimer.TakeOver(d.Record), c, next)
		}
		return o.end(d.Record, a)
	default:
		return o.end(d.Record, o.carryOut(d, nil, c, next))
	}
}

// decides tells whether a key can have run nowhere but on this host.
func (o *Idempotency) decides(key string) bool {
	incarnation, _, ok := idempotency.ParsePrefix(key)
	return ok && incarnation == o.Registry.Registry.Incarnation
}

// wait gives a second request for a running key the end of the first.
func (o *Idempotency) wait(ended <-chan idempotency.Reply, c *call.Call) call.Answer {
	timer := time.NewTimer((c.Deadline - o.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case r := <-ended:
		return call.Answer{Reply: withStatus(r), Recorded: true, Definitive: o.decides(c.Key)}
	case <-timer.C:
		return call.Unknown(idempotency.ReasonStillRunning)
	}
}

// ask asks the host that decides, and tells whether that host gave its claim up.
// When it can't be asked, the request may have run there at an earlier try, so
// the outcome is unknown.
func (o *Idempotency) ask(d idempotency.Decision, c *call.Call) (a call.Answer, givenUp bool) {
	if c.Hops >= maxDecideHops {
		return call.Unknown(call.ReasonTooManyHops), false
	}
	oncePasses.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), (c.Deadline - o.Clock.Now()).Duration())
	defer cancel()
	asked := *c
	asked.Hops++
	asked.Mode = idempotency.ModeDecide
	if d.Claimed {
		asked.Mode = idempotency.ModeClaimed
		asked.ClaimRow = d.ClaimRow
	}
	a, notSent := o.Hosts.Decide(ctx, d.Host, &asked)
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
