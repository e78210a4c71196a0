package membership

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// HandlePlatformAssignment handles a successful read of the platform that began
// at startedAt.
func (v *View) HandlePlatformAssignment(now, startedAt clock.Millis, a Assignment) []Action {
	v.beginEvent(now)
	v.adopt(now, a)
	if a.Epoch >= v.current.Epoch {
		v.platformAt = max(v.platformAt, startedAt)
		v.platformSeen = true
	}
	return v.endEvent(now, nil)
}

// HandlePeerAssignment handles an assignment received from a peer.
func (v *View) HandlePeerAssignment(now clock.Millis, a Assignment) []Action {
	v.beginEvent(now)
	v.adopt(now, a)
	return v.endEvent(now, nil)
}

// adopt replaces the current assignment by a newer one; an older one is
// ignored. An upstream stays acquired if no other host can have held it in
// between.
func (v *View) adopt(now clock.Millis, a Assignment) {
	if a.Epoch <= v.current.Epoch {
		return
	}
	old := v.current
	v.current = a
	v.incarnations = a.refs()
	for _, ref := range v.incarnations {
		if ref.ID == v.Self.ID && ref.Incarnation != v.Self.Incarnation {
			v.markDead(ref)
		}
	}
	for _, m := range a.Members {
		if m.ID != v.Self.ID {
			v.recordAddresses(m)
		}
	}
	next := a.Epoch == old.Epoch+1
	kept := map[string]bool{}
	for key := range v.acquired {
		if v.holder(key) == v.selfRef() && (next || v.movedAt(key) <= old.Epoch) {
			kept[key] = true
		}
	}
	v.acquired = kept
	v.acquireAfter = now + v.HeartbeatInterval
	v.adoptedAt = now
	v.holdersDirty = true
	v.proposalSince = 0
	v.pruneReports()
}

// refs returns every incarnation that may hold a right, sorted and without
// duplicates.
func (a Assignment) refs() []HostRef {
	var refs []HostRef
	for _, m := range a.Members {
		refs = append(refs, refOf(m))
	}
	refs = append(refs, a.Previous...)
	refs = append(refs, a.Earlier...)
	slices.SortFunc(refs, compareRefs)
	return slices.Compact(refs)
}

func compareRefs(a, b HostRef) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
}

// pruneReports drops the reported epochs of incarnations that are neither named
// by the assignment nor known as peers.
func (v *View) pruneReports() {
	wanted := map[HostRef]bool{}
	for _, ref := range v.incarnations {
		wanted[ref] = true
	}
	for _, p := range v.peers {
		wanted[p.ref()] = true
	}
	for ref := range v.reported {
		if !wanted[ref] {
			delete(v.reported, ref)
		}
	}
}

func (v *View) isMember(ref HostRef) bool {
	for _, m := range v.current.Members {
		if m.ID == ref.ID {
			return m.Incarnation == ref.Incarnation
		}
	}
	return false
}

// holder returns the only host that may hold an upstream in the current epoch:
// its owner or, when that is proven dead, the first member in the order of
// succession that is not. It returns the zero HostRef if there is none.
func (v *View) holder(key string) HostRef {
	return v.firstInSuccession(key, func(ref HostRef) bool { return !v.dead[ref] })
}

// firstInSuccession returns the first eligible member in the order of
// succession of an upstream: the owner, then the members of the owner's
// availability zone, then all others, each group in rendezvous order. The order
// depends on the assignment alone, so that all hosts of an epoch agree on it.
func (v *View) firstInSuccession(key string, eligible func(HostRef) bool) HostRef {
	owner, ok := v.current.Owners[key]
	if !ok {
		return HostRef{}
	}
	zone := ""
	for _, m := range v.current.Members {
		if m.ID != owner {
			continue
		}
		if ref := refOf(m); eligible(ref) {
			return ref
		}
		zone = m.AvailabilityZone
	}
	var best HostRef
	var bestNear bool
	var bestWeight uint64
	for _, m := range v.current.Members {
		ref := refOf(m)
		if m.ID == owner || !eligible(ref) {
			continue
		}
		near, weight := m.AvailabilityZone == zone, RendezvousWeight(key, m.ID)
		if best == (HostRef{}) || near && !bestNear || near == bestNear && weight > bestWeight {
			best, bestNear, bestWeight = ref, near, weight
		}
	}
	return best
}

func refOf(h Host) HostRef { return HostRef{ID: h.ID, Incarnation: h.Incarnation} }

// RendezvousWeight returns the weight of a host for a key in rendezvous
// hashing; the highest weight comes first.
func RendezvousWeight(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// updateRights recomputes what this host may use.
func (v *View) updateRights(now clock.Millis) {
	v.recordSettled(now)
	v.freshUntil = v.freshness(now)
	if v.holdersDirty {
		v.holdersDirty = false
		v.updateHolders()
		v.orphans = orphanCache{}
	}
	v.orphanKeys = v.findOrphanKeys(now)
	if now < v.acquireAfter || now >= v.freshUntil {
		return
	}
	for _, key := range v.ownKeys {
		if !v.acquired[key] && v.safeToAcquire(now, key) {
			v.acquired[key] = true
		}
	}
}

func (v *View) updateHolders() {
	self := v.selfRef()
	v.ownKeys = v.ownKeys[:0]
	v.holders = map[string]HostRef{}
	for key := range v.current.Owners {
		holder := v.holder(key)
		v.holders[key] = holder
		if holder == self {
			v.ownKeys = append(v.ownKeys, key)
		}
	}
	slices.Sort(v.ownKeys)
}

// freshness returns the time until which it is certain that no newer epoch has
// settled. The proof is this host's own read of the platform, or heartbeats
// from a majority of the members.
func (v *View) freshness(now clock.Millis) clock.Millis {
	until := never
	if now < v.suspendedUntil {
		return until
	}
	if v.platformSeen {
		until = v.platformAt + v.PlatformReadTTL
	}
	if !v.isMember(v.selfRef()) {
		return until
	}
	need := len(v.current.Members)/2 + 1
	seenAt := []clock.Millis{now}
	for _, m := range v.current.Members {
		p := v.peers[m.ID]
		if p == nil || p.host.Incarnation != m.Incarnation || v.dead[p.ref()] || p.epoch > v.current.Epoch {
			continue
		}
		seenAt = append(seenAt, p.lastSeenAt)
	}
	if len(seenAt) < need {
		return until
	}
	slices.Sort(seenAt)
	return max(until, seenAt[len(seenAt)-need]+v.HeartbeatTimeout)
}

// isSettled reports whether at least half of the members of the preceding epoch
// have acknowledged the current one or are proven dead. From then on no host
// can gather a majority for an older epoch.
func (v *View) isSettled() bool {
	acknowledged := 0
	for _, ref := range v.current.Previous {
		if v.acknowledged(ref, v.current.Epoch) {
			acknowledged++
		}
	}
	return 2*acknowledged >= len(v.current.Previous)
}

// acknowledged reports whether a host is known to have given up whatever it
// held before epoch.
func (v *View) acknowledged(ref HostRef, epoch uint64) bool {
	return ref == v.selfRef() || v.dead[ref] || v.reported[ref] >= epoch
}

// maxSettled is the number of settled epochs that are remembered.
const maxSettled = 16

func (v *View) recordSettled(now clock.Millis) {
	epoch := v.current.Epoch
	if n := len(v.settled); n > 0 && v.settled[n-1].epoch == epoch {
		return
	}
	if epoch == 0 || !v.isSettled() {
		return
	}
	v.settled = append(v.settled, settledEpoch{epoch: epoch, at: now})
	if len(v.settled) > maxSettled {
		v.settled = slices.Delete(v.settled, 0, 1)
	}
}

// fenced reports whether every host that does not know epoch has lost its
// rights by the passing of time alone.
func (v *View) fenced(now clock.Millis, epoch uint64) bool {
	for _, s := range v.settled {
		if s.epoch >= epoch && now-s.at >= v.SettleDelay {
			return true
		}
	}
	return false
}

// movedAt returns the newest epoch in which the holder of a key may have
// changed, as long as some host may not have learnt of the change, and 0 once
// all have. A successor holds a key by the order of the members, so a change of
// members counts for it.
func (v *View) movedAt(key string) uint64 {
	moved := v.current.Moved[key]
	if v.holder(key).ID != v.current.Owners[key] {
		moved = max(moved, v.current.MembersChanged)
	}
	return moved
}

// safeToAcquire reports whether no other host can still hold an upstream by an
// older epoch.
func (v *View) safeToAcquire(now clock.Millis, key string) bool {
	return v.acknowledgedByAll(now, v.movedAt(key))
}

// acknowledgedByAll reports whether every host that may hold a right knows
// epoch or is fenced.
func (v *View) acknowledgedByAll(now clock.Millis, epoch uint64) bool {
	if epoch == 0 || v.fenced(now, epoch) {
		return true
	}
	for _, ref := range v.incarnations {
		if !v.acknowledged(ref, epoch) {
			return false
		}
	}
	return true
}
