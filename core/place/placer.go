package place

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"siskinpath/core/admit"
	"siskinpath/core/clock"
	"siskinpath/core/probe"
	"siskinpath/core/route"
)

// phase is the state of a request.
type phase int

const (
	probing      phase = iota // probes of candidate upstreams are in flight
	queued                    // waits for an upstream with room
	sent                      // at least one attempt is in flight
	hedgeProbing              // as sent, and probes that decide on a hedge are in flight
	asking                    // an allocator has been asked for a slot
	ended                     // it has its final answer, or its caller is gone
)

// request is a request that has no final answer yet.
type request struct {
	Request
	phase        phase
	probeUntil   clock.Millis // in probing and hedgeProbing: when to decide without the missing answers
	waitUntil    clock.Millis // when it is refused if no upstream has room
	lateFrom     clock.Millis // when it is late wherever it is sent; 0 where requests do not wait so long
	late         bool         // lateFrom has passed
	reprobeAt    clock.Millis // in queued: when to probe again
	hedgeAt      clock.Millis // in sent: when to consider a hedge; 0 for never
	probed       []*upstream
	tried        []*upstream
	slow         *upstream // had room when r chose to wait for a faster one; nil for none
	running      []*attempt
	arrivals     int             // attempts that an upstream received or may have received
	mayHaveRun   bool            // an attempt ended without telling whether the request ran
	fallback     route.AttemptID // attempt with an upstream's error answer, passed on if no later attempt succeeds; 0 for none
	lastReason   route.Reason
	aboveFairUse bool         // its organisation sends much more of its quota than others
	shed         bool         // the last upstream refused it although it reported room
	withheld     bool         // it is sent to no further upstream
	coldWithheld bool         // counted by countWithheld
	retryAfter   clock.Millis // the caller need not come back sooner
	triedHosts   []string
	ask          *ask           // in asking
	denied       *RefusalDetail // the allocator's; nil if this host refuses
	deniedBy     string
	asker        *asker // nil for a request of this host's callers
}

// attempt is one sending of a request to one upstream.
type attempt struct {
	id       route.AttemptID
	request  *request  // nil once the request has its final answer
	upstream *upstream // nil with host
	host     string    // the other host that it was passed to; "" for none
	sends    int       // with host: upstreams that the host may send it to
	started  clock.Millis
	slowdown float64 // estimated slowdown when it was sent
	target   clock.Millis
	route    string
	callerID string
	slot     slotKey // of the grant that it uses or, with an asker, is
	asker    string  // the host that it was granted to; "" for this one
}

// Placer dispatches the requests of one service on one host. A request takes these steps:
//
//   - Offer: it arrives, and planWait (wait.go) sets how long it may wait;
//   - findSlot (slot.go): an allocator is asked for a slot, or this host looks for one:
//   - startProbing and choose (choose.go): candidate upstreams are probed, the best is chosen,
//     or the request is queued (queue.go) or refused (refuse.go);
//   - send (choose.go), or grant (slot.go) for a request of another host;
//   - AttemptDone: recordResult (learn.go) and afterAttempt (retry.go), which finishes,
//     retries or refuses it. Hedges are decided in retry.go, timers in timer.go.
//
// Set the exported fields before the first event. Not safe for concurrent use.
type Placer struct {
	Service string
	Tuning  Tuning
	Rand    *rand.Rand

	cfg           Config
	configured    bool
	configuredAt  clock.Millis // first
	upstreams     []*upstream
	byID          map[string]*upstream
	requests      map[route.RequestID]*request
	attempts      map[route.AttemptID]*attempt
	queue         []*request // see byPriority
	repeatBudget  admit.Budget
	retryDelay    admit.RetryDelay
	probes        probe.Budget
	typicalTimes  map[string]float64 // by route: typical service time at slowdown 1, in ms
	meanSlowdown  float64            // moving average of the upstreams' reports
	meanFill      float64            // the same of their load, as a share of their slots
	lastAttempt   route.AttemptID
	actions       []Action
	stateChanges  []StateChange
	reach         reach
	avoidedHosts  map[string]clock.Millis // until when nothing is passed to a host
	hostTrialAt   clock.Millis            // when one of them may be tried again
	throughput    throughput
	spentTime     spentTime
	fairUse       fairUse
	notices       map[string]*notice // by upstream; kept while service discovery does not list it
	shares        map[string]*share  // by upstream; of the limits on cold upstreams
	coldUpstreams int                // at the last event
	coldWithheld  int                // see ColdWithheld
	warmUpAt      clock.Millis       // when Tick must look at cold upstreams; 0 for never
	stop          Stop
	slotState
}

// probeBurst is the capacity of the probe budget, in seconds of its rate, for bursts
// of requests. The budget starts full, because a host that starts has no load reports
// yet.
const probeBurst = 2

// Configure applies a new configuration. State of upstreams still listed is kept.
func (p *Placer) Configure(now clock.Millis, cfg Config) []Action {
	p.init()
	p.repeatBudget.Ratio = cfg.RepeatRatio
	p.repeatBudget.Burst = max(1, cfg.RepeatBurst)
	if !p.configured {
		p.configured, p.configuredAt = true, now
		p.spentTime.recordRefusal(now)
		p.repeatBudget.Fill()
	}
	p.cfg = cfg
	known := p.byID
	p.byID = map[string]*upstream{}
	p.upstreams = p.upstreams[:0]
	for _, u := range cfg.Upstreams {
		k := known[u.ID]
		if k != nil && k.Started != u.Started {
			k.gone, k = true, nil
		}
		if k == nil {
			k = &upstream{success: 1}
			if known[u.ID] != nil { // hosts whose rows lag take it for the start before
				k.warmUp.unaware = unawareSends
			}
		}
		k.Upstream = u
		k.notice = p.noticeOf(now, u)
		p.configureWarmUp(now, k)
		p.byID[u.ID] = k
		p.upstreams = append(p.upstreams, k)
	}
	for id, u := range known {
		if p.byID[id] == nil {
			u.gone = true
		}
	}
	p.pruneReach(now)
	p.pruneShares(now)
	p.allocating = p.allocates(now)
	p.setProbeRate(now)
	slices.SortFunc(p.upstreams, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	p.refuseEvacuated(now)
	p.serveQueue(now)
	p.planWarmUp(now)
	return p.takeActions()
}

// setProbeRate sets the rate of this host's probes. All its upstreams but those that leave
// share one budget, so that it can be spent on those where a probe is most useful.
func (p *Placer) setProbeRate(now clock.Millis) {
	perUpstream := p.cfg.ProbesPerSecond
	if p.allocating {
		perUpstream += p.cfg.AllocatorProbesPerSecond
	}
	perSecond := perUpstream * float64(p.staying())
	p.probes.Burst, p.probes.StartFull = int(probeBurst*perSecond), true
	p.probes.SetRate(now, p.Service, "", perSecond)
}

func (p *Placer) init() {
	if p.requests != nil {
		return
	}
	p.requests = map[route.RequestID]*request{}
	p.attempts = map[route.AttemptID]*attempt{}
	p.typicalTimes = map[string]float64{}
	p.notices = map[string]*notice{}
	p.shares = map[string]*share{}
	p.avoidedHosts = map[string]clock.Millis{}
	p.slotState = newSlotState()
	p.meanSlowdown = 1
	p.retryDelay = admit.RetryDelay{Min: minRetryAfter, Max: maxRetryAfter}
}

// takeActions returns and clears the actions emitted since the last event.
func (p *Placer) takeActions() []Action {
	a := p.actions
	p.actions = nil
	return a
}

func (p *Placer) emit(a route.Action) { p.actions = append(p.actions, Action{Action: a}) }

// Offer handles a new request.
func (p *Placer) Offer(now clock.Millis, in Request) []Action {
	p.init()
	r := &request{Request: in}
	p.requests[in.ID] = r
	if !in.Forwarded { // it counts at the host that got it from its caller
		p.repeatBudget.Deposit()
	}
	p.retryDelay.RecordRequest(now)
	r.aboveFairUse = p.fairUse.record(in.OverUse) && p.cfg.Overload && !p.Tuning.NoFairUse
	p.updateRole(now)
	p.planWait(now, r)
	p.findSlot(now, r)
	p.planWarmUp(now)
	return p.takeActions()
}

// waitShare returns the share of its target that r may wait. While there is too little
// room, organisations above their fair use leave the queue to the others, but for urgent
// requests.
func (p *Placer) waitShare(now clock.Millis, r *request) float64 {
	switch {
	case r.Priority < p.Tuning.FirstNormalPriority:
		return p.Tuning.UrgentQueueWaitShare
	case r.aboveFairUse && p.throughput.short(now):
		return aboveFairUseWait * p.Tuning.QueueWaitShare
	}
	return p.Tuning.QueueWaitShare
}

// ProbeDone handles the result of a probe.
func (p *Placer) ProbeDone(now clock.Millis, res route.ProbeResult) []Action {
	u := p.byID[res.Upstream]
	if u == nil || !u.probing {
		return nil // it is no longer used, or the probe went to an earlier start
	}
	p.recordProbe(now, u, res)
	for _, r := range p.doneProbing(u) {
		switch r.phase {
		case hedgeProbing:
			p.hedge(now, r)
		case probing:
			p.choose(now, r)
		}
	}
	p.serveQueue(now)
	p.planWarmUp(now)
	return p.takeActions()
}

// doneProbing returns the requests that probed u and have no other probe in flight, by
// priority.
func (p *Placer) doneProbing(u *upstream) (ready []*request) {
	for _, r := range p.requests {
		if r.phase != probing && r.phase != hedgeProbing || !slices.Contains(r.probed, u) {
			continue
		}
		if !slices.ContainsFunc(r.probed, func(u *upstream) bool { return u.probing }) {
			ready = append(ready, r)
		}
	}
	slices.SortFunc(ready, byPriority)
	return ready
}

// AttemptDone handles the result of an attempt.
func (p *Placer) AttemptDone(now clock.Millis, res route.Result) []Action {
	a := p.attempts[res.Attempt]
	if a == nil {
		return nil
	}
	delete(p.attempts, res.Attempt)
	if a.host == "" {
		p.recordResult(now, a, res)
	}
	if r := a.request; r != nil {
		r.running = slices.DeleteFunc(r.running, func(x *attempt) bool { return x == a })
		r.shed = a.host == "" && res.Status == route.Refused && res.Load != nil && a.upstream.reportsRoom(res.Load)
		if a.host == "" {
			p.afterAttempt(now, r, a, res.Status)
		} else {
			p.afterForward(now, r, a, res)
		}
	}
	p.endGrant(a, res)
	p.serveQueue(now)
	if a.host == "" && a.upstream.ColdLimited {
		p.probeForQueue(now, a.upstream)
	}
	p.planWarmUp(now)
	return p.takeActions()
}

// CallerGone drops the request of a caller that has disconnected.
func (p *Placer) CallerGone(now clock.Millis, id route.RequestID) []Action {
	if r := p.requests[id]; r != nil {
		p.remove(r)
		p.serveQueue(now)
	}
	return p.takeActions()
}

// byPriority orders those that can be in time first, then by priority, then those within their fair use first, then by arrival.
func byPriority(a, b *request) int {
	return cmp.Or(compareBool(a.late, b.late), cmp.Compare(a.Priority, b.Priority), compareBool(a.aboveFairUse, b.aboveFairUse), cmp.Compare(a.Arrived, b.Arrived), cmp.Compare(a.ID, b.ID))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// remove drops a request and cancels its attempts in flight.
func (p *Placer) remove(r *request) {
	for _, a := range r.running {
		a.request = nil
		cancel := route.Action{Kind: route.Cancel, Request: r.ID, Attempt: a.id, Host: a.host}
		if a.upstream != nil {
			cancel.Upstream = a.upstream.ID
		}
		p.emit(cancel)
	}
	r.running = nil
	r.phase = ended
	p.dequeue(r)
	p.withdrawAsk(r)
	if r.asker != nil {
		delete(p.askers, r.asker.slotKey)
	}
	delete(p.requests, r.ID)
}

func (p *Placer) finish(r *request, id route.AttemptID) {
	p.remove(r)
	p.emit(route.Action{Kind: route.Finish, Request: r.ID, Attempt: id})
}
