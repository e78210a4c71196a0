package table

import "siskinpath/core/clock"

// host is a machine whose process is replaced now and then.
type host struct {
	f        *fleet
	id       string
	p        *process // nil while it is being restarted
	highest  uint64   // newest version that it ever had in force
	cut      bool     // from the platform
	cutSince clock.Millis
	cutPeers map[string]bool
	cutAt    clock.Millis // last change of cutPeers
}

// process is one run of a host: a Follower and the shell around it.
type process struct {
	h        *host
	f        *fleet
	follower *Follower
	started  clock.Millis
	frozen   bool
	thawed   clock.Millis
	dead     bool
	late     []func()
	heard    map[string]uint64 // what it would pass on of others
}

func (h *host) start() {
	p := &process{h: h, f: h.f, started: h.f.now, follower: &Follower{Self: h.id}, heard: map[string]uint64{}}
	h.p = p
	var ids []string
	for i := range hostCount {
		ids = append(ids, "gh-"+string(rune('1'+i)))
	}
	p.follower.SetListedHosts(ids)
	p.do(h.f.span(0, pollEvery), p.poll)
	p.do(h.f.span(0, gossipEvery), p.gossip)
}

func (h *host) restart(downFor clock.Millis) {
	if h.p == nil {
		return
	}
	h.p.dead = true
	h.p.count()
	h.p = nil
	h.f.figures.restarts++
	h.f.at(downFor, h.start)
}

func (p *process) count() {
	c := p.follower.State().Counts
	p.f.figures.moves += c.VersionsApplied
	p.f.figures.fromPeers += c.AppliedFromPeers
	p.f.figures.heldBack += c.CopiesDeferred
}

func (h *host) freeze(d clock.Millis) {
	p := h.p
	if p == nil || p.frozen {
		return
	}
	p.frozen = true
	h.f.at(d, func() {
		p.frozen, p.thawed = false, h.f.now
		late := p.late
		p.late = nil
		for _, run := range late {
			run()
		}
	})
}

func (h *host) cutPlatform(cut bool) {
	h.cut, h.cutSince = cut, h.f.now
}

// isolate cuts the host from the platform and all peers but one, or ends that.
func (h *host) isolate(cut bool, except *host) {
	h.cutPlatform(cut)
	for _, other := range h.f.hosts {
		if other != h {
			h.cutFrom(other, cut && other != except)
		}
	}
}

// cutFrom cuts the link between two hosts, or ends that.
func (h *host) cutFrom(other *host, cut bool) {
	h.cutPeers[other.id], other.cutPeers[h.id] = cut, cut
	h.cutAt, other.cutAt = h.f.now, h.f.now
}

// do has the process do something after d, later if it is frozen, never if dead.
func (p *process) do(d clock.Millis, run func()) {
	p.f.at(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.late = append(p.late, run)
		default:
			run()
			p.check()
		}
	})
}

// poll reads the platform's row. The reply may be late, and overtaken.
func (p *process) poll() {
	if p.f.now > fleetSpan+10*clock.Second {
		p.count()
		return
	}
	p.do(pollEvery, p.poll)
	if p.f.down || p.h.cut {
		return
	}
	row := p.f.rows[RowKey]
	p.do(p.f.span(1, 900), func() { p.read(row) })
}

func (p *process) read(row PlatformRow) {
	if p.f.off == noHigherOnly && row.Version > 0 {
		p.force(row.Version, row.Value)
		return
	}
	_ = p.follower.PlatformRead(p.f.now, row.Version, row.Value, true)
}

// force puts a version in force without asking the follower.
func (p *process) force(version uint64, value string) {
	if c, err := decodeCopy(version, value); err == nil {
		p.follower.move(p.f.now, c)
	}
}

// gossip tells a few other hosts which version is in force here, and what was
// heard of others.
func (p *process) gossip() {
	if p.f.now > fleetSpan+10*clock.Second {
		return
	}
	p.do(gossipEvery, p.gossip)
	for range gossipTo {
		to := p.f.hosts[p.f.rand.IntN(hostCount)]
		if to == p.h || p.h.cutPeers[to.id] || to.p == nil || p.f.chance(3) {
			continue
		}
		news := map[string]uint64{p.h.id: p.follower.Version()}
		for id, v := range p.heard {
			if id != p.h.id {
				news[id] = v
			}
		}
		q := to.p
		q.do(p.f.span(1, 20), func() { q.hear(p, news) })
	}
}

func (p *process) hear(from *process, news map[string]uint64) {
	for id, v := range news {
		p.heard[id] = max(p.heard[id], v)
		if id == from.h.id {
			p.follower.VersionReported(p.f.now, id, v)
		} else {
			p.follower.VersionRelayed(v)
		}
	}
	if news[from.h.id] <= p.follower.Version() || p.h.cutPeers[from.h.id] {
		return
	}
	from.do(p.f.span(1, 20), func() {
		version, value := from.follower.Row()
		p.do(p.f.span(1, 20), func() { p.copied(from.h.id, version, value) })
	})
}

func (p *process) copied(from string, version uint64, value string) {
	if p.f.off == noMajority && p.follower.InForce() == nil {
		p.force(version, value)
		return
	}
	_ = p.follower.CopyReceived(p.f.now, from, version, value)
}

// check asserts that the host never goes back, also not across a restart.
func (p *process) check() {
	v := p.follower.Version()
	if v > 0 && v < p.h.highest {
		p.f.violation("%s has version %d in force after %d", p.h.id, v, p.h.highest)
	}
	p.h.highest = max(p.h.highest, v)
}

// watch looks now and then whether what was accepted is in force in time.
func (f *fleet) watch() {
	if f.now < fleetSpan {
		f.at(100, f.watch)
	}
	version := f.rows[RowKey].Version
	f.at(inForceFor, func() {
		reached := 0
		platformUp := !f.down && f.upSince+inForceFor <= f.now
		for _, h := range f.hosts {
			if h.p != nil && h.p.up() && !h.cut && h.cutSince+inForceFor <= f.now && platformUp {
				reached++
				f.figures.dueByPlatform++
				f.mustHave(h, version, "the platform")
			}
		}
		for _, h := range f.hosts {
			if h.p != nil && h.p.up() && h.cut && reached > hostCount/2 && !h.cutOff() {
				f.figures.dueByPeers++
				f.mustHave(h, version, "its peers")
			}
		}
	})
}

// up reports whether the process has run undisturbed for long enough.
func (p *process) up() bool {
	return !p.frozen && p.thawed+inForceFor <= p.f.now && p.started+inForceFor <= p.f.now
}

// cutOff reports whether the host is cut from any peer, or was just now.
func (h *host) cutOff() bool {
	if h.cutAt+inForceFor > h.f.now {
		return true
	}
	for _, cut := range h.cutPeers {
		if cut {
			return true
		}
	}
	return false
}

func (f *fleet) mustHave(h *host, version uint64, by string) {
	if got := h.p.follower.Version(); got < version {
		f.violation("%s has version %d, which it could have by %s, still not in force after %d ms: %d", h.id, version, by, inForceFor, got)
	}
}
