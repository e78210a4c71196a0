package idempotency

import (
	"math"
	"slices"

	"siskinpath/core/clock"
)

// host is a machine; its process comes and goes.
type host struct {
	f       *fleet
	id      string
	process *process // nil while it is being restarted
	starts  int
}

// process is one incarnation of a host: a Keeper and the shell around it.
type process struct {
	f       *fleet
	host    *host
	inc     uint64
	keeper  *KeyRegistry
	frozen  bool
	since   clock.Millis // of its freeze or its death
	dead    bool
	late    []func() // what happens once it wakes
	waiters map[RecordID][]*call
	writing bool // a transaction or a read is under way
}

// call is a request on its way through one host.
type call struct {
	req     Request
	reply   func(r Reply, givenUp bool)
	settled bool
	ran     bool     // the upstream ran it for this very call
	refused bool     // its caller was told not_run
	caller  *call    // at the host that passed it on; nil for a caller's own
	started RecordID // the record for which it was run or passed on
}

// root returns the call as it came from the caller.
func (c *call) root() *call {
	for c.caller != nil {
		c = c.caller
	}
	return c
}

func (c *call) passed(rec RecordID) bool { return c.started == rec }

func (c *call) answer(r Reply, givenUp bool) {
	if !c.settled {
		c.settled = true
		c.reply(r, givenUp)
	}
}

func (h *host) start() {
	h.starts++
	inc := uint64(len(h.f.processes) + 1)
	if h.f.off == noIncarnation {
		inc = uint64(slices.Index(h.f.hosts, h) + 1)
	}
	p := &process{f: h.f, host: h, inc: inc, waiters: map[RecordID][]*call{}}
	p.keeper = &KeyRegistry{Incarnation: inc, Host: h.id, Retention: retainInFleet, WindowLength: windowInFleet}
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
	p.late = nil
	p.count()
	h.process = nil
	h.f.at(downFor, h.start)
}

// count adds the keeper's counters to the fleet's.
func (p *process) count() {
	c, f := p.keeper.State().Counts, &p.f.figures
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
		late := p.late
		p.late = nil
		h.f.rand.Shuffle(len(late), func(i, j int) { late[i], late[j] = late[j], late[i] })
		for _, run := range late {
			run()
		}
	})
}

// do has the process do something after d, later if it is frozen then, never if
// it is dead.
func (p *process) do(d clock.Millis, run func()) {
	p.f.at(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.late = append(p.late, run)
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
	p.keeper.Tick(p.f.now)
	if p.f.off == noRetention {
		for _, r := range p.keeper.byID {
			if r.phase == ended {
				p.keeper.drop(r)
			}
		}
	}
	p.settleClaims()
	p.do(tickEvery, p.tick)
}

// find is what this process knows of others, which lags.
func (p *process) find(inc uint64) (string, HostStatus) {
	other := p.f.processes[inc]
	old := func() bool { return p.f.now >= other.since+newsDelay }
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

// handle is a request reaching the process.
func (p *process) handle(c *call) {
	d := p.keeper.Begin(p.f.now, c.req, p.find)
	p.f.trace(nameOf(c.req), "%s/%d mode %d: verdict %d %s record %d", p.host.id, p.inc, c.req.Mode, d.Verdict, d.Reply.Reason, d.Record)
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
		p.pass(d.Host, req, c, func(r Reply, _ bool) { c.answer(r, false) })
	default:
		p.says(nameOf(c.req), d.Reply)
		c.answer(d.Reply, d.GivenUp)
	}
}

// says checks what the process says of a key that it alone decides on. On its way
// to the caller the answer may be overtaken by another try's.
func (p *process) says(n name, r Reply) {
	inc, _, prefixed := ParsePrefix(n.key)
	if prefixed && inc == p.inc && r.Outcome == NotRun && p.f.history(n).runs > 0 {
		p.f.violation(n, "%s says not_run after it ran", p.host.id)
	}
}

// wait has a call answered with the end of a record, or when its time is up.
func (p *process) wait(rec RecordID, c *call) {
	p.waiters[rec] = append(p.waiters[rec], c)
	p.do(c.req.Deadline-p.f.now+200, func() {
		c.answer(Reply{Outcome: OutcomeUnknown, Reason: ReasonStillRunning}, false)
	})
}

// end records an end and tells all that wait for it.
func (p *process) end(rec RecordID, r Reply) {
	r = p.keeper.End(p.f.now, rec, r)
	waiting := p.waiters[rec]
	delete(p.waiters, rec)
	for _, c := range waiting {
		p.says(nameOf(c.req), r)
		c.answer(r, false)
	}
}

// run sends a request once a slot is free: it asks MaySend, and the bytes go out a
// little later, which may be after a freeze.
func (p *process) run(rec RecordID, c *call) {
	p.do(max(0, c.req.Deadline-p.f.now), func() { p.end(rec, Reply{Outcome: NotRun, Reason: ReasonDeadline}) })
	p.do(p.f.span(0, 300), func() {
		if !p.keeper.MaySend(p.f.now, rec) && p.f.off != noMaySend {
			p.end(rec, Reply{Outcome: NotRun, Reason: ReasonDeadline})
			return
		}
		p.do(p.f.span(0, 5), func() { p.send(rec, c) })
	})
}

// send puts the bytes on the wire. They arrive whatever becomes of this process.
func (p *process) send(rec RecordID, c *call) {
	p.f.at(p.f.span(1, 3), func() {
		ran := p.f.execute(c)
		if p.f.chance(10) {
			p.do(p.f.span(1, 50), func() { p.end(rec, Reply{Outcome: OutcomeUnknown, Reason: "connection_lost"}) })
			return
		}
		p.do(p.f.span(1, 200), func() { p.sent(rec, c, ran) })
	})
}

func (p *process) sent(rec RecordID, c *call, ran bool) {
	if ran {
		p.end(rec, Reply{Status: 200, Body: []byte(answerOf(nameOf(c.req)))})
		return
	}
	p.keeper.NotSent(p.f.now, rec)
	if p.f.chance(50) {
		p.run(rec, c)
		return
	}
	p.end(rec, Reply{Outcome: NotRun, Reason: "upstream_refused"})
}

// pass asks another host and waits for its reply, which may be lost.
func (p *process) pass(to string, req Request, from *call, then func(Reply, bool)) {
	done := false
	once := func(r Reply, givenUp bool) {
		if !done {
			done = true
			then(r, givenUp)
		}
	}
	p.do(passTimeout, func() { once(Reply{Outcome: OutcomeUnknown, Reason: "pass_lost"}, false) })
	back := func(r Reply, givenUp bool) {
		if !p.f.chance(5) {
			p.do(p.f.span(1, 5), func() { once(r, givenUp) })
		}
	}
	p.f.at(p.f.span(1, 5), func() {
		i := slices.IndexFunc(p.f.hosts, func(h *host) bool { return h.id == to })
		other := p.f.hosts[i].process
		if other == nil || p.f.cut[[2]string{p.host.id, to}] || p.f.chance(5) {
			return
		}
		if p.f.off == noClaimRow && req.Mode == ModeClaimed {
			req.ClaimRow = foreignRow(other.inc, math.MaxUint64)
		}
		other.do(0, func() { other.handle(&call{req: req, reply: back, caller: from}) })
	})
}
