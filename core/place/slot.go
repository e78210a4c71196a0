package place

import (
	"maps"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Allocation of slots
//
// Hosts that decide by themselves find the same free slot at the same moment, or leave one
// free while a request waits elsewhere. One host of the fleet, the allocator of a service,
// therefore decides which request gets the next slot. The others ask it before each send,
// and tell it how the send ended. It places their requests like its own, in one queue, but
// grants a slot in place of sending. Everything else stays with the host that has the
// request: a grant is only advice, which it does not take if the upstream is out of use
// there.
//
// Allocators are chosen by rendezvous hashing and hold no state that matters: a host that
// gets no answer decides by itself and asks the next one for a while.

const (
	// askTimeout is how long an allocator may take to grant a slot or to queue a request. It
	// covers two rounds of probes and the way between availability zones.
	askTimeout = 45 * clock.Millisecond
	// queuedInterval is how often an allocator tells that a request still waits, and
	// queuedTimeout how long a host relies on that.
	queuedInterval = 100 * clock.Millisecond
	queuedTimeout  = 250 * clock.Millisecond
	// allocatorAvoidPeriod is how long a host that has not answered is not asked.
	allocatorAvoidPeriod = clock.Second
	// grantLifetime limits how long a granted slot counts as occupied if its host does not
	// tell its end, as a multiple of the request's target. Later, the load that the upstream
	// reports counts.
	grantLifetime = 2
	// allocatorMemory is how long a host counts as allocator after it was last asked.
	allocatorMemory = clock.Second
	// grantSweepInterval is how often grants are checked for that.
	grantSweepInterval = 100 * clock.Millisecond
)

// SlotMessageKind is the kind of a SlotMessage.
type SlotMessageKind int

// Kinds of SlotMessage. The first three go to an allocator, the others come from it.
const (
	SlotAsk      SlotMessageKind = iota // a request needs a slot
	SlotWithdraw                        // it no longer does
	SlotEnd                             // the granted slot is no longer used
	SlotGrant                           // the request may be sent to Upstream
	SlotQueued                          // it has to wait
	SlotDeny                            // it gets none
)

// SlotMessage is a message between a host that has a request and an allocator.
type SlotMessage struct {
	Kind SlotMessageKind
	ID   uint64 // of the ask, chosen by the host that has the request

	// With SlotAsk.
	Route        string
	Priority     int
	Waited       clock.Millis // since the request arrived
	Target       clock.Millis // from its arrival
	TimeLeft     clock.Millis // until its latest answer
	CallerLeft   clock.Millis // see Request
	AboveFairUse bool
	Zone         string   // availability zone of the host that has the request
	Except       []string // upstreams that do not come into question

	// With SlotGrant.
	Upstream string
	// With SlotGrant the load of Upstream, with SlotEnd the one that it has reported, if any.
	Load *route.LoadReport

	// With SlotEnd. NotSent also says that the grant was not used.
	Status  route.Status
	Leaving bool // the upstream has said that it leaves

	// With SlotEnd how long the upstream wants no request, with SlotDeny when the caller may
	// come back; 0 for neither.
	RetryAfter clock.Millis

	// With SlotDeny.
	Reason route.Reason
	Detail RefusalDetail
}

// slotKey identifies an ask. Host is the one that has the request.
type slotKey struct {
	host string
	id   uint64
}

// ask is a message to an allocator that has not been decided yet.
type ask struct {
	slotKey
	allocator string
	until     clock.Millis // when this host decides by itself
}

// asker identifies the host that has a request, at the allocator.
type asker struct {
	slotKey
	zone   string
	toldAt clock.Millis // when the host was last told that the request is queued; 0 for never
}

// slotState is a Placer's state of the allocation of slots.
type slotState struct {
	asks              map[uint64]*request     // of this host, by number
	lastAsk           uint64                  // number of the last ask
	avoidedAllocators map[string]clock.Millis // until when a host is not asked
	linked            map[string]bool         // allocators with a connection
	askers            map[slotKey]*request    // requests of other hosts that wait here
	grants            map[slotKey]*attempt    // slots that other hosts use
	allocating        bool                    // see allocates, at the last event
	lastAskedAt       clock.Millis            // when another host has last asked this one
	grantsSweptAt     clock.Millis
	lastAskers        route.RequestID // number of the last request of another host
}

func newSlotState() slotState {
	return slotState{
		asks: map[uint64]*request{}, avoidedAllocators: map[string]clock.Millis{}, linked: map[string]bool{},
		askers: map[slotKey]*request{}, grants: map[slotKey]*attempt{},
	}
}

// allocates reports whether this host allocates the slots of the service: it is the first
// of the allocators, or others ask it as they do not reach the first.
func (p *Placer) allocates(now clock.Millis) bool {
	if p.Tuning.NoAllocator || len(p.cfg.Allocators) == 0 || p.knowsLimit() {
		return false
	}
	return p.cfg.Allocators[0] == p.cfg.Host || now-p.lastAskedAt < allocatorMemory
}

// knowsLimit reports whether an upstream has named a limit. Each host has a share of its own
// of such a limit, so that hosts decide by themselves then.
func (p *Placer) knowsLimit() bool {
	return slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return u.limited() && !u.Leaving })
}

// updateRole sets the rate of this host's probes when it begins or ceases to allocate.
func (p *Placer) updateRole(now clock.Millis) {
	if allocates := p.allocates(now); allocates != p.allocating {
		p.allocating = allocates
		p.setProbeRate(now)
	}
}

// findSlot asks an allocator for a slot for r, or looks for one by itself, unless this host
// may stop before r is answered.
func (p *Placer) findSlot(now clock.Millis, r *request) {
	if p.Outlasted(now, r.Request) {
		p.refuse(now, r, route.ReasonStopping)
		return
	}
	if !p.askSlot(now, r) {
		p.startProbing(now, r)
	}
}

// allocator returns the host to ask, "" for none.
func (p *Placer) allocator(now clock.Millis) string {
	for _, id := range p.cfg.Allocators {
		if id == p.cfg.Host || p.Tuning.NoAllocator {
			return ""
		}
		if p.linked[id] && now >= p.avoidedAllocators[id] {
			return id
		}
	}
	return ""
}

// askSlot asks an allocator for a slot for r. It returns false if there is none.
func (p *Placer) askSlot(now clock.Millis, r *request) bool {
	host := p.allocator(now)
	if host == "" || p.knowsLimit() || p.cfg.Evacuated || p.reach.cutOff || now >= r.GiveUp {
		return false
	}
	if p.lastAsk == 0 {
		p.lastAsk = p.Rand.Uint64() // a host that restarts does not use the same numbers again
	}
	p.lastAsk++
	r.phase = asking
	r.ask = &ask{slotKey: slotKey{host: p.cfg.Host, id: p.lastAsk}, allocator: host, until: now + askTimeout}
	p.asks[p.lastAsk] = r
	m := SlotMessage{
		Kind: SlotAsk, ID: p.lastAsk, Route: r.Route, Priority: r.Priority, Waited: now - r.Arrived, Target: r.Target,
		TimeLeft: r.GiveUp - now, CallerLeft: r.CallerLeft, AboveFairUse: r.aboveFairUse, Zone: p.cfg.AvailabilityZone,
	}
	for _, u := range p.upstreams {
		if !p.usable(now, r, u) {
			m.Except = append(m.Except, u.ID)
		}
	}
	p.tell(host, m)
	return true
}

func (p *Placer) tell(host string, m SlotMessage) {
	p.actions = append(p.actions, Action{Action: route.Action{Kind: route.SlotMessage, Host: host}, Slot: m})
}

// withdrawAsk tells the allocator that r needs no slot any more.
func (p *Placer) withdrawAsk(r *request) {
	if r.ask == nil {
		return
	}
	p.tell(r.ask.allocator, SlotMessage{Kind: SlotWithdraw, ID: r.ask.id})
	p.forgetAsk(r)
}

func (p *Placer) forgetAsk(r *request) {
	delete(p.asks, r.ask.id)
	r.ask = nil
}

// askLost looks for a slot for r without the allocator, which has not answered.
func (p *Placer) askLost(now clock.Millis, r *request) {
	p.avoidedAllocators[r.ask.allocator] = now + allocatorAvoidPeriod
	p.withdrawAsk(r)
	r.waitUntil = max(r.waitUntil, now+p.Tuning.ProbeWait)
	p.startProbing(now, r)
}

// HandleSlotMessage handles a message of another host about slots.
func (p *Placer) HandleSlotMessage(now clock.Millis, host string, m SlotMessage) []Action {
	p.init()
	switch m.Kind {
	case SlotAsk:
		p.handleAsk(now, host, m)
	case SlotWithdraw:
		if r := p.askers[slotKey{host, m.ID}]; r != nil {
			p.remove(r)
		}
		p.handleEnd(now, slotKey{host, m.ID}, SlotMessage{Status: route.NotSent}) // the grant has crossed the message
	case SlotEnd:
		p.handleEnd(now, slotKey{host, m.ID}, m)
	default:
		p.handleAnswer(now, host, m)
	}
	p.serveQueue(now)
	p.planWarmUp(now)
	return p.takeActions()
}

// AllocatorLinked handles a new connection to an allocator. Only such hosts are asked.
func (p *Placer) AllocatorLinked(host string) {
	p.init()
	p.linked[host] = true
	delete(p.avoidedAllocators, host)
}

// AllocatorLost handles the loss of the connection to an allocator. Requests that wait for
// its answer are decided here.
func (p *Placer) AllocatorLost(now clock.Millis, host string) []Action {
	p.init()
	delete(p.linked, host)
	var waiting []*request
	for _, r := range p.requests {
		if r.ask != nil && r.ask.allocator == host {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, byPriority)
	for _, r := range waiting {
		p.askLost(now, r)
	}
	p.serveQueue(now)
	return p.takeActions()
}

// AskerLost handles the loss of the connection of a host that asks this one. Its requests
// are forgotten. Slots that it uses are taken as free, as their end will not be told.
func (p *Placer) AskerLost(now clock.Millis, host string) []Action {
	p.init()
	for _, r := range maps.Clone(p.askers) {
		if r.asker.host == host {
			p.remove(r)
		}
	}
	for key := range maps.Clone(p.grants) {
		if key.host == host {
			p.handleEnd(now, key, SlotMessage{Status: route.NotSent})
		}
	}
	p.serveQueue(now)
	return p.takeActions()
}

// handleAnswer handles an allocator's answer to an ask of this host.
func (p *Placer) handleAnswer(now clock.Millis, host string, m SlotMessage) {
	r := p.asks[m.ID]
	if r == nil || r.ask.allocator != host {
		if m.Kind == SlotGrant {
			p.tell(host, SlotMessage{Kind: SlotEnd, ID: m.ID, Status: route.NotSent})
		}
		return
	}
	switch m.Kind {
	case SlotQueued:
		r.ask.until = now + queuedTimeout
	case SlotDeny:
		p.forgetAsk(r)
		p.handleDeny(now, host, r, m)
	case SlotGrant:
		p.forgetAsk(r)
		u := p.byID[m.Upstream]
		if u == nil || !p.sendable(now, r, u) {
			p.tell(host, SlotMessage{Kind: SlotEnd, ID: m.ID, Status: route.NotSent})
			p.startProbing(now, r)
			return
		}
		p.recordLoad(now, u, m.Load, 0)
		p.send(now, r, u)
		r.running[len(r.running)-1].slot = slotKey{host: host, id: m.ID}
		p.actions[len(p.actions)-1].Sent.Allocator = host
	}
}

// handleDeny refuses r as the allocator does, unless it only could not tell.
func (p *Placer) handleDeny(now clock.Millis, host string, r *request, m SlotMessage) {
	if m.Reason != route.ReasonOverloaded && m.Reason != route.ReasonDeadline {
		p.avoidedAllocators[host] = now + allocatorAvoidPeriod
		p.startProbing(now, r)
		return
	}
	r.retryAfter = max(r.retryAfter, m.RetryAfter)
	r.denied, r.deniedBy = &m.Detail, host
	p.refuse(now, r, m.Reason)
}

// endGrant tells the allocator that an attempt of this host has ended.
func (p *Placer) endGrant(a *attempt, res route.Result) {
	if a.slot.host == "" || a.asker != "" {
		return
	}
	m := SlotMessage{Kind: SlotEnd, ID: a.slot.id, Status: route.NotSent}
	if !res.AddressReassigned { // else another upstream has answered
		m.Status, m.Load, m.RetryAfter, m.Leaving = res.Status, res.Load, res.Notice.RetryAfter, res.Notice.Leaving
	}
	p.tell(a.slot.host, m)
}

// handleAsk looks for a slot for a request of another host.
func (p *Placer) handleAsk(now clock.Millis, host string, m SlotMessage) {
	p.sweepGrants(now)
	if p.knowsLimit() {
		p.tell(host, SlotMessage{Kind: SlotDeny, ID: m.ID, Reason: route.ReasonNoUpstream})
		return
	}
	p.lastAskedAt = now
	p.updateRole(now)
	p.lastAskers++
	r := &request{
		Request: Request{
			ID: p.lastAskers | askersBit, Route: m.Route, Priority: m.Priority, Arrived: now - m.Waited, Target: m.Target,
			GiveUp: now + m.TimeLeft, CallerLeft: m.CallerLeft, MaxAttempts: 1, Forwarded: true,
		},
		asker: &asker{slotKey: slotKey{host, m.ID}, zone: m.Zone}, aboveFairUse: m.AboveFairUse,
	}
	for _, id := range m.Except {
		if u := p.byID[id]; u != nil {
			r.tried = append(r.tried, u)
		}
	}
	p.requests[r.ID] = r
	p.askers[r.asker.slotKey] = r
	p.retryDelay.RecordRequest(now)
	p.planWait(now, r)
	r.waitUntil = min(r.GiveUp, max(r.waitUntil, now+2*p.Tuning.ProbeWait))
	p.startProbing(now, r)
}

// askersBit tells the numbers of other hosts' requests from those of this host's.
const askersBit = 1 << 62

// tellQueued tells the host of r that it has to wait.
func (p *Placer) tellQueued(now clock.Millis, r *request) {
	if r.asker != nil && now-r.asker.toldAt >= queuedInterval {
		r.asker.toldAt = now
		p.tell(r.asker.host, SlotMessage{Kind: SlotQueued, ID: r.asker.id})
	}
}

// grant gives a slot of u to the host of r.
func (p *Placer) grant(now clock.Millis, r *request, u *upstream) {
	p.remove(r)
	p.throughput.recordSend(now)
	p.lastAttempt++
	a := &attempt{
		id: p.lastAttempt, upstream: u, started: now, slowdown: u.slowdownAt(now, p.meanSlowdown), target: r.Target, route: r.Route,
		slot: r.asker.slotKey, asker: r.asker.host,
	}
	p.grants[a.slot] = a
	load := route.LoadReport{InFlight: p.load(now, u), Slots: u.Slots, Slowdown: a.slowdown}
	u.inFlight++
	u.sentSinceReport++
	u.sentSinceProbe++
	p.tell(a.asker, SlotMessage{Kind: SlotGrant, ID: a.slot.id, Upstream: u.ID, Load: &load})
}

// deny tells the host of r that it gets no slot.
func (p *Placer) deny(now clock.Millis, r *request, reason route.Reason) {
	p.remove(r)
	if reason == route.ReasonOverloaded {
		p.throughput.recordRefusal(now)
	}
	p.tell(r.asker.host, SlotMessage{
		Kind: SlotDeny, ID: r.asker.id, Reason: reason, RetryAfter: p.retryAfter(now, r, reason), Detail: p.refusalDetail(now, r),
	})
}

// handleEnd records that another host no longer uses a slot. That it has not reached the
// upstream says nothing about whether others do.
func (p *Placer) handleEnd(now clock.Millis, key slotKey, m SlotMessage) {
	a := p.grants[key]
	if a == nil {
		return
	}
	delete(p.grants, key)
	u := a.upstream
	u.endSend()
	p.recordLoad(now, u, m.Load, 0)
	p.recordSlotNotice(now, u, m)
	switch m.Status {
	case route.Succeeded:
		p.updateTypicalTime(a, now-a.started)
		u.recordSuccess(now)
	case route.Errored:
		p.recordFailure(now, u)
	case route.Refused:
		if m.RetryAfter == 0 {
			p.recordRefusal(now, u, route.Result{Load: m.Load})
		}
	}
}

// sweepGrants forgets grants whose end has not been told.
func (p *Placer) sweepGrants(now clock.Millis) {
	if now-p.grantsSweptAt < grantSweepInterval {
		return
	}
	p.grantsSweptAt = now
	for key, a := range p.grants {
		if now-a.started > grantLifetime*a.target {
			p.handleEnd(now, key, SlotMessage{Status: route.NotSent})
		}
	}
}

// MayAllocate reports whether slots of the service may be allocated. Upstreams that are
// limited while they are cold give each host a share of its own.
func MayAllocate(list []Upstream) bool {
	return !slices.ContainsFunc(list, func(u Upstream) bool { return u.ColdLimited })
}
