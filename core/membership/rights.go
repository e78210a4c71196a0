package membership

import (
	"cmp"
	"slices"
	"strings"

	"siskinpath/core/clock"
)

// Rights returns what this host may use now, sorted by service and upstream.
func (v *View) Rights(now clock.Millis) []Right {
	v.init(now)
	var rights []Right
	for _, key := range v.ownKeys {
		if full, reduced := v.access(now, key); full || reduced {
			rights = append(rights, newRight(key, full))
		}
	}
	for _, key := range v.orphanKeys {
		rights = append(rights, newRight(key, false))
	}
	slices.SortFunc(rights, compareRights)
	return rights
}

func newRight(key string, full bool) Right {
	service, upstream, _ := strings.Cut(key, "/")
	return Right{Service: service, Upstream: upstream, Full: full}
}

func compareRights(a, b Right) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Upstream, b.Upstream))
}

func sameRights(a, b []Right) bool { return slices.Equal(a, b) }

// Holds reports whether this host may use an upstream now, either in full or at
// the reduced share of one slot. Callers must ask right before each send.
func (v *View) Holds(now clock.Millis, service, upstream string) (full, reduced bool) {
	v.init(now)
	key := UpstreamKey(service, upstream)
	if v.holders[key] == v.selfRef() {
		return v.access(now, key)
	}
	_, found := slices.BinarySearch(v.orphanKeys, key)
	return false, found
}

// access returns what this host may do with a key that it holds.
func (v *View) access(now clock.Millis, key string) (full, reduced bool) {
	if now >= v.freshUntil {
		return false, true
	}
	if v.acquired[key] {
		return true, false
	}
	return false, now-v.adoptedAt > 2*v.SettleDelay+v.RemoveAfter
}

// orphanCache holds the keys that this host may use at the reduced share
// because their holder is lost and cannot be replaced.
type orphanCache struct {
	signature string
	keys      []string // sorted
}

// findOrphanKeys returns the keys of lost holders for which this host is the
// first in the order of succession among the reachable members.
func (v *View) findOrphanKeys(now clock.Millis) []string {
	if !v.isMember(v.selfRef()) || v.dead[v.selfRef()] || now-v.adoptedAt < v.RemoveAfter+v.SettleDelay {
		return nil
	}
	lost := map[HostRef]bool{}
	signature := strings.Builder{}
	for _, m := range v.current.Members {
		ref := refOf(m)
		switch {
		case v.lost(now, ref):
			lost[ref] = true
			signature.WriteString("-")
		case v.reachable(now, ref):
			signature.WriteString("+")
		default:
			signature.WriteString("?")
		}
	}
	if len(lost) == 0 {
		return nil
	}
	if signature.String() != v.orphans.signature {
		v.orphans = orphanCache{signature: signature.String(), keys: v.findOrphans(now, lost)}
	}
	return v.orphans.keys
}

func (v *View) findOrphans(now clock.Millis, lost map[HostRef]bool) []string {
	var keys []string
	for key, holder := range v.holders {
		if !lost[holder] {
			continue
		}
		first := v.firstInSuccession(key, func(ref HostRef) bool { return v.reachable(now, ref) })
		if first == v.selfRef() {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// reachable reports whether ref is this host or a reachable peer.
func (v *View) reachable(now clock.Millis, ref HostRef) bool {
	if ref == v.selfRef() {
		return true
	}
	p := v.peers[ref.ID]
	return p != nil && p.host.Incarnation == ref.Incarnation && v.peerReachable(p, now)
}

// lost reports whether ref has not been seen for so long that it would have
// been removed if the assignment could be written.
func (v *View) lost(now clock.Millis, ref HostRef) bool {
	return !v.dead[ref] && now-v.lastSeen(ref) > v.RemoveAfter+v.SettleDelay
}

// lastSeen returns when ref was last seen, or when this host started or
// resumed if that is later.
func (v *View) lastSeen(ref HostRef) clock.Millis {
	if ref == v.selfRef() {
		return v.lastEvent
	}
	since := v.resumedAt
	if p := v.peers[ref.ID]; p != nil && p.host.Incarnation == ref.Incarnation {
		since = max(since, p.lastSeenAt)
	}
	return since
}
