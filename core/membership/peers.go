package membership

import (
	"slices"

	"siskinpath/core/clock"
)

// Limits of the state kept about other hosts.
const (
	maxDeaths  = 1024
	evictAfter = 10 * clock.Minute
)

// never is the time of an event that has not happened.
const never = clock.Millis(-1 << 50)

// peer is this host's record of another host.
type peer struct {
	host          Host
	listed        bool
	listedLeaving bool

	// lastSeenAt is a lower bound, on our own clock, of the time at which the
	// host sent its newest state. receivedAt is the time at which that state
	// arrived.
	lastSeenAt   clock.Millis
	receivedAt   clock.Millis
	directAt     clock.Millis // like lastSeenAt, for the newest state sent to us by the host itself
	probedAt     clock.Millis // when our latest heartbeat was sent to it
	relayed      int          // number of replies of ours that carried its newest state
	sequence     uint64
	epoch        uint64
	tableVersion uint64
	keyWindow    uint32
	leaving      bool
	platformAt   clock.Millis
	mentionedAt  clock.Millis // when it was last listed, or mentioned in any heartbeat
	firstSeenAt  clock.Millis // when this incarnation was first seen
}

func (p *peer) ref() HostRef { return refOf(p.host) }

func (v *View) selfRef() HostRef { return refOf(v.Self) }

func (v *View) peer(id string) *peer {
	p := v.peers[id]
	if p == nil {
		p = &peer{host: Host{ID: id}, lastSeenAt: never, receivedAt: never, directAt: never, platformAt: never, firstSeenAt: never, probedAt: never}
		v.peers[id] = p
		v.insertInRotation(id)
	}
	return p
}

// insertInRotation inserts a new host at a random place among those still to
// come in this round.
func (v *View) insertInRotation(id string) {
	at := v.nextPeer + v.Rand.IntN(len(v.rotation)-v.nextPeer+1)
	v.rotation = slices.Insert(v.rotation, at, id)
}

// peerReachable reports whether p was seen within the heartbeat timeout and is
// not proven dead.
func (v *View) peerReachable(p *peer, now clock.Millis) bool {
	return p.host.Incarnation != 0 && now-p.lastSeenAt <= v.HeartbeatTimeout && !v.dead[p.ref()]
}

// HandleHostList handles a successful read of the platform's host list.
func (v *View) HandleHostList(now clock.Millis, hosts []ListedHost) []Action {
	v.beginEvent(now)
	for _, p := range v.peers {
		p.listed = false
		p.listedLeaving = false
	}
	v.listedLeaving = false
	var actions []Action
	for _, h := range hosts {
		if h.ID == v.Self.ID {
			v.listedLeaving = h.Leaving
			continue
		}
		_, known := v.peers[h.ID]
		p := v.peer(h.ID)
		p.listed = true
		p.listedLeaving = h.Leaving
		p.mentionedAt = now
		if !v.peerReachable(p, now) || p.host.PeerAddress == "" {
			p.host.AvailabilityZone = h.AvailabilityZone
			p.host.PeerAddress = h.PeerAddress
			p.host.CallerAddress = h.CallerAddress
			p.host.OperatorAddress = h.OperatorAddress
		}
		if !known {
			actions = append(actions, Action{Kind: Dial, Host: p.host})
		}
	}
	v.updateUnlisted(now)
	return v.endEvent(now, actions)
}

// updateUnlisted marks a host as dead when it has been neither listed nor seen
// for DeadAfter: its machine is gone and can no longer refuse a connection to
// prove it.
func (v *View) updateUnlisted(now clock.Millis) {
	before := v.unlisted
	v.unlisted = map[HostRef]clock.Millis{}
	for _, ref := range v.incarnations {
		p := v.peers[ref.ID]
		if ref == v.selfRef() || v.dead[ref] || p != nil && p.listed {
			continue
		}
		since, ok := before[ref]
		if !ok {
			since = now
		}
		v.unlisted[ref] = since
		if now-since > v.DeadAfter && now-v.lastSeen(ref) > v.DeadAfter {
			v.markDead(ref)
		}
	}
}

// evictPeers drops hosts that are neither listed nor members and have not been
// mentioned for evictAfter.
func (v *View) evictPeers(now clock.Millis) {
	for id, p := range v.peers {
		if p.listed || now-p.mentionedAt < evictAfter || v.isMember(p.ref()) {
			continue
		}
		delete(v.peers, id)
		at := slices.Index(v.rotation, id)
		v.rotation = slices.Delete(v.rotation, at, at+1)
		if at < v.nextPeer {
			v.nextPeer--
		}
	}
}

// HandleDeath handles proof that an incarnation has ended.
func (v *View) HandleDeath(now clock.Millis, death Death) []Action {
	v.beginEvent(now)
	v.markDead(HostRef(death))
	return v.endEvent(now, nil)
}

func (v *View) markDead(ref HostRef) {
	if ref.Incarnation == 0 || v.dead[ref] {
		return
	}
	v.dead[ref] = true
	v.deaths = append(v.deaths, ref)
	v.holdersDirty = true
	if len(v.deaths) > maxDeaths {
		delete(v.dead, v.deaths[0])
		v.deaths = slices.Delete(v.deaths, 0, 1)
	}
}

// recordReport records the newest epoch that an incarnation has reported; it
// never decreases.
func (v *View) recordReport(ref HostRef, epoch uint64) {
	if epoch > v.reported[ref] {
		v.reported[ref] = epoch
	}
}
