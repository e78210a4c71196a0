package membership

import (
	"slices"

	"siskinpath/core/clock"
)

// Bounds on what is remembered.
const (
	maxDeaths   = 1024
	forgetAfter = 10 * clock.Minute
)

// never is the point in time of what has not happened.
const never = clock.Millis(-1 << 50)

// peer is another host as this host knows it.
type peer struct {
	host          Host
	listed        bool
	listedLeaving bool

	// heardAt is a point in time of our own clock at or before which the
	// newest news was stated for certain. receivedAt is when it arrived.
	heardAt      clock.Millis
	receivedAt   clock.Millis
	directAt     clock.Millis
	askedAt      clock.Millis // our latest heartbeat to it
	relayed      int          // replies that carried the newest news
	sequence     uint64
	epoch        uint64
	tableVersion uint64
	keyWindow    uint32
	leaving      bool
	platformAt   clock.Millis
	seenAt       clock.Millis // listed, or news of any kind
	firstHeardAt clock.Millis // when this incarnation was first heard
}

func (p *peer) ref() HostRef { return refOf(p.host) }

func (v *View) selfRef() HostRef { return refOf(v.Self) }

func (v *View) peer(id string) *peer {
	p := v.peers[id]
	if p == nil {
		p = &peer{host: Host{ID: id}, heardAt: never, receivedAt: never, directAt: never, platformAt: never, firstHeardAt: never, askedAt: never}
		v.peers[id] = p
		v.insertInRotation(id)
	}
	return p
}

// insertInRotation puts a new host at a random place among those still to come.
func (v *View) insertInRotation(id string) {
	at := v.nextPeer + v.Rand.IntN(len(v.rotation)-v.nextPeer+1)
	v.rotation = slices.Insert(v.rotation, at, id)
}

// heard says whether news of p is recent enough.
func (v *View) heard(p *peer, now clock.Millis) bool {
	return p.host.Incarnation != 0 && now-p.heardAt <= v.HeartbeatTimeout && !v.dead[p.ref()]
}

// HandleHostList takes a good answer of the platform's list.
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
		p.seenAt = now
		if !v.heard(p, now) || p.host.PeerAddress == "" {
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

// updateUnlisted takes a host that the list has lacked and nobody has heard for
// GoneAfter as dead: its machine is gone and can't refuse a connection any more.
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
		if now-since > v.DeadAfter && now-v.lastHeard(ref) > v.DeadAfter {
			v.markDead(ref)
		}
	}
}

// evictPeers drops hosts that nothing speaks of any more.
func (v *View) evictPeers(now clock.Millis) {
	for id, p := range v.peers {
		if p.listed || now-p.seenAt < forgetAfter || v.isMember(p.ref()) {
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

// HandleDeath takes proof that an incarnation has ended.
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

// recordReport remembers the newest epoch an incarnation has reported. It only rises.
func (v *View) recordReport(ref HostRef, epoch uint64) {
	if epoch > v.reported[ref] {
		v.reported[ref] = epoch
	}
}
