package table

import "siskinpath/core/clock"

// host is a machine whose process may be restarted.
type host struct {
	f                *fleet
	id               string
	p                *process     // nil during a restart
	highest          uint64       // newest version ever in force on this host, over all restarts
	platformCut      bool         // can't reach the platform
	platformCutSince clock.Millis // last change of platformCut
	cutPeers         map[string]bool
	cutPeersSince    clock.Millis // last change of cutPeers
}

// process is one run of a host's program: a Follower with its simulated I/O.
type process struct {
	h             *host
	f             *fleet
	follower      *Follower
	started       clock.Millis
	frozen        bool
	resumedAt     clock.Millis
	dead          bool
	deferred      []func()          // events to run when the process resumes
	knownVersions map[string]uint64 // newest version known of each host, which gossip passes on
}

func (h *host) start() {
	p := &process{h: h, f: h.f, started: h.f.now, follower: &Follower{Self: h.id}, knownVersions: map[string]uint64{}}
	h.p = p
	var ids []string
	for i := range hostCount {
		ids = append(ids, "gh-"+string(rune('1'+i)))
	}
	p.follower.SetListedHosts(ids)
	p.do(h.f.randomBetween(0, pollEvery), p.poll)
	p.do(h.f.randomBetween(0, gossipEvery), p.gossip)
}

func (h *host) restart(downFor clock.Millis) {
	if h.p == nil {
		return
	}
	h.p.dead = true
	h.p.count()
	h.p = nil
	h.f.stats.restarts++
	h.f.at(downFor, h.start)
}

func (p *process) count() {
	c := p.follower.State().Counts
	p.f.stats.versionsApplied += c.VersionsApplied
	p.f.stats.fromPeers += c.AppliedFromPeers
	p.f.stats.deferred += c.CopiesDeferred
}

func (h *host) freeze(d clock.Millis) {
	p := h.p
	if p == nil || p.frozen {
		return
	}
	p.frozen = true
	h.f.at(d, func() {
		p.frozen, p.resumedAt = false, h.f.now
		deferred := p.deferred
		p.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

func (h *host) cutPlatform(cut bool) {
	h.platformCut, h.platformCutSince = cut, h.f.now
}

// isolate cuts or restores the links from the host to the platform and to all peers.
// While cutting, it leaves the link to except in place.
func (h *host) isolate(cut bool, except *host) {
	h.cutPlatform(cut)
	for _, other := range h.f.hosts {
		if other != h {
			h.cutFrom(other, cut && other != except)
		}
	}
}

// cutFrom cuts or restores the link between two hosts.
func (h *host) cutFrom(other *host, cut bool) {
	h.cutPeers[other.id], other.cutPeers[h.id] = cut, cut
	h.cutPeersSince, other.cutPeersSince = h.f.now, h.f.now
}

// do schedules run in the process after the delay d. A frozen process runs it when
// it resumes, a dead one never.
func (p *process) do(d clock.Millis, run func()) {
	p.f.at(d, func() {
		switch {
		case p.dead:
		case p.frozen:
			p.deferred = append(p.deferred, run)
		default:
			run()
			p.check()
		}
	})
}

// poll reads the platform's row repeatedly. Replies may be delayed and out of order.
func (p *process) poll() {
	if p.f.now > simulatedTime+10*clock.Second {
		p.count()
		return
	}
	p.do(pollEvery, p.poll)
	if p.f.down || p.h.platformCut {
		return
	}
	row := p.f.rows[RowKey]
	p.do(p.f.randomBetween(1, 900), func() { p.read(row) })
}

func (p *process) read(row PlatformRow) {
	if p.f.disabled == noHigherOnly && row.Version > 0 {
		p.force(row.Version, row.Value)
		return
	}
	_ = p.follower.PlatformRead(p.f.now, row.Version, row.Value, true)
}

// force puts a version in force without the follower's checks.
func (p *process) force(version uint64, value string) {
	if c, err := decodeCopy(version, value); err == nil {
		p.follower.apply(p.f.now, c)
	}
}

// gossip repeatedly sends a few other hosts the version in force on this host and
// the versions known of others.
func (p *process) gossip() {
	if p.f.now > simulatedTime+10*clock.Second {
		return
	}
	p.do(gossipEvery, p.gossip)
	for range gossipFanout {
		to := p.f.hosts[p.f.rand.IntN(hostCount)]
		if to == p.h || p.h.cutPeers[to.id] || to.p == nil || p.f.chance(3) {
			continue
		}
		versions := map[string]uint64{p.h.id: p.follower.Version()}
		for id, v := range p.knownVersions {
			if id != p.h.id {
				versions[id] = v
			}
		}
		q := to.p
		q.do(p.f.randomBetween(1, 20), func() { q.receiveVersions(p, versions) })
	}
}

func (p *process) receiveVersions(from *process, versions map[string]uint64) {
	for id, v := range versions {
		p.knownVersions[id] = max(p.knownVersions[id], v)
		if id == from.h.id {
			p.follower.VersionReported(p.f.now, id, v)
		} else {
			p.follower.VersionRelayed(v)
		}
	}
	if versions[from.h.id] <= p.follower.Version() || p.h.cutPeers[from.h.id] {
		return
	}
	from.do(p.f.randomBetween(1, 20), func() {
		version, value := from.follower.Row()
		p.do(p.f.randomBetween(1, 20), func() { p.receiveCopy(from.h.id, version, value) })
	})
}

func (p *process) receiveCopy(from string, version uint64, value string) {
	if p.f.disabled == noMajority && p.follower.InForce() == nil {
		p.force(version, value)
		return
	}
	_ = p.follower.CopyReceived(p.f.now, from, version, value)
}

// check asserts that the version in force on the host never decreases, not even
// across a restart.
func (p *process) check() {
	v := p.follower.Version()
	if v > 0 && v < p.h.highest {
		p.f.violation("%s has version %d in force after %d", p.h.id, v, p.h.highest)
	}
	p.h.highest = max(p.h.highest, v)
}

// checkPropagation checks every 100 ms that the platform's version is in force
// within propagationLimit on each host that could have learned of it.
func (f *fleet) checkPropagation() {
	if f.now < simulatedTime {
		f.at(100, f.checkPropagation)
	}
	version := f.rows[RowKey].Version
	f.at(propagationLimit, func() {
		reached := 0
		platformUp := !f.down && f.upSince+propagationLimit <= f.now
		for _, h := range f.hosts {
			if h.p != nil && h.p.undisturbed() && !h.platformCut && h.platformCutSince+propagationLimit <= f.now && platformUp {
				reached++
				f.stats.checkedViaPlatform++
				f.requireVersion(h, version, "the platform")
			}
		}
		for _, h := range f.hosts {
			if h.p != nil && h.p.undisturbed() && h.platformCut && reached > hostCount/2 && !h.lacksPeer() {
				f.stats.checkedViaPeers++
				f.requireVersion(h, version, "its peers")
			}
		}
	})
}

// undisturbed reports whether the process has run without a freeze for propagationLimit.
func (p *process) undisturbed() bool {
	return !p.frozen && p.resumedAt+propagationLimit <= p.f.now && p.started+propagationLimit <= p.f.now
}

// lacksPeer reports whether the host is cut from any peer, or was within the last
// propagationLimit.
func (h *host) lacksPeer() bool {
	if h.cutPeersSince+propagationLimit > h.f.now {
		return true
	}
	for _, cut := range h.cutPeers {
		if cut {
			return true
		}
	}
	return false
}

func (f *fleet) requireVersion(h *host, version uint64, by string) {
	if got := h.p.follower.Version(); got < version {
		f.violation("%s does not have version %d, available from %s, in force after %d ms: it has %d", h.id, version, by, propagationLimit, got)
	}
}
