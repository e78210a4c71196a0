package filter

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"siskinpath/core/clock"
	"siskinpath/core/once"
	"siskinpath/siskinpathd/call"
)

var (
	onceRuns    = metrics.NewCounter("once_runs_total")
	onceAnswers = metrics.NewCounter("once_recorded_answers_total")
	oncePasses  = metrics.NewCounter("once_passed_to_deciding_host_total")
	onceUnknown = metrics.NewCounter("once_unknown_total")
)

// Claims settles claims in the platform's table service.
type Claims interface {
	// Settle writes the claim of rec and waits until it is decided.
	Settle(rec once.RecordID) once.Decision
	// TakeOver says that the claimant gave up, and settles the claim anew.
	TakeOver(rec once.RecordID) once.Decision
}

// Deciders reaches the host that decides about a key.
type Deciders interface {
	// Find tells which host runs as an incarnation.
	Find(incarnation uint64) (hostID string, p once.Presence)
	// Decide passes a request to the host that decides about its key.
	Decide(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool)
}

// Once lets a request that carries an idempotency key run at most once.
type Once struct {
	Clock  clock.Clock
	Keeper *Keeper
	Claims Claims
	Hosts  Deciders
}

// Apply implements Filter.
func (o *Once) Apply(c *call.Call, next Next) call.Answer {
	if c.Key == "" {
		return next(c)
	}
	// The outcome is recorded for a retry, so the run goes on without its caller.
	c.Gone = nil
	d, ended := o.Keeper.begin(c, o.Hosts.Find)
	return o.carryOut(d, ended, c, next)
}

func (o *Once) carryOut(d once.Decision, ended <-chan once.Reply, c *call.Call, next Next) call.Answer {
	switch d.Verdict {
	case once.Run:
		return o.run(d.Record, c, next)
	case once.Wait:
		return o.wait(ended, c)
	case once.Answer:
		onceAnswers.Inc()
		return call.Answer{Reply: withStatus(d.Reply), Recorded: true, Decided: true}
	case once.Pass:
		return o.pass(d, c, next)
	case once.Claim:
		a := o.carryOut(o.Claims.Settle(d.Record), nil, c, next)
		o.Keeper.settled(d.Record, a.Reply)
		return a
	case once.Refuse:
		a := call.NotRun(d.Reply.Reason, d.Reply.RetryAfter)
		a.GivenUp = d.GivenUp
		a.Decided = d.GivenUp || o.decides(c.Key)
		return a
	case once.Invalid:
		return call.BadRequest(d.Reply.Reason)
	default:
		onceUnknown.Inc()
		a := call.Unknown(d.Reply.Reason)
		a.RetryAfter = d.Reply.RetryAfter
		return a
	}
}

// withStatus gives a recorded outcome that no upstream answered its status.
func withStatus(r once.Reply) once.Reply {
	switch r.Outcome {
	case once.NotRun:
		return call.NotRun(r.Reason, r.RetryAfter).Reply
	case once.OutcomeUnknown:
		return call.Unknown(r.Reason).Reply
	default:
		return r
	}
}

func (o *Once) run(rec once.RecordID, c *call.Call, next Next) call.Answer {
	onceRuns.Inc()
	c.Guard = func() bool { return o.Keeper.maySend(rec) }
	c.NotSent = func() { o.Keeper.notSent(rec) }
	a := next(c)
	o.Keeper.end(rec, a.Reply)
	a.Decided = true
	return a
}

// decides tells whether a key can have run nowhere but on this host.
func (o *Once) decides(key string) bool {
	incarnation, _, ok := once.Owner(key)
	return ok && incarnation == o.Keeper.Once.Incarnation
}

// wait gives a second request for a running key the end of the first.
func (o *Once) wait(ended <-chan once.Reply, c *call.Call) call.Answer {
	timer := time.NewTimer((c.Deadline - o.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case r := <-ended:
		return call.Answer{Reply: withStatus(r), Recorded: true, Decided: true}
	case <-timer.C:
		return call.Unknown(once.ReasonStillRunning)
	}
}

// pass asks the host that decides. When it can't be asked, the request may have
// run there at an earlier try, so the outcome is unknown.
func (o *Once) pass(d once.Decision, c *call.Call, next Next) call.Answer {
	if c.Hops >= maxDecideHops {
		return call.Unknown(call.ReasonLoop)
	}
	oncePasses.Inc()
	ctx, cancel := context.WithTimeout(context.Background(), (c.Deadline - o.Clock.Now()).Duration())
	defer cancel()
	asked := *c
	asked.Hops++
	asked.Mode = once.ModeDecide
	if d.Claimed {
		asked.Mode = once.ModeClaimed
		asked.ClaimRow = d.ClaimRow
	}
	a, notSent := o.Hosts.Decide(ctx, d.Host, &asked)
	if notSent {
		return call.Unknown(once.ReasonHostUnreachable)
	}
	if d.Claimed && a.GivenUp {
		return o.carryOut(o.Claims.TakeOver(d.Record), nil, c, next)
	}
	a.GivenUp = false
	return a
}

// maxDecideHops bounds the way of a request to the host that decides.
const maxDecideHops = 3

// Keeper is once.Keeper for use by many goroutines.
type Keeper struct {
	Clock clock.Clock
	Once  *once.Keeper

	mu      sync.Mutex
	waiting map[once.RecordID][]chan once.Reply
}

// With runs f with exclusive use of the decision machine.
func (k *Keeper) With(f func(now clock.Millis, o *once.Keeper)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(k.Clock.Now(), k.Once)
}

func (k *Keeper) begin(c *call.Call, find once.Finder) (d once.Decision, ended <-chan once.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	d = k.Once.Begin(k.Clock.Now(), once.Request{
		Service:      c.Service,
		Organisation: c.Organisation,
		Key:          c.Key,
		Fingerprint:  c.Fingerprint(),
		Deadline:     c.Deadline,
		Mode:         c.Mode,
		Retry:        c.Unanswered,
		ClaimRow:     c.ClaimRow,
	}, find)
	if d.Verdict != once.Wait {
		return d, nil
	}
	if k.waiting == nil {
		k.waiting = make(map[once.RecordID][]chan once.Reply)
	}
	ch := make(chan once.Reply, 1)
	k.waiting[d.Record] = append(k.waiting[d.Record], ch)
	return d, ch
}

func (k *Keeper) maySend(rec once.RecordID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.Once.MaySend(k.Clock.Now(), rec)
}

func (k *Keeper) notSent(rec once.RecordID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Once.NotSent(k.Clock.Now(), rec)
}

func (k *Keeper) end(rec once.RecordID, r once.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.Once.End(k.Clock.Now(), rec, r)
	k.tell(rec, r)
}

// settled tells those that wait for a claim what became of it, when it was not
// a run of this host.
func (k *Keeper) settled(rec once.RecordID, r once.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tell(rec, r)
}

// tell gives a record's end to those that wait for it. k.mu is held.
func (k *Keeper) tell(rec once.RecordID, r once.Reply) {
	for _, ch := range k.waiting[rec] {
		ch <- r
	}
	delete(k.waiting, rec)
}
