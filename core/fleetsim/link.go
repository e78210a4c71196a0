package fleetsim

import (
	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// LinkFaults are the probabilities of faults of a message.
type LinkFaults struct {
	Loss      float64
	Duplicate float64
	Delay     float64 // of a delay of up to 10 s, which also reorders messages
}

// Links simulates the links between hosts.
type Links struct {
	fleet  *Fleet
	faults LinkFaults
	cut    map[[2]int]bool // pairs of hosts, lower index first
	oneWay map[[2]int]bool // sender and receiver
}

// CutPair cuts the link between two hosts, or restores it if cut is false.
func (l *Links) CutPair(a, b int, cut bool) { l.cut[[2]int{min(a, b), max(a, b)}] = cut }

// Heal restores all links and ends their faults.
func (l *Links) Heal() {
	clear(l.cut)
	clear(l.oneWay)
	l.faults = LinkFaults{}
}

func (l *Links) open(a, b *Host) bool {
	return !a.PeersCut && !b.PeersCut && !l.cut[[2]int{min(a.Index, b.Index), max(a.Index, b.Index)}]
}

func (l *Links) latency() clock.Millis { return l.fleet.randomSpan(1, 4) }

func (l *Links) target(to membership.Host) *Host {
	for _, h := range l.fleet.Hosts {
		if h.ID+":7100" == to.PeerAddress {
			return h
		}
	}
	return nil
}

// send delivers a heartbeat. If the receiver's port refuses the connection, the
// sender learns that the incarnation it last knew there is dead.
func (l *Links) send(from *Host, to membership.Host, beat membership.Heartbeat) {
	h := l.target(to)
	from.SentMessages++
	from.SentBytes += HeartbeatBytes(beat)
	if h == nil || !l.open(from, h) {
		return
	}
	if l.checkRefused(from, h, to) || l.oneWay[[2]int{from.Index, h.Index}] || l.fleet.chance(l.faults.Loss) {
		return
	}
	l.deliver(h, beat)
	if l.fleet.chance(l.faults.Duplicate) {
		l.deliver(h, beat)
	}
}

func (l *Links) deliver(h *Host, beat membership.Heartbeat) {
	d := l.latency()
	if l.fleet.chance(l.faults.Delay) {
		d += l.fleet.randomSpan(0, 10*clock.Second)
	}
	h.later(d, func() {
		beat := beat
		if l.fleet.Ablation.Heartbeat != nil {
			beat = l.fleet.Ablation.Heartbeat(h, beat)
		}
		h.handleEvent(func(now clock.Millis) []membership.Action { return h.View.HandleHeartbeat(now, beat) })
	})
}

func (l *Links) dial(from *Host, to membership.Host) {
	if h := l.target(to); h != nil && l.open(from, h) {
		l.checkRefused(from, h, to)
	}
}

// checkRefused reports whether nothing can be delivered to h. If its port refuses
// the connection, the sender gets a proof of death; a host that is off, or not yet
// started, gives none.
func (l *Links) checkRefused(from, h *Host, to membership.Host) bool {
	if h.Mode != Killed {
		return h.View == nil || h.Mode == PowerOff
	}
	if to.Incarnation != 0 {
		death := membership.Death{ID: to.ID, Incarnation: to.Incarnation}
		from.later(l.latency(), func() {
			from.handleEvent(func(now clock.Millis) []membership.Action { return from.View.HandleDeath(now, death) })
		})
	}
	return true
}

// fetch copies another host's assignment.
func (l *Links) fetch(from *Host, to membership.Host) {
	h := l.target(to)
	if h == nil || h.View == nil || h.Mode != Running || !l.open(from, h) {
		return
	}
	d := l.latency()
	h.later(d, func() {
		a := h.View.State(h.Time()).Assignment
		if !l.open(from, h) {
			return
		}
		from.later(d, func() {
			from.handleEvent(func(now clock.Millis) []membership.Action { return from.View.HandlePeerAssignment(now, a) })
		})
	})
}
