package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/upstream"
)

// probeTimeout is how long a probe may take before its connection is given up.
const probeTimeout = 300 * clock.Millisecond

// Dispatcher carries out what a Placer decides for one service.
type Dispatcher struct {
	Service   string
	Clock     clock.Clock
	Pools     *UpstreamPools
	Decisions *decisions

	mu      sync.Mutex
	placer  *place.Placer
	flights map[route.RequestID]*flight
	cancels map[route.AttemptID]context.CancelCauseFunc
	timer   *time.Timer
	timerAt clock.Millis
	lastID  route.RequestID
}

// flight is a request on its way.
type flight struct {
	call    *call.Call
	id      string // the caller's id of the request
	maxBody int
	replies map[route.AttemptID]*upstream.Reply
	settled chan place.Action // gets the final action
	trail   []step
}

// step is an attempt of a request, for the line that tells how it ended.
type step struct {
	Upstream string       `json:"upstream"`
	Status   string       `json:"status"`
	Took     clock.Millis `json:"ms"`
	started  clock.Millis
	attempt  route.AttemptID
}

// outcome is how a request ended.
type outcome struct {
	action place.Action
	reply  *upstream.Reply // with route.Finish
	trail  []step
}

// Configure takes on a new set of upstreams.
func (r *Dispatcher) Configure(cfg place.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(r.placer.Configure(r.Clock.Now(), cfg))
}

// Dispatch places a request and waits for its end. When ctx ends first the request is
// cancelled.
func (r *Dispatcher) Dispatch(ctx context.Context, c *call.Call, id string, maxBody int, in place.Request) outcome {
	f := &flight{call: c, id: id, maxBody: maxBody, replies: map[route.AttemptID]*upstream.Reply{}, settled: make(chan place.Action, 1)}
	r.mu.Lock()
	r.lastID++
	in.ID = r.lastID
	r.flights[in.ID] = f
	r.carryOut(r.placer.Offer(r.Clock.Now(), in))
	r.mu.Unlock()
	var end place.Action
	select {
	case end = <-f.settled:
	case <-ctx.Done():
		end = r.gone(f, in.ID)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return outcome{action: end, reply: f.replies[end.Attempt], trail: slices.Clone(f.trail)}
}

// gone cancels a request whose caller left, unless it has just been settled.
func (r *Dispatcher) gone(f *flight, id route.RequestID) place.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(r.placer.CallerGone(r.Clock.Now(), id))
	delete(r.flights, id)
	select {
	case end := <-f.settled:
		return end
	default:
		return place.Action{Action: route.Action{Kind: route.Unknown, Request: id, Reason: route.ReasonCallerGone}}
	}
}

// carryOut does what the placer asks for. r.mu is held.
func (r *Dispatcher) carryOut(actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			go r.probe(a.Upstream)
		case route.Send:
			r.send(a)
		case route.Cancel:
			if cancel := r.cancels[a.Attempt]; cancel != nil {
				cancel(context.Canceled)
			}
		case route.Finish, route.Refuse, route.Unknown:
			if f := r.flights[a.Request]; f != nil {
				delete(r.flights, a.Request)
				f.settled <- a
			}
		}
	}
	for _, n := range r.placer.StateChanges() {
		r.Decisions.believed(r.Service, n)
	}
	r.setTimer()
}

// setTimer sets when the placer wants to be called next. r.mu is held.
func (r *Dispatcher) setTimer() {
	next := r.placer.NextTick()
	if next == r.timerAt {
		return
	}
	r.timerAt = next
	if next == 0 {
		r.timer.Stop()
		return
	}
	r.timer.Reset(max(0, next-r.Clock.Now()).Duration())
}

func (r *Dispatcher) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timerAt = 0
	r.carryOut(r.placer.Tick(r.Clock.Now()))
}

func (r *Dispatcher) probe(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	result, err := r.Pools.Probe(ctx, id)
	probesSent.Inc()
	if err != nil {
		probesFailed.Inc()
		r.Decisions.probeFailed(r.Service, result, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.carryOut(r.placer.ProbeDone(r.Clock.Now(), result))
}

// send starts an attempt. r.mu is held.
func (r *Dispatcher) send(a place.Action) {
	f := r.flights[a.Request]
	ctx, cancel := context.WithCancelCause(context.Background())
	r.cancels[a.Attempt] = cancel
	f.trail = append(f.trail, step{Upstream: a.Upstream, Status: statusRunning, started: r.Clock.Now(), attempt: a.Attempt})
	countSend(a.Sent)
	r.Decisions.sent(r.Service, f, a)
	go r.attempt(ctx, f, a)
}

// statusRunning is the status of an attempt that has not ended.
const statusRunning = "running"

// ended notes the end of an attempt in the request's trail.
func (f *flight) ended(id route.AttemptID, status route.Status, now clock.Millis) {
	for i := range f.trail {
		if s := &f.trail[i]; s.attempt == id {
			s.Status, s.Took = statusNames[status], now-s.started
		}
	}
}

func (r *Dispatcher) attempt(ctx context.Context, f *flight, a place.Action) {
	reply, result, err := r.Pools.Send(ctx, a.Upstream, &upstream.Attempt{
		Call:         f.call,
		RequestID:    f.id,
		Clock:        r.Clock,
		MaxBodyBytes: f.maxBody,
		MaySend:      func() bool { return ctx.Err() == nil },
	})
	result.Attempt = a.Attempt
	r.mu.Lock()
	defer r.mu.Unlock()
	cancel := r.cancels[a.Attempt]
	delete(r.cancels, a.Attempt)
	cancel(nil)
	if reply != nil {
		f.replies[a.Attempt] = reply
	}
	countAttempt(r.Service, result.Status)
	f.ended(a.Attempt, result.Status, r.Clock.Now())
	r.Decisions.attemptEnded(r.Service, f, a, result, err)
	r.carryOut(r.placer.AttemptDone(r.Clock.Now(), result))
}
