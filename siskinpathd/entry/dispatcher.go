package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// probeTimeout is how long a probe may take before it is cancelled.
const probeTimeout = 300 * clock.Millisecond

// Dispatcher executes the decisions of a place.Placer for one service.
type Dispatcher struct {
	Service   string
	Clock     clock.Clock
	Pools     *UpstreamPools
	Decisions *decisionLog
	Crashes   *crashGuard
	Forwarder *forwarder
	Slots     *slotExchange

	mu      sync.Mutex
	placer  *place.Placer
	pending map[route.RequestID]*pendingRequest
	cancels map[route.AttemptID]context.CancelCauseFunc
	timer   *time.Timer
	timerAt clock.Millis
	lastID  route.RequestID
	cold    int // cold upstreams that coldUpstreams counts
	held    int // requests that coldWithheld counts
}

// pendingRequest is a request that has been passed to the placer.
type pendingRequest struct {
	call    *call.Call
	in      place.Request
	id      string                    // the caller's id of the request
	caller  string                    // address of the caller, without its port
	content func() quarantine.Content // of the request
	maxBody int
	replies map[route.AttemptID]*upstream.Reply
	ended   bool              // the outcome has been returned
	final   chan place.Action // receives the final action
	trail   []attemptRecord
}

// attemptRecord describes an attempt in the log line of a request's end.
type attemptRecord struct {
	Upstream string       `json:"upstream,omitempty"`
	Host     string       `json:"host,omitempty"` // the other host that it was passed to
	Status   string       `json:"status"`
	Took     clock.Millis `json:"ms"`
	started  clock.Millis
	attempt  route.AttemptID
}

// outcome is how a request ended.
type outcome struct {
	action place.Action
	reply  *upstream.Reply // set if action is route.Finish
	trail  []attemptRecord
}

// Configure sets the upstreams and budgets.
func (d *Dispatcher) Configure(cfg place.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.Configure(d.Clock.Now(), cfg))
}

// Dispatch passes a request to the placer and waits for its outcome. If ctx ends first,
// the request is cancelled.
func (d *Dispatcher) Dispatch(ctx context.Context, c *call.Call, r *request, maxBody int, in place.Request) outcome {
	p := &pendingRequest{
		call: c, in: in, id: r.id, caller: r.caller, content: r.content, maxBody: maxBody, replies: map[route.AttemptID]*upstream.Reply{}, final: make(chan place.Action, 1),
	}
	d.mu.Lock()
	d.lastID++
	in.ID = d.lastID
	d.pending[in.ID] = p
	d.execute(d.placer.Offer(d.Clock.Now(), in))
	d.mu.Unlock()
	var end place.Action
	select {
	case end = <-p.final:
	case <-ctx.Done():
		end = d.cancelRequest(p, in.ID)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.end(end)
}

// end returns the outcome of a request, and releases the replies that are not part of it. d.mu
// must be held.
func (p *pendingRequest) end(a place.Action) outcome {
	o := outcome{action: a, trail: slices.Clone(p.trail)}
	if a.Kind == route.Finish {
		o.reply = p.replies[a.Attempt]
	}
	for _, r := range p.replies {
		if r != o.reply {
			r.Release()
		}
	}
	p.ended = true
	return o
}

// cancelRequest cancels a request whose caller has disconnected. If the request has
// just ended, its final action is returned.
func (d *Dispatcher) cancelRequest(p *pendingRequest, id route.RequestID) place.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.CallerGone(d.Clock.Now(), id))
	delete(d.pending, id)
	select {
	case end := <-p.final:
		return end
	default:
		return place.Action{Action: route.Action{Kind: route.Unknown, Request: id, Reason: route.ReasonCallerGone}}
	}
}

// execute executes the placer's actions. d.mu must be held.
func (d *Dispatcher) execute(actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			go d.probe(a.Upstream)
		case route.Send, route.Forward:
			d.send(a)
		case route.SlotMessage:
			d.Slots.send(d.Service, a.Host, a.Slot)
		case route.Cancel:
			if cancel := d.cancels[a.Attempt]; cancel != nil {
				cancel(context.Canceled)
			}
		case route.Finish, route.Refuse, route.Unknown:
			if p := d.pending[a.Request]; p != nil {
				delete(d.pending, a.Request)
				p.final <- a
			}
		}
	}
	for _, change := range d.placer.StateChanges() {
		d.Decisions.logStateChange(d.Service, change)
	}
	d.countCold()
	d.setTimer()
}

// setTimer sets the timer for the placer's next tick. d.mu must be held.
func (d *Dispatcher) setTimer() {
	next := d.placer.NextTick()
	if next == d.timerAt {
		return
	}
	d.timerAt = next
	if next == 0 {
		d.timer.Stop()
		return
	}
	d.timer.Reset(max(0, next-d.Clock.Now()).Duration())
}

func (d *Dispatcher) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timerAt = 0
	d.execute(d.placer.Tick(d.Clock.Now()))
}

func (d *Dispatcher) probe(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	result, err := d.Pools.Probe(ctx, id)
	probesSent.Inc()
	if err != nil {
		probesFailed.Inc()
		d.Decisions.logProbeFailure(d.Service, result, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.ProbeDone(d.Clock.Now(), result))
}

// send starts an attempt. d.mu must be held.
func (d *Dispatcher) send(a place.Action) {
	p := d.pending[a.Request]
	ctx, cancel := context.WithCancelCause(context.Background())
	d.cancels[a.Attempt] = cancel
	p.trail = append(p.trail, attemptRecord{Upstream: a.Upstream, Host: a.Host, Status: statusRunning, started: d.Clock.Now(), attempt: a.Attempt})
	if a.Kind == route.Forward {
		forwardsSent.Inc()
		d.Decisions.logForward(d.Service, p, a)
		go d.runForward(ctx, p, a)
		return
	}
	countSend(a.Sent)
	d.Decisions.logSend(d.Service, p, a)
	go d.runAttempt(ctx, p, a)
}

// maySend reports whether a request may still be sent. The process may have been paused
// since the placer decided, the caller may have been told meanwhile to come back, the
// upstream may have become cold, and this host may have been told to stop.
func (d *Dispatcher) maySend(ctx context.Context, p *pendingRequest, a place.Action) bool {
	now := d.Clock.Now()
	if ctx.Err() != nil || now >= p.call.Deadline || d.outlasts(now, p.in) {
		return false
	}
	if !a.Sent.Limited || !place.LateWrite(now, a.Sent.At) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.MayWrite(d.Clock.Now(), a.Attempt)
}

// statusRunning is the status of an unfinished attempt.
const statusRunning = "running"

// recordEnd records the end of an attempt in the request's trail.
func (p *pendingRequest) recordEnd(id route.AttemptID, status route.Status, now clock.Millis) {
	for i := range p.trail {
		if s := &p.trail[i]; s.attempt == id {
			s.Status, s.Took = statusNames[status], now-s.started
		}
	}
}

func (d *Dispatcher) runAttempt(ctx context.Context, p *pendingRequest, a place.Action) {
	reply, result, err := d.Pools.Send(ctx, a.Upstream, &upstream.Attempt{
		Call:         p.call,
		RequestID:    p.id,
		Clock:        d.Clock,
		MaxBodyBytes: p.maxBody,
		MaySend:      func() bool { return d.maySend(ctx, p, a) },
	})
	d.guardAgainstCrash(p, a, result.Status)
	countAttempt(d.Service, result.Status)
	d.attemptDone(p, a, reply, result, err)
}

// runForward passes a request to another host.
func (d *Dispatcher) runForward(ctx context.Context, p *pendingRequest, a place.Action) {
	reply, result, err := d.Forwarder.send(ctx, p, a)
	if reply == nil {
		forwardsFailed.Inc()
	}
	d.attemptDone(p, a, reply, result, err)
}

func (d *Dispatcher) attemptDone(p *pendingRequest, a place.Action, reply *upstream.Reply, result route.Result, err error) {
	result.Attempt = a.Attempt
	d.mu.Lock()
	defer d.mu.Unlock()
	cancel := d.cancels[a.Attempt]
	delete(d.cancels, a.Attempt)
	cancel(nil)
	switch {
	case reply != nil && p.ended:
		reply.Release()
	case reply != nil:
		p.replies[a.Attempt] = reply
	}
	p.recordEnd(a.Attempt, result.Status, d.Clock.Now())
	d.Decisions.logAttemptEnd(d.Service, p, a, result, err)
	d.execute(d.placer.AttemptDone(d.Clock.Now(), result))
}
