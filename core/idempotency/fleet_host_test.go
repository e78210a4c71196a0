package idempotency

import (
	"math"
	"slices"

	"siskinpath/core/clock"
)

// host is a simulated machine. A new process replaces its process at each start.
type host struct {
	f       *fleet
	id      string
	process *process // nil while it is being restarted
	starts  int
}

// process is one incarnation of a host: a KeyRegistry and its simulated I/O.
type process struct {
	f         *fleet
	host      *host
	inc       uint64
	registry  *KeyRegistry
	frozen    bool
	since     clock.Millis // when it was last frozen or killed
	dead      bool
	postponed []func() // functions to run when it wakes
	waiters   map[RecordID][]*call
	writing   bool // a transaction or a read is in flight
}

// call is a request being handled by one host.
type call struct {
	req     Request
	reply   func(r Reply, givenUp bool)
	settled bool
	ran     bool     // the upstream ran it on behalf of this call
	refused bool     // the caller was answered not_run
	caller  *call    // the call at the forwarding host; nil for a call that came from a caller
	started RecordID // the record for which it was run or forwarded
}

// root returns the call that came from the caller.
func (c *call) root() *call {
	for c.caller != nil {
		c = c.caller
	}
	return c
}

func (c *call) startedFor(rec RecordID) bool { return c.started == rec }

func (c *call) answer(r Reply, givenUp bool) {
	if !c.settled {
		c.settled = true
		c.reply(r, givenUp)
	}
}

func (h *host) start() {
	h.starts++
	inc := uint64(len(h.f.processes) + 1)
	if h.f.disabled == noIncarnation {
		inc = uint64(slices.Index(h.f.hosts, h) + 1)
	}
	p := &process{f: h.f, host: h, inc: inc, waiters: map[RecordID][]*call{}}
	p.registry = &KeyRegistry{Incarnation: inc, Host: h.id, Retention: retainInFleet, WindowLength: windowInFleet}
	h.process = p
	h.f.processes[inc] = p
	p.tick()
}

func (h *host) kill(downFor clock.Millis) {
	if h.process == nil {
		return
	}
	p := h.process
	p.dead, p.since = true, h.f.now
	p.postponed = nil
	p.count()
	h.process = nil
	h.f.at(downFor, h.start)
}

// count adds the registry's counters to the fleet's figures.
func (p *process) count() {
	c, f := p.registry.State().Counts, &p.f.figures
	f.claimWrites += c.ClaimWrites
	f.claimTransactions += c.ClaimTransactions
	f.claimReads += c.ClaimReads
	f.takeOvers += c.TakeOvers
}

func (h *host) freeze(d clock.Millis) {
	p := h.process
	if p == nil || p.frozen {
		return
	}
	p.frozen, p.since = true, h.f.now
	h.f.at(d, func() {
		p.frozen = false
		postponed := p.postponed
		p.postponed = nil
		h.f.rand.Shuffle(len(postponed), func(i, j int) { postponed[i], postponed[j] = postponed[j], postponed[i] })
		for _, run := range postponed {
			run()
		}
	})
}

// do runs a function in the process after d. It is delayed while the process is
// frozen, and dropped if the process is dead by then.
func (p *process) do(d clock.Millis, run func()) {
	p.f.at(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.postponed = append(p.postponed, run)
		default:
			run()
		}
	})
}

func (p *process) tick() {
	if p.f.now > fleetSpan+90*clock.Second {
		p.count()
		return
	}
	p.registry.Tick(p.f.now)
	if p.f.disabled == noRetention {
		for _, r := range p.registry.byID {
			if r.phase == ended {
				p.registry.drop(r)
			}
		}
	}
	p.settleClaims()
	p.do(tickEvery, p.tick)
}

// lookup returns this process's knowledge of another one, which lags by statusDelay.
func (p *process) lookup(inc uint64) (string, HostStatus) {
	other := p.f.processes[inc]
	old := func() bool { return p.f.now >= other.since+statusDelay }
	switch {
	case other == nil:
		return "", NeverSeen
	case other.dead && old():
		return other.host.id, Terminated
	case other.frozen && old(), p.f.cut[[2]string{p.host.id, other.host.id}]:
		return other.host.id, Unreachable
	}
	return other.host.id, Reachable
}

// handle handles a request that reaches the process.
func (p *process) handle(c *call) {
	d := p.registry.Begin(p.f.now, c.req, p.lookup)
	p.f.trace(scopedKeyOf(c.req), "%s/%d mode %d: verdict %d %s record %d", p.host.id, p.inc, c.req.Mode, d.Verdict, d.Reply.Reason, d.Record)
	switch d.Verdict {
	case Run:
		c.started = d.Record
		p.wait(d.Record, c)
		p.run(d.Record, c)
	case Wait:
		p.wait(d.Record, c)
	case Claim:
		p.wait(d.Record, c)
		p.pump()
	case Forward:
		req := c.req
		req.Mode = ModeDecide
		p.forward(d.Host, req, c, func(r Reply, _ bool) { c.answer(r, false) })
	default:
		p.checkNotRun(scopedKeyOf(c.req), d.Reply)
		c.answer(d.Reply, d.GivenUp)
	}
}

// checkNotRun checks that the process doesn't answer not_run for a key with its
// own prefix after that key ran. It checks the reply where it is made, because
// another try may run the key while the reply is on its way to the caller.
func (p *process) checkNotRun(key scopedKey, r Reply) {
	inc, _, prefixed := ParsePrefix(key.key)
	if prefixed && inc == p.inc && r.Outcome == NotRun && p.f.history(key).runs > 0 {
		p.f.violation(key, "%s answered not_run after the key ran", p.host.id)
	}
}

// wait answers a call when its record ends, or 200 ms after its deadline.
func (p *process) wait(rec RecordID, c *call) {
	p.waiters[rec] = append(p.waiters[rec], c)
	p.do(c.req.Deadline-p.f.now+200, func() {
		c.answer(Reply{Outcome: OutcomeUnknown, Reason: ReasonStillRunning}, false)
	})
}

// end records a reply and answers all calls that wait for the record.
func (p *process) end(rec RecordID, r Reply) {
	r = p.registry.End(p.f.now, rec, r)
	waiting := p.waiters[rec]
	delete(p.waiters, rec)
	for _, c := range waiting {
		p.checkNotRun(scopedKeyOf(c.req), r)
		c.answer(r, false)
	}
}

// run sends a request after a random wait for a slot. It asks MaySend, and sends
// the bytes a little later; the process may freeze in between.
func (p *process) run(rec RecordID, c *call) {
	p.do(max(0, c.req.Deadline-p.f.now), func() { p.end(rec, Reply{Outcome: NotRun, Reason: ReasonDeadline}) })
	p.do(p.f.randomSpan(0, 300), func() {
		if !p.registry.MaySend(p.f.now, rec) && p.f.disabled != noMaySend {
			p.end(rec, Reply{Outcome: NotRun, Reason: ReasonDeadline})
			return
		}
		p.do(p.f.randomSpan(0, 5), func() { p.send(rec, c) })
	})
}

// send transmits the request. It reaches the upstream even if this process is
// frozen or killed meanwhile.
func (p *process) send(rec RecordID, c *call) {
	p.f.at(p.f.randomSpan(1, 3), func() {
		ran := p.f.execute(c)
		if p.f.chance(10) {
			p.do(p.f.randomSpan(1, 50), func() { p.end(rec, Reply{Outcome: OutcomeUnknown, Reason: "connection_lost"}) })
			return
		}
		p.do(p.f.randomSpan(1, 200), func() { p.sent(rec, c, ran) })
	})
}

func (p *process) sent(rec RecordID, c *call, ran bool) {
	if ran {
		p.end(rec, Reply{Status: 200, Body: []byte(answerOf(scopedKeyOf(c.req)))})
		return
	}
	p.registry.NotSent(p.f.now, rec)
	if p.f.chance(50) {
		p.run(rec, c)
		return
	}
	p.end(rec, Reply{Outcome: NotRun, Reason: "upstream_refused"})
}

// forward sends a request to another host and waits for its reply. The request
// and the reply may be lost.
func (p *process) forward(to string, req Request, from *call, then func(Reply, bool)) {
	done := false
	once := func(r Reply, givenUp bool) {
		if !done {
			done = true
			then(r, givenUp)
		}
	}
	p.do(forwardTimeout, func() { once(Reply{Outcome: OutcomeUnknown, Reason: "forward_lost"}, false) })
	back := func(r Reply, givenUp bool) {
		if !p.f.chance(5) {
			p.do(p.f.randomSpan(1, 5), func() { once(r, givenUp) })
		}
	}
	p.f.at(p.f.randomSpan(1, 5), func() {
		i := slices.IndexFunc(p.f.hosts, func(h *host) bool { return h.id == to })
		other := p.f.hosts[i].process
		if other == nil || p.f.cut[[2]string{p.host.id, to}] || p.f.chance(5) {
			return
		}
		if p.f.disabled == noClaimRow && req.Mode == ModeClaimed {
			req.ClaimRow = foreignRow(other.inc, math.MaxUint64)
		}
		other.do(0, func() { other.handle(&call{req: req, reply: back, caller: from}) })
	})
}
