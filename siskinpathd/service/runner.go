// Package service drives the routing decisions of one service on this host: it
// feeds events to a route.Shard and carries out the actions that come back.
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
	// Send carries out an attempt; see upstream.Pool.Do.
	Send(ctx context.Context, service, name string, a *upstream.Attempt) (*upstream.Reply, route.Result, error)
	// Probe asks an upstream for a unit of work and its load.
	Probe(ctx context.Context, service, name string) route.ProbeResult
}

// Hosts reaches the other hosts.
type Hosts interface {
	// Forward passes a call on. notSent is true when no byte of it left this host.
	Forward(ctx context.Context, host string, c *call.Call) (a call.Answer, notSent bool)
	// SendDigest tells a host how much room this one has.
	SendDigest(host, service string, d route.Digest)
}

// Runner is one service on this host. Set the fields before the first call.
type Runner struct {
	Service   string
	HostID    string
	Clock     clock.Clock
	Shard     *route.Shard
	Upstreams Upstreams
	Hosts     Hosts
	// MayUse is asked right before the first byte to an upstream.
	MayUse func(service, upstream string) bool
	// MayProbe spends the measuring budget.
	MayProbe func(service, upstream string) bool
	// MaxBodyBytes bounds a reply.
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

// pendingCall is a call whose final action is still to come.
type pendingCall struct {
	call    *call.Call
	done    chan call.Answer
	replies []reply // whole answers of its attempts, until one of them is chosen
}

// attempt is one that has not ended.
type attempt struct {
	upstream string
	cancel   context.CancelFunc
}

type reply struct {
	attempt route.AttemptID
	reply   *upstream.Reply
}

// Configure gives the shard its upstreams and limits.
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

// ReceiveDigest takes in news of another owner.
func (r *Runner) ReceiveDigest(d route.Digest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.Shard.ReceiveDigest(r.Clock.Now(), d))
}

// RevokedAttempts returns the number of attempts in flight at upstreams that this host
// may no longer use.
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

// LocalDigest returns how much room this host has, to go with an answer to another.
func (r *Runner) LocalDigest() route.Digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Shard.LocalDigest(r.Clock.Now())
}

// State returns the shard's state for the dump.
func (r *Runner) State() route.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Shard.State()
}

// Do runs a call to its final answer.
func (r *Runner) Do(c *call.Call) call.Answer {
	w := &pendingCall{call: c, done: make(chan call.Answer, 1)}
	id := r.submit(w)
	select {
	case a := <-w.done:
		return a
	case <-c.CallerGone:
		return r.withdraw(id, w)
	}
}

func (r *Runner) submit(w *pendingCall) route.RequestID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		r.pending = make(map[route.RequestID]*pendingCall)
		r.attempts = make(map[route.AttemptID]attempt)
	}
	r.nextID++
	id := r.nextID
	r.pending[id] = w
	r.perform(r.Shard.Submit(r.Clock.Now(), route.Request{
		ID:         id,
		Deadline:   w.call.Deadline,
		Idempotent: w.call.Idempotent,
		Hops:       w.call.Hops,
		Depth:      w.call.Depth,
	}))
	return id
}

// withdraw gives up a call whose caller has gone.
func (r *Runner) withdraw(id route.RequestID, w *pendingCall) call.Answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case a := <-w.done:
		return a
	default:
	}
	delete(r.pending, id)
	r.perform(r.Shard.Withdraw(r.Clock.Now(), id))
	return call.Unknown(call.ReasonCallerGone)
}

// perform carries out actions. r.mu is held; nothing here blocks.
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

// complete gives a call its final answer.
func (r *Runner) complete(id route.RequestID, a call.Answer) {
	w := r.pending[id]
	if w == nil {
		return
	}
	delete(r.pending, id)
	w.done <- a
}

func (r *Runner) finish(a *route.Action) {
	w := r.pending[a.Request]
	if w == nil {
		return
	}
	for _, rep := range w.replies {
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

// sendDigest tells one owner, or all of them when the action names none.
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

// scheduleTick sets the timer for the shard's next tick.
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
