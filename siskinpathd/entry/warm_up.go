package entry

import (
	"cmp"
	"slices"

	"siskinpath/core/discovery"
	"siskinpath/core/fleetlimit"
	"siskinpath/core/place"
)

const (
	// coldShareUse is the part of the limit on a cold upstream that its holders use
	// together. The rest is room for a fifth holder where lists of hosts differ, and for
	// requests that are sent before all hosts know that the upstream is cold.
	coldShareUse = 0.8
	// maxColdHolders is the number of hosts that send to a cold upstream.
	maxColdHolders = 4
	// maxHoldersKnown is the number of upstreams from which the computed holders are
	// forgotten, as upstreams of new ids replace others.
	maxHoldersKnown = 10_000
)

// coldShares computes this host's shares of the limits on cold upstreams.
type coldShares struct {
	self    string // this host's id
	members []fleetlimit.Member
	mayHold bool
	holds   map[coldKey]bool // whether this host is a holder
}

type coldKey struct {
	upstream, zone string
	holders        int
}

// setMembers sets the registered hosts and whether this one may hold shares. It reports
// whether that changed.
func (s *coldShares) setMembers(members []fleetlimit.Member, mayHold bool) (changed bool) {
	members = slices.Clone(members)
	slices.SortFunc(members, func(a, b fleetlimit.Member) int { return cmp.Compare(a.ID, b.ID) })
	if s.holds != nil && mayHold == s.mayHold && slices.Equal(members, s.members) {
		return false
	}
	s.members, s.mayHold = members, mayHold
	s.holds = map[coldKey]bool{}
	return true
}

// inUse reports whether shares have been computed since the list of hosts last changed.
func (s *coldShares) inUse() bool { return len(s.holds) > 0 }

// shareOf returns this host's share of the limit on an upstream while it is cold, 0 for
// none. perSecond is the rate that its service names.
//
// The key is the id without the start: hosts whose rows lag know the start before, and
// holders of both starts would send to the same process.
func (s *coldShares) shareOf(u discovery.Upstream, perSecond float64, w WarmUp) (share fleetlimit.Limit) {
	if !s.mayHold {
		return share
	}
	limit := fleetlimit.Limit{PerSecond: coldShareUse * perSecond * cmp.Or(w.Overage, 1), Burst: coldShareUse * w.Slack}
	key := coldKey{upstream: u.ID, zone: u.AvailabilityZone, holders: limit.HolderCount(maxColdHolders)}
	holds, known := s.holds[key]
	if !known {
		if len(s.holds) >= maxHoldersKnown {
			clear(s.holds)
		}
		holds = fleetlimit.IndexOf(fleetlimit.Nearby(key.upstream, key.zone, s.members, key.holders), s.self) >= 0
		s.holds[key] = holds
	}
	if holds {
		share = limit.Part(key.holders)
	}
	return share
}

// placeUpstream returns an upstream as a placer uses it.
func (n *Node) placeUpstream(k discovery.ActiveUpstream, warmUpPerSecond float64) place.Upstream {
	u := place.Upstream{
		ID: k.ID, Started: k.Started, AvailabilityZone: k.AvailabilityZone, Slots: k.Slots, ColdUntil: k.ColdUntil, Leaving: k.Leaving,
	}
	if warmUpPerSecond > 0 {
		share := n.coldShares.shareOf(k.Upstream, warmUpPerSecond, n.cfg().WarmUp)
		u.ColdLimited, u.ColdPerSecond, u.ColdBurst = true, share.PerSecond, share.Burst
	}
	return u
}
