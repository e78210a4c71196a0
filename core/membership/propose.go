package membership

import (
	"maps"
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// Durations that govern proposals.
const (
	startWait          = 2 * clock.Second        // minimum time from the start of a host until it may write the first assignment
	joinWait           = 1 * clock.Second        // minimum time from first seeing a host until it is added
	rankWait           = 500 * clock.Millisecond // further delay of the proposal for each host that ranks before this one
	maxRankWait        = 4 * clock.Second
	proposeJitter      = 200 * clock.Millisecond
	minWriteInterval   = 500 * clock.Millisecond // minimum time between two writes of one host
	maxPlatformReadAge = 2 * clock.Second        // a host proposes only if its last read of the platform is no older
)

// propose writes an assignment that fits better than the current one, when one
// is due and it is this host's turn.
func (v *View) propose(now clock.Millis) []Action {
	if v.writing || now < v.nextWrite || !v.mayPropose(now) {
		return nil
	}
	next, changed := v.desired(now)
	if !changed {
		v.proposalSince = 0
		return nil
	}
	if v.proposalSince == 0 {
		v.proposalSince = now
		v.proposalDelay = min(maxRankWait, clock.Millis(v.proposerRank(now))*rankWait) + clock.Millis(v.Rand.Int64N(int64(proposeJitter)))
	}
	if now-v.proposalSince < v.proposalDelay {
		return nil
	}
	v.proposalSince = 0
	v.writing = true
	v.proposed = next
	return []Action{{Kind: WriteAssignment, Assignment: next}}
}

// HandleWriteResult ends a WriteAssignment. If the outcome is not known, the
// next read of the platform shows it.
func (v *View) HandleWriteResult(now clock.Millis, committed, known bool) []Action {
	v.beginEvent(now)
	if v.writing && committed && known {
		a := v.proposed
		a.Epoch++
		v.adopt(now, a)
	}
	v.writing = false
	v.nextWrite = now + minWriteInterval + clock.Millis(v.Rand.Int64N(int64(minWriteInterval)))
	return v.endEvent(now, nil)
}

// mayPropose reports whether this host may write an assignment. It must have
// read the platform within maxPlatformReadAge, its table must be no older than
// the one behind the current row, the current epoch must have settled, and this
// host must have a quorum. The first assignment may be written by any host that
// started at least startWait ago and is not leaving.
func (v *View) mayPropose(now clock.Millis) bool {
	if v.table == nil || v.table.Version < v.current.TableVersion || !v.platformSeen || now-v.platformAt > maxPlatformReadAge || v.dead[v.selfRef()] {
		return false
	}
	if v.current.Epoch == 0 {
		return now-v.started >= startWait && !v.isLeaving()
	}
	return v.isSettled() && v.quorum(now)
}

// quorum reports whether this host may act for the members. It must be a
// member, and of the members not proven dead more than half must be reachable,
// or exactly half including the one with the lowest id. If all members are
// proven dead, any host may act.
func (v *View) quorum(now clock.Millis) bool {
	alive, reachable := 0, 0
	lowest := false
	for _, m := range v.current.Members {
		ref := refOf(m)
		if v.dead[ref] {
			continue
		}
		alive++
		if v.reachable(now, ref) {
			reachable++
			lowest = lowest || alive == 1
		}
	}
	if alive == 0 {
		return true
	}
	return v.isMember(v.selfRef()) && (2*reachable > alive || 2*reachable == alive && lowest)
}

// proposerRank returns the number of reachable hosts that propose before this
// one.
func (v *View) proposerRank(now clock.Millis) int {
	rank := 0
	for id, p := range v.peers {
		if id < v.Self.ID && v.peerReachable(p, now) {
			rank++
		}
	}
	return rank
}

// planInputs records what the last plan was made from, and whether it matched
// the current assignment.
type planInputs struct {
	members      []Host
	tableVersion uint64
	epoch        uint64
	lastDeath    HostRef // the last one discovered
	fits         bool
}

func (p planInputs) equal(other planInputs) bool {
	return p.tableVersion == other.tableVersion && p.epoch == other.epoch && p.lastDeath == other.lastDeath && sameHosts(p.members, other.members)
}

// desired returns the assignment that fits the hosts and the table known to this
// host, and whether it differs from the current one.
func (v *View) desired(now clock.Millis) (Assignment, bool) {
	from := planInputs{members: v.desiredMembers(now), tableVersion: v.table.Version, epoch: v.current.Epoch}
	if n := len(v.deaths); n > 0 {
		from.lastDeath = v.deaths[n-1]
	}
	if len(from.members) == 0 || v.planned.fits && v.planned.equal(from) {
		return Assignment{}, false
	}
	next := Assignment{
		Epoch:        from.epoch,
		TableVersion: from.tableVersion,
		Members:      from.members,
		Owners:       plan(v.table, from.members, v.holders),
	}
	from.fits = sameHosts(next.Members, v.current.Members) && maps.Equal(next.Owners, v.current.Owners)
	v.planned = from
	if from.fits {
		return next, false
	}
	v.addHistory(now, &next)
	return next, true
}

func sameHosts(a, b []Host) bool {
	return slices.EqualFunc(a, b, func(a, b Host) bool { return refOf(a) == refOf(b) })
}

// desiredMembers returns the hosts that should be members, sorted by id.
// Leaving hosts are included only if there are no others.
func (v *View) desiredMembers(now clock.Millis) []Host {
	var members, leaving []Host
	add := func(h Host, isLeaving bool) {
		if isLeaving {
			leaving = append(leaving, h)
		} else {
			members = append(members, h)
		}
	}
	add(v.Self, v.isLeaving())
	for _, p := range v.peers {
		if v.dead[p.ref()] || p.host.Incarnation == 0 {
			continue
		}
		isLeaving := p.leaving || p.listedLeaving
		switch {
		case v.isMember(p.ref()) && now-v.lastSeen(p.ref()) <= v.RemoveAfter:
			add(p.host, isLeaving)
		case v.peerReachable(p, now) && now-p.firstSeenAt >= joinWait && p.host.PeerAddress != "":
			add(p.host, isLeaving)
		}
	}
	members = append(members, v.unseenMembers(now)...)
	if len(members) == 0 {
		members = leaving
	}
	slices.SortFunc(members, func(a, b Host) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// unseenMembers returns the members that this host has never seen. It returns
// them for up to RemoveAfter after this host started or resumed after a pause.
func (v *View) unseenMembers(now clock.Millis) []Host {
	var unseen []Host
	for _, m := range v.current.Members {
		p := v.peers[m.ID]
		seen := m.ID == v.Self.ID || p != nil && p.host.Incarnation != 0
		if !seen && !v.dead[refOf(m)] && now-v.resumedAt <= v.RemoveAfter {
			unseen = append(unseen, m)
		}
	}
	return unseen
}

// addHistory records in next what hosts that do not know the current epoch may
// still hold.
func (v *View) addHistory(now clock.Millis, next *Assignment) {
	if v.current.Epoch == 0 {
		return
	}
	epoch := v.current.Epoch
	for _, m := range v.current.Members {
		next.Previous = append(next.Previous, refOf(m))
	}
	for _, ref := range v.incarnations {
		if !v.isMember(ref) && !v.acknowledged(ref, epoch) && !v.fenced(now, epoch) {
			next.Earlier = append(next.Earlier, ref)
		}
	}
	next.Moved = map[string]uint64{}
	for key, owner := range next.Owners {
		if ownerIn(v.current.Members, v.current.Owners[key]) != ownerIn(next.Members, owner) {
			next.Moved[key] = epoch + 1
		} else if moved := v.current.Moved[key]; !v.acknowledgedByAll(now, moved) {
			next.Moved[key] = moved
		}
	}
	if !sameHosts(next.Members, v.current.Members) {
		next.MembersChanged = epoch + 1
	} else if !v.acknowledgedByAll(now, v.current.MembersChanged) {
		next.MembersChanged = v.current.MembersChanged
	}
}

// ownerIn returns the incarnation of the member with an id, or the zero
// HostRef.
func ownerIn(members []Host, id string) HostRef {
	for _, m := range members {
		if m.ID == id {
			return refOf(m)
		}
	}
	return HostRef{}
}
