package membership

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
)

// Limits of the contents of heartbeats and of the requests that they cause.
const (
	maxDeathsSent   = 4 // in one heartbeat
	reprobeInterval = 750 * clock.Millisecond
	maxGossipRelays = 2 // replies that carry the newest state of a host before older state of others takes precedence
	fetchInterval   = 300 * clock.Millisecond
)

// HandleHeartbeat handles a heartbeat from a peer. A reply to one of our
// heartbeats bounds the age of its contents. From any other heartbeat only
// facts that cannot become outdated are used, such as reported epochs and
// deaths.
func (v *View) HandleHeartbeat(now clock.Millis, beat Heartbeat) []Action {
	v.beginEvent(now)
	if beat.From.ID == v.Self.ID || beat.From.ID == "" {
		return v.endEvent(now, nil)
	}
	var actions []Action
	v.recordReport(HostRef{ID: beat.From.ID, Incarnation: beat.From.Incarnation}, beat.Epoch)
	for _, d := range beat.Dead {
		v.markDead(HostRef(d))
	}
	v.peer(beat.From.ID).mentionedAt = now
	if asOf, ok := v.answered(now, beat); ok {
		v.applyUpdate(now, asOf, directUpdate(beat))
		v.applyGossip(now, asOf, beat.Gossip)
	} else if !v.isReply(beat) {
		v.recordAddresses(beat.From)
		actions = append(actions, Action{Kind: SendHeartbeat, Host: beat.From, Heartbeat: v.reply(now, beat)})
	}
	actions = append(actions, v.fetchUpdates(now, beat)...)
	return v.endEvent(now, actions)
}

// echo returns the entry of the heartbeat for this host, which quotes the
// sequence that the sender replies to; nil if there is none.
func (v *View) echo(beat Heartbeat) *GossipEntry {
	for i := range beat.Gossip {
		if beat.Gossip[i].Host.ID == v.Self.ID {
			return &beat.Gossip[i]
		}
	}
	return nil
}

func (v *View) isReply(beat Heartbeat) bool { return v.echo(beat) != nil }

// answered returns the time, on our clock, at which the heartbeat that beat
// replies to was sent; everything in beat dates from after that time. It returns
// false if beat is not a reply to a recent heartbeat of this incarnation.
func (v *View) answered(now clock.Millis, beat Heartbeat) (clock.Millis, bool) {
	echo := v.echo(beat)
	if echo == nil || echo.Host.Incarnation != v.Self.Incarnation {
		return 0, false
	}
	if echo.Sequence > v.sequence || v.sequence-echo.Sequence >= uint64(len(v.sentAt)) {
		return 0, false
	}
	return min(now, v.sentAt[echo.Sequence%uint64(len(v.sentAt))]), true
}

// peerUpdate is state of a host, sent by the host itself (direct) or passed on
// by another.
type peerUpdate struct {
	entry      GossipEntry
	direct     bool
	platformAt clock.Millis
}

func directUpdate(beat Heartbeat) peerUpdate {
	u := peerUpdate{direct: true, platformAt: never}
	u.entry = GossipEntry{
		Host: beat.From, Sequence: beat.Sequence, Epoch: beat.Epoch, TableVersion: beat.TableVersion,
		KeyWindow: beat.KeyWindow, Leaving: beat.Leaving,
	}
	if beat.PlatformAge >= 0 {
		u.platformAt = -beat.PlatformAge
	}
	return u
}

// applyUpdate applies a state that its host sent at asOf or later.
func (v *View) applyUpdate(now, asOf clock.Millis, u peerUpdate) {
	entry := u.entry
	ref := HostRef{ID: entry.Host.ID, Incarnation: entry.Host.Incarnation}
	if ref.Incarnation == 0 || v.dead[ref] || now-asOf > v.HeartbeatTimeout {
		return
	}
	p := v.peer(ref.ID)
	v.markPredecessorsDead(asOf, ref)
	if p.host.Incarnation != ref.Incarnation && !v.replaceIncarnation(now, asOf, p, ref) {
		return
	}
	p.mentionedAt = now
	if u.direct {
		p.host = filled(entry.Host, p.host)
		p.directAt = max(p.directAt, asOf)
		if u.platformAt != never {
			p.platformAt = max(p.platformAt, asOf+u.platformAt)
		}
	}
	if asOf > p.lastSeenAt {
		p.lastSeenAt = asOf
		p.receivedAt = now
		p.relayed = 0
	}
	if entry.Sequence >= p.sequence {
		p.sequence = entry.Sequence
		p.keyWindow = entry.KeyWindow
		p.leaving = entry.Leaving
	}
	p.epoch = max(p.epoch, entry.Epoch)
	p.tableVersion = max(p.tableVersion, entry.TableVersion)
	v.recordReport(ref, entry.Epoch)
}

// replaceIncarnation makes ref the incarnation of p and marks the former
// incarnation as dead. It returns false and changes nothing unless ref was
// certainly alive after the former one.
func (v *View) replaceIncarnation(now, asOf clock.Millis, p *peer, ref HostRef) bool {
	if p.host.Incarnation != 0 {
		if asOf <= p.receivedAt && !v.dead[p.ref()] {
			return false
		}
		v.markDead(p.ref())
	}
	listed, leaving, host := p.listed, p.listedLeaving, p.host
	host.Incarnation = ref.Incarnation
	*p = peer{
		host: host, listed: listed, listedLeaving: leaving, lastSeenAt: never, receivedAt: never,
		directAt: never, platformAt: never, firstSeenAt: now, mentionedAt: now, probedAt: now,
	}
	return true
}

// markPredecessorsDead marks all other incarnations of a host that the
// assignment names as dead, if ref was certainly alive after this host adopted
// the assignment.
func (v *View) markPredecessorsDead(asOf clock.Millis, ref HostRef) {
	if asOf < v.adoptedAt {
		return
	}
	for _, other := range v.incarnations {
		if other.ID == ref.ID && other.Incarnation != ref.Incarnation {
			v.markDead(other)
		}
	}
}

// recordAddresses records the addresses of a host that has introduced itself,
// without taking over its incarnation.
func (v *View) recordAddresses(h Host) {
	p := v.peer(h.ID)
	if p.host.Incarnation == 0 || p.host.Incarnation == h.Incarnation {
		incarnation := p.host.Incarnation
		p.host = filled(h, p.host)
		p.host.Incarnation = incarnation
	}
}

// filled returns h with its empty fields taken from old.
func filled(h, old Host) Host {
	h.AvailabilityZone = cmp.Or(h.AvailabilityZone, old.AvailabilityZone)
	h.PeerAddress = cmp.Or(h.PeerAddress, old.PeerAddress)
	h.CallerAddress = cmp.Or(h.CallerAddress, old.CallerAddress)
	h.OperatorAddress = cmp.Or(h.OperatorAddress, old.OperatorAddress)
	return h
}

func (v *View) applyGossip(now, asOf clock.Millis, all []GossipEntry) {
	for _, entry := range all {
		if entry.Host.ID != v.Self.ID {
			v.applyUpdate(now, asOf-max(entry.Age, 0), peerUpdate{entry: entry, platformAt: never})
		}
	}
}

// fetchUpdates requests the newer table or assignment from the sender of a
// heartbeat, at most once per fetchInterval.
func (v *View) fetchUpdates(now clock.Millis, beat Heartbeat) []Action {
	newer := beat.Epoch > v.current.Epoch || beat.TableVersion > v.tableVersion()
	if !newer || now-v.fetchedAt < fetchInterval {
		return nil
	}
	v.fetchedAt = now
	return []Action{{Kind: FetchUpdates, Host: beat.From, TableVersion: beat.TableVersion, Epoch: beat.Epoch}}
}

func (v *View) tableVersion() uint64 {
	if v.table == nil {
		return 0
	}
	return v.table.Version
}

// sendHeartbeats sends the heartbeats of one interval: one to the next host of
// the rotation, one to the host seen least recently of those that are not yet
// due for removal, and the others to the hosts seen least recently of those
// that are reachable.
func (v *View) sendHeartbeats(now clock.Millis) []Action {
	v.sequence++
	v.sentAt[v.sequence%uint64(len(v.sentAt))] = now
	if len(v.rotation) == 0 {
		return nil
	}
	targets := []*peer{v.nextInRotation()}
	targets[0].probedAt = now
	for i := range v.Fanout - 1 {
		maxAge := v.HeartbeatTimeout
		if i == 0 {
			maxAge = v.RemoveAfter
		}
		if p := v.leastRecentlySeen(now, maxAge); p != nil {
			p.probedAt = now
			targets = append(targets, p)
		}
	}
	var actions []Action
	for _, p := range targets {
		if p.host.PeerAddress == "" {
			continue
		}
		if now-p.directAt > v.HeartbeatTimeout {
			actions = append(actions, Action{Kind: Dial, Host: p.host})
		}
		actions = append(actions, Action{Kind: SendHeartbeat, Host: p.host, Heartbeat: v.newHeartbeat(now)})
	}
	return actions
}

// nextInRotation returns the next host of the rotation, which is shuffled after
// each round.
func (v *View) nextInRotation() *peer {
	if v.nextPeer >= len(v.rotation) {
		v.nextPeer = 0
		v.Rand.Shuffle(len(v.rotation), func(i, j int) { v.rotation[i], v.rotation[j] = v.rotation[j], v.rotation[i] })
	}
	p := v.peers[v.rotation[v.nextPeer]]
	v.nextPeer++
	return p
}

// leastRecentlySeen returns the host seen least recently of those seen within
// maxAge; nil if there is none. Hosts that were sent a heartbeat within
// reprobeInterval are left out.
func (v *View) leastRecentlySeen(now, maxAge clock.Millis) *peer {
	var found *peer
	for _, p := range v.peers {
		if v.dead[p.ref()] || p.host.Incarnation == 0 || now-p.lastSeenAt > maxAge || now-p.probedAt < reprobeInterval {
			continue
		}
		if found == nil || p.lastSeenAt < found.lastSeenAt || p.lastSeenAt == found.lastSeenAt && p.host.ID < found.host.ID {
			found = p
		}
	}
	return found
}

// newHeartbeat returns a heartbeat without gossip.
func (v *View) newHeartbeat(now clock.Millis) Heartbeat {
	beat := Heartbeat{
		From: v.Self, Sequence: v.sequence, Epoch: v.reportedEpoch(now), TableVersion: v.tableVersion(),
		KeyWindow: v.keyWindow, Leaving: v.isLeaving(), PlatformAge: -1, Dead: v.selectDeaths(),
	}
	if v.platformSeen {
		beat.PlatformAge = now - v.platformAt
	}
	return beat
}

// reply returns the answer to a heartbeat: our own state, gossip, and the
// sequence that it answers.
func (v *View) reply(now clock.Millis, to Heartbeat) Heartbeat {
	beat := v.newHeartbeat(now)
	echo := GossipEntry{Host: Host{ID: to.From.ID, Incarnation: to.From.Incarnation}, Sequence: to.Sequence}
	beat.Gossip = append([]GossipEntry{echo}, v.selectGossip(now, to.From.ID)...)
	return beat
}

// selectGossip returns the state of up to MaxGossip reachable hosts. State
// passed on fewer than maxGossipRelays times comes first, and then the most
// recent.
func (v *View) selectGossip(now clock.Millis, except string) []GossipEntry {
	ids := v.reachableIDs(now)
	slices.SortStableFunc(ids, func(a, b string) int {
		p, q := v.peers[a], v.peers[b]
		return cmp.Or(cmp.Compare(p.relayed/maxGossipRelays, q.relayed/maxGossipRelays), cmp.Compare(q.lastSeenAt, p.lastSeenAt))
	})
	var some []GossipEntry
	for _, id := range ids {
		if len(some) == v.MaxGossip {
			break
		}
		if id != except {
			p := v.peers[id]
			p.relayed++
			some = append(some, v.gossipEntry(now, p))
		}
	}
	return some
}

func (v *View) gossipEntry(now clock.Millis, p *peer) GossipEntry {
	return GossipEntry{
		Host: Host{ID: p.host.ID, Incarnation: p.host.Incarnation}, Sequence: p.sequence, Epoch: p.epoch,
		TableVersion: p.tableVersion, KeyWindow: p.keyWindow, Leaving: p.leaving, Age: now - p.lastSeenAt,
	}
}

// reachableIDs returns the sorted ids of the reachable hosts, without this one.
func (v *View) reachableIDs(now clock.Millis) []string {
	var ids []string
	for id, p := range v.peers {
		if v.peerReachable(p, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// selectDeaths returns up to maxDeathsSent incarnations named by the assignment
// that are dead, in rotation.
func (v *View) selectDeaths() []Death {
	var relevant []Death
	for _, ref := range v.incarnations {
		if v.dead[ref] {
			relevant = append(relevant, Death(ref))
		}
	}
	if len(relevant) <= maxDeathsSent {
		return relevant
	}
	var some []Death
	for range maxDeathsSent {
		v.deathCursor = (v.deathCursor + 1) % len(relevant)
		some = append(some, relevant[v.deathCursor])
	}
	return some
}
