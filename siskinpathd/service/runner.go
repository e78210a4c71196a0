// Package service executes the routing decisions for the services of this host. For
// each service it passes events to a route.Shard and carries out the actions that
// the shard returns.
package service

import (
	"context"
	"sync"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// Upstreams sends attempts and probes to upstreams by name.
type Upstreams interface {
	// Send makes one attempt. See upstream.Pool.Do.
	Send(ctx context.Context, service, name string, a *upstream.Attempt) (*upstream.Reply, route.Result, error)
	// Probe asks an upstream to do one unit of work and to report its load.
	Probe(ctx context.Context, service, name string) route.ProbeResult
}

// Hosts communicates with the other hosts.
type Hosts interface {
	// Forward forwards a call. notSent is true when no byte of it left this host.
	Forward(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool)
	// SendDigest sends this host's load for a service to another host.
	SendDigest(host, service string, d route.Digest)
}

// Runner runs the calls of one service on this host. Its exported fields are set
// before the first use.
type Runner struct {
	Service   string
	HostID    string
	Clock     clock.Clock
	Shard     *route.Shard
	Upstreams Upstreams
	Hosts     Hosts
	// MayUse reports whether this host may use an upstream now. It is called right
	// before the first byte of each attempt.
	MayUse func(service, upstream string) bool
	// MayProbe reports whether the probe budget allows a probe, and takes it from the
	// budget.
	MayProbe func(service, upstream string) bool
	// MaxBodyBytes limits the body of a reply.
	MaxBodyBytes int

	mu            sync.Mutex
	nextID        route.RequestID
	pending       map[route.RequestID]*pendingCall
	attempts      map[route.AttemptID]attempt
	usable        map[string]bool // upstreams of the current configuration
	timer         *time.Timer
	scheduledTick clock.Millis
	owners        []string
}

// pendingCall is a call without a final answer yet.
type pendingCall struct {
	call    *call.Call
	done    chan call.Answer
	replies []reply // complete replies of its attempts; the shard chooses one
}

// attempt is an attempt in progress.
type attempt struct {
	upstream string
	cancel   context.CancelFunc
}

type reply struct {
	attempt route.AttemptID
	reply   *upstream.Reply
}

// Configure sets the shard's upstreams, limits and owners.
func (r *Runner) Configure(cfg route.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners = cfg.Owners
	r.usable = make(map[string]bool, len(cfg.Upstreams))
	for i := range cfg.Upstreams {
		r.usable[cfg.Upstreams[i].Name] = true
	}
	r.perform(r.Shard.Configure(r.Clock.Now(), cfg))
}

// ReceiveDigest passes a load digest from another owner to the shard.
func (r *Runner) ReceiveDigest(d route.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.Shard.ReceiveDigest(r.Clock.Now(), d))
}

// RevokedAttempts returns the number of attempts in flight to upstreams that this
// host may no longer use.
func (r *Runner) RevokedAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.attempts {
		if !r.usable[a.upstream] {
			n++
		}
	}
	return n
}

// LocalDigest returns this host's load, which is attached to answers to other hosts.
func (r *Runner) LocalDigest() route.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Shard.LocalDigest(r.Clock.Now())
}

// State returns the shard's part of the state dump.
func (r *Runner) State() route.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Shard.State()
}

// Do runs a call and returns its final answer. It returns early when the caller
// disconnects.
func (r *Runner) Do(c *call.Call) call.Answer {
	p := &pendingCall{call: c, done: make(chan call.Answer, 1)}
	id := r.submit(p)
	select {
	case a := <-p.done:
		return a
	case <-c.CallerGone:
		return r.withdraw(id, p)
	}
}

func (r *Runner) submit(p *pendingCall) route.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[route.RequestID]*pendingCall)
		r.attempts = make(map[route.AttemptID]attempt)
	}
	r.nextID++
	id := r.nextID
	r.pending[id] = p
	r.perform(r.Shard.Submit(r.Clock.Now(), route.Request{
		ID:         id,
		Deadline:   p.call.Deadline,
		Idempotent: p.call.Idempotent,
		Hops:       p.call.Hops,
		Depth:      p.call.Depth,
	}))
	return id
}

// withdraw ends a call whose caller has disconnected, unless it already has an
// answer.
func (r *Runner) withdraw(id route.RequestID, p *pendingCall) call.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case a := <-p.done:
		return a
	default:
	}
	delete(r.pending, id)
	r.perform(r.Shard.Withdraw(r.Clock.Now(), id))
	return call.Unknown(call.ReasonCallerGone)
}

// perform carries out actions. r.mu must be held; nothing here blocks.
func (r *Runner) perform(actions []route.Action) {
	for i := range actions {
		r.performAction(&actions[i])
	}
	r.scheduleTick()
}

func (r *Runner) performAction(a *route.Action) {
	switch a.Kind {
	case route.Send:
		r.send(a)
	case route.Cancel:
		if at, ok := r.attempts[a.Attempt]; ok {
			at.cancel()
		}
	case route.Forward:
		r.forward(a)
	case route.Finish:
		r.finish(a)
	case route.Refuse:
		r.complete(a.Request, call.NotRun(string(a.Reason), a.RetryAfter))
	case route.Unknown:
		answer := call.Unknown(string(a.Reason))
		answer.RetryAfter = a.RetryAfter
		r.complete(a.Request, answer)
	case route.SendDigest:
		r.sendDigest(a)
	case route.Probe:
		r.probe(a.Upstream)
	}
}

// complete delivers the final answer of a call. It does nothing if the call has
// already ended.
func (r *Runner) complete(id route.RequestID, a call.Answer) {
	p := r.pending[id]
	if p == nil {
		return
	}
	delete(r.pending, id)
	p.done <- a
}

func (r *Runner) finish(a *route.Action) {
	p := r.pending[a.Request]
	if p == nil {
		return
	}
	for _, rep := range p.replies {
		if rep.attempt == a.Attempt {
			r.complete(a.Request, answered(rep.reply))
			return
		}
	}
	r.complete(a.Request, call.Unknown(call.ReasonOutcomeUnknown))
}

func answered(rep *upstream.Reply) call.Answer {
	return call.Answer{Reply: idempotency.Reply{
		Outcome: idempotency.Answered,
		Status:  rep.Status,
		Header:  rep.Header,
		Body:    rep.Body,
	}}
}

// sendDigest sends a load digest to the owner that the action names, or to all other
// owners if it names none.
func (r *Runner) sendDigest(a *route.Action) {
	d := a.Digest
	d.Host = r.HostID
	if a.Host != "" {
		r.Hosts.SendDigest(a.Host, r.Service, d)
		return
	}
	for _, host := range r.owners {
		r.Hosts.SendDigest(host, r.Service, d)
	}
}

// scheduleTick sets the timer to the shard's next tick.
func (r *Runner) scheduleTick() {
	next := r.Shard.NextTick()
	if next == r.scheduledTick {
		return
	}
	r.scheduledTick = next
	if next == 0 {
		return
	}
	wait := max(next-r.Clock.Now(), 0).Duration()
	if r.timer == nil {
		r.timer = time.AfterFunc(wait, r.tick)
		return
	}
	r.timer.Reset(wait)
}

func (r *Runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scheduledTick = 0
	r.perform(r.Shard.Tick(r.Clock.Now()))
}
