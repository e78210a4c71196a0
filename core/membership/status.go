package membership

import (
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// OwnerHosts returns the reachable hosts that own upstreams of a service,
// sorted by id. This host is included if it owns some.
func (v *View) OwnerHosts(service string) []Host {
	var hosts []Host
	for _, o := range v.Owners(service) {
		hosts = append(hosts, o.Host)
	}
	return hosts
}

// Owner is a host and the upstreams of one service that it owns.
type Owner struct {
	Host      Host
	Upstreams []string // sorted
	KeyWindow uint32
	Leaving   bool
}

// Owners returns the reachable hosts that own upstreams of a service, with what
// each of them owns, sorted by id.
func (v *View) Owners(service string) []Owner {
	upstreams := map[HostRef][]string{}
	for key, ref := range v.holders {
		if name, ok := strings.CutPrefix(key, service+"/"); ok && v.reachable(v.lastEvent, ref) {
			upstreams[ref] = append(upstreams[ref], name)
		}
	}
	var all []Owner
	for ref, names := range upstreams {
		slices.Sort(names)
		all = append(all, v.newOwner(ref, names))
	}
	slices.SortFunc(all, func(a, b Owner) int { return strings.Compare(a.Host.ID, b.Host.ID) })
	return all
}

func (v *View) newOwner(ref HostRef, upstreams []string) Owner {
	if ref == v.selfRef() {
		return Owner{Host: v.Self, Upstreams: upstreams, KeyWindow: v.keyWindow, Leaving: v.isLeaving()}
	}
	p := v.peers[ref.ID]
	return Owner{Host: p.host, Upstreams: upstreams, KeyWindow: p.keyWindow, Leaving: p.leaving || p.listedLeaving}
}

// Find returns one incarnation of a host, as far as it is known, and its
// presence.
func (v *View) Find(id string, incarnation Incarnation) (Host, Presence) {
	ref := HostRef{ID: id, Incarnation: incarnation}
	if ref == v.selfRef() {
		return v.Self, Present
	}
	p := v.peers[id]
	switch {
	case v.dead[ref] || id == v.Self.ID:
		return Host{ID: id, Incarnation: incarnation}, Gone
	case p == nil || p.host.Incarnation != incarnation:
		return Host{ID: id, Incarnation: incarnation}, NeverSeen
	case v.peerReachable(p, v.lastEvent):
		return p.host, Present
	}
	return p.host, Unreachable
}

// FindIncarnation is like Find for an incarnation whose host id is not known to
// the caller.
func (v *View) FindIncarnation(incarnation Incarnation) (Host, Presence) {
	if incarnation == v.Self.Incarnation {
		return v.Self, Present
	}
	for _, p := range v.peers {
		if p.host.Incarnation == incarnation {
			return v.Find(p.host.ID, incarnation)
		}
	}
	for ref := range v.dead {
		if ref.Incarnation == incarnation {
			return v.Find(ref.ID, incarnation)
		}
	}
	return Host{Incarnation: incarnation}, NeverSeen
}

// String returns the name of a presence in the state dump.
func (p Presence) String() string {
	return [...]string{"never", "present", "unreachable", "gone"}[p]
}

// Status returns the status of every known host, including this one, sorted by
// id.
func (v *View) Status(now clock.Millis) []HostStatus {
	v.init(now)
	all := []HostStatus{v.selfStatus(now)}
	for _, p := range v.peers {
		all = append(all, v.peerStatus(now, p))
	}
	slices.SortFunc(all, func(a, b HostStatus) int { return strings.Compare(a.ID, b.ID) })
	return all
}

func (v *View) selfStatus(now clock.Millis) HostStatus {
	s := statusOf(v.Self)
	s.Presence = Present.String()
	s.Member = v.isMember(v.selfRef())
	s.Leaving = v.isLeaving()
	s.Epoch = v.current.Epoch
	s.TableVersion = v.tableVersion()
	s.KeyWindow = v.keyWindow
	s.PlatformAge = v.platformAge(now)
	return s
}

func (v *View) peerStatus(now clock.Millis, p *peer) HostStatus {
	s := statusOf(p.host)
	_, presence := v.Find(p.host.ID, p.host.Incarnation)
	if p.host.Incarnation == 0 {
		presence = NeverSeen
	}
	s.Presence = presence.String()
	s.Member = v.isMember(p.ref())
	s.Listed = p.listed
	s.Leaving = p.leaving || p.listedLeaving
	s.Epoch = p.epoch
	s.TableVersion = p.tableVersion
	s.KeyWindow = p.keyWindow
	s.LastSeenAge = -1
	if p.lastSeenAt != never {
		s.LastSeenAge = now - p.lastSeenAt
	}
	s.PlatformAge = -1
	if p.platformAt != never {
		s.PlatformAge = now - p.platformAt
	}
	return s
}

func statusOf(h Host) HostStatus {
	return HostStatus{
		ID: h.ID, Incarnation: h.Incarnation, AvailabilityZone: h.AvailabilityZone,
		PeerAddress: h.PeerAddress, CallerAddress: h.CallerAddress, OperatorAddress: h.OperatorAddress,
	}
}

func (v *View) platformAge(now clock.Millis) clock.Millis {
	if !v.platformSeen {
		return -1
	}
	return now - v.platformAt
}

// State is the view's part of the state dump.
type State struct {
	Self        Host         `json:"self"`
	Epoch       uint64       `json:"epoch"`
	Assignment  Assignment   `json:"assignment"`
	Settled     bool         `json:"settled"`
	Quorum      bool         `json:"quorum"`
	FreshFor    clock.Millis `json:"fresh_for_ms"` // how long full rights last without further proof; at or below 0 there are none
	PlatformAge clock.Millis `json:"platform_age_ms"`
	Leaving     bool         `json:"leaving"`
	Dead        []HostRef    `json:"dead"`
	Rights      []Right      `json:"rights"`
	Hosts       []HostStatus `json:"hosts"`
}

// State returns the view's part of the state dump.
func (v *View) State(now clock.Millis) State {
	v.init(now)
	return State{
		Self: v.Self, Epoch: v.current.Epoch, Assignment: v.current, Settled: v.isSettled(), Quorum: v.quorum(now),
		FreshFor: max(v.freshUntil-now, -1), PlatformAge: v.platformAge(now), Leaving: v.isLeaving(),
		Dead: slices.Clone(v.deaths), Rights: v.Rights(now), Hosts: v.Status(now),
	}
}

// Epoch returns the epoch of the newest assignment that this host knows, or 0.
func (v *View) Epoch() uint64 { return v.current.Epoch }

// Sequence returns the sequence of the latest round of heartbeats that this
// host sent.
func (v *View) Sequence() uint64 { return v.sequence }
